package measurer

import (
	"slices"
	"time"
)

// Properties of the fake engine that batches continuously.
const (
	// engineTokenTime is the time of a token when one request runs.
	engineTokenTime = 10 * time.Millisecond
	// engineCrowding is what each further request adds to it.
	engineCrowding = 0.1
	// prefillSpeed is how many prompt tokens are read in a token's time.
	prefillSpeed = 32
	// engineQueue bounds the requests that wait in an engine.
	engineQueue = 256
)

// fakeRun is a request inside a fake engine. Marks are in the engine's own
// progress: the tokens that each request in the batch has got so far.
type fakeRun struct {
	priority        int
	prompt, shared  float64
	answer          float64
	prefix          uint64
	failAfter       float64
	cached          float64
	started         bool
	firstAt, lastAt float64
	firstDone       bool
	paceDone        bool
	// Called on the first token, on the paceTokens-th and on the end.
	onFirst, onPace func()
	onEnd           func(whole bool)
}

// generated returns the tokens made at a progress.
func (r *fakeRun) generated(v float64) float64 {
	if !r.started {
		return 0
	}
	return min(max(v-r.firstAt+1, 0), r.answer)
}

// paceTokens is the token at which a run tells how quick it is.
const paceTokens = 16

// paceAt returns the mark of that token.
func (r *fakeRun) paceAt() float64 { return r.firstAt + paceTokens - 1 }

// next returns the run's next mark.
func (r *fakeRun) next() float64 {
	switch {
	case !r.firstDone:
		return min(r.firstAt, r.lastAt)
	case !r.paceDone:
		return min(r.paceAt(), r.lastAt)
	default:
		return r.lastAt
	}
}

// fakeEngine is a continuously batching engine in virtual time.
type fakeEngine struct {
	clock    *fakeClock
	capacity int
	slow     float64
	// broken makes every run fail at once.
	broken   bool
	progress float64
	at       time.Duration
	batch    []*fakeRun
	queue    []*fakeRun
	cache    []uint64
	cacheMax int
	// Wake numbers the last wake-up that was set; earlier ones are void.
	wake int
	// Used sums the tokens' time of every request in the batch.
	used     float64
	onCache  func(prefix uint64, stored bool)
	onChange func(free bool)
}

// rate returns progress a second.
func (e *fakeEngine) rate() float64 {
	n := max(len(e.batch), 1)
	return 1 / (engineTokenTime.Seconds() * (1 + engineCrowding*float64(n-1)) * e.slow)
}

func (e *fakeEngine) advance() {
	if len(e.batch) > 0 {
		e.progress += (e.clock.now - e.at).Seconds() * e.rate()
	}
	e.at = e.clock.now
}

func (e *fakeEngine) load() int { return len(e.batch) + len(e.queue) }

// submit takes a run in; false says that the engine's queue is full.
func (e *fakeEngine) submit(r *fakeRun) bool {
	if e.broken {
		e.clock.after(5*time.Millisecond, func() { r.onEnd(false) })
		return true
	}
	if len(e.queue) >= engineQueue {
		return false
	}
	e.advance()
	i, _ := slices.BinarySearchFunc(e.queue, r.priority, func(x *fakeRun, p int) int {
		if x.priority <= p {
			return -1
		}
		return 1
	})
	e.queue = slices.Insert(e.queue, i, r)
	e.settle()
	return true
}

// cancel takes a run out and returns the tokens it had generated.
func (e *fakeEngine) cancel(r *fakeRun) float64 {
	e.advance()
	made := r.generated(e.progress)
	e.queue = slices.DeleteFunc(e.queue, func(x *fakeRun) bool { return x == r })
	e.batch = slices.DeleteFunc(e.batch, func(x *fakeRun) bool { return x == r })
	e.settle()
	return made
}

// settle fills the batch from the queue and sets the next wake-up.
func (e *fakeEngine) settle() {
	for len(e.batch) < e.capacity && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.start(r)
	}
	e.onChange(len(e.batch) < e.capacity)
	e.wake++
	if len(e.batch) == 0 {
		return
	}
	next := e.batch[0].next()
	for _, r := range e.batch {
		next = min(next, r.next())
	}
	wake := e.wake
	wait := max(0, (next-e.progress)/e.rate())
	e.clock.after(time.Duration(wait*float64(time.Second))+1, func() {
		if e.wake == wake {
			e.pass()
		}
	})
}

func (e *fakeEngine) start(r *fakeRun) {
	if e.touch(r.prefix) {
		r.cached = r.shared
	}
	r.started = true
	r.firstAt = e.progress + (r.prompt-r.cached)/prefillSpeed + 1
	r.lastAt = r.firstAt + r.answer - 1
	if r.failAfter > 0 {
		r.lastAt = r.firstAt + r.failAfter*r.answer
	}
	e.batch = append(e.batch, r)
}

// pass emits what is due.
func (e *fakeEngine) pass() {
	e.advance()
	const slack = 1e-6
	var ended []*fakeRun
	for _, r := range e.batch {
		if !r.firstDone && r.firstAt <= e.progress+slack {
			r.firstDone = true
			r.onFirst()
		}
		if r.firstDone && !r.paceDone && r.paceAt() <= e.progress+slack {
			r.paceDone = true
			r.onPace()
		}
		if r.firstDone && r.lastAt <= e.progress+slack {
			ended = append(ended, r)
		}
	}
	e.batch = slices.DeleteFunc(e.batch, func(x *fakeRun) bool { return slices.Contains(ended, x) })
	e.settle()
	for _, r := range ended {
		r.onEnd(r.failAfter == 0)
	}
}

// touch reports whether a prefix is cached and makes it the newest.
func (e *fakeEngine) touch(prefix uint64) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return true
	}
	if len(e.cache) == e.cacheMax {
		e.onCache(e.cache[0], false)
		e.cache = slices.Delete(e.cache, 0, 1)
	}
	e.cache = append(e.cache, prefix)
	e.onCache(prefix, true)
	return false
}
