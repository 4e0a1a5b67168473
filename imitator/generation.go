package imitator

import (
	"sync"
	"time"
)

// generationState says how far a generation is.
type generationState int

const (
	generating generationState = iota
	// generated says that every token is there.
	generated
	// lost says that the generation was cancelled or died.
	lost
)

// generation is one run of a model. It goes on without its connection, so
// that a stream can be resumed.
type generation struct {
	streamID  string
	requestID string
	answer    Expected
	priority  int
	fault     *Fault
	slowdown  float64
	// Cancelled is closed when nobody wants the answer any more.
	cancelled chan struct{}
	cancel    func()

	mu    sync.Mutex
	state generationState
	// Emitted counts the tokens that are there.
	emitted int
	// Changed is closed and replaced at every change.
	changed chan struct{}
	// Followers counts the connections that read the stream.
	followers int
}

func newGeneration(streamID, requestID string, answer Expected, priority int, fault *Fault, slowdown float64) *generation {
	g := &generation{
		streamID: streamID, requestID: requestID, answer: answer, priority: priority,
		fault: fault, slowdown: slowdown,
		cancelled: make(chan struct{}), changed: make(chan struct{}),
	}
	g.cancel = sync.OnceFunc(func() { close(g.cancelled) })
	return g
}

// has reports whether the generation was given a fault of a kind.
func (g *generation) has(kind string) bool { return g.fault != nil && g.fault.Kind == kind }

// half is the token at which faults in the middle of an answer strike.
func (g *generation) half() int { return len(g.answer.Tokens) / 2 }

func (g *generation) update(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) emit() { g.update(func() { g.emitted++ }) }

func (g *generation) finish(s generationState) { g.update(func() { g.state = s }) }

// view returns the progress and a channel that closes when it changes.
func (g *generation) view() (emitted int, s generationState, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.emitted, g.state, g.changed
}

// follow counts a connection in; the returned function counts it out and
// cancels the generation when nobody has resumed it within grace.
func (g *generation) follow(grace time.Duration) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.followers++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.followers--
		if g.followers == 0 && g.state == generating {
			time.AfterFunc(grace, g.cancelUnfollowed)
		}
	}
}

func (g *generation) cancelUnfollowed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.followers == 0 && g.state == generating {
		g.cancel()
	}
}

// length returns the bytes that are there.
func (g *generation) length() int {
	n, _, _ := g.view()
	total := 0
	for _, t := range g.answer.Tokens[:n] {
		total += len(t)
	}
	return total
}
