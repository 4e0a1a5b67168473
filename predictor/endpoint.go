// Package predictor knows how busy each endpoint is, as one router sees it, and
// predicts how long a request would wait there.
package predictor

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist/ejector"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/warmer"
)

const (
	// paceGain is the weight of the newest measurement of an endpoint's pace: ten
	// prompts show that it has turned slow, one late answer doesn't. A prompt counts
	// the less the less there was to read, below paceWhole: its time is mostly
	// waiting. Below paceLeast it tells nothing.
	paceGain  = 0.1
	paceWhole = 100 * time.Millisecond
	paceLeast = 20 * time.Millisecond
	// paceMost bounds the pace: an endpoint that slow gets no work while there is
	// another.
	paceMost = 20
	// beliefFades is how long it is believed that an endpoint is slow which nothing has
	// shown since: else one that is avoided for it would never show that it is well.
	beliefFades = 10 * time.Second
	// paceOrdinary is how far from an ordinary endpoint's one may be for what it
	// shows to be learned of all.
	paceOrdinary = 1.4
	// slowerGain is the weight of the newest plain answer in how much slower than the
	// others an endpoint is.
	slowerGain = 0.1
	// reportTrust is how long a reported load counts: a few times the lag that
	// reports have anyway.
	reportTrust = 500 * time.Millisecond
	// partsLeast is how many parts of one endpoint are remembered before those that it
	// can't keep any more are looked for; then that is done at each doubling.
	partsLeast = 64
	// keepsPart of an endpoint's memory is taken to hold parts of prompts: what is
	// running takes the rest. The parts used least lately yield first, so a part is
	// gone once so many other tokens were read since its last use.
	keepsPart = 0.5
	// backoffJitterDivisor limits the random delay added to a Retry-After period to the
	// period divided by it.
	backoffJitterDivisor = 8
	// memoryUnknown stands for an endpoint's memory where the document does not
	// state it, in tokens: below what the engines in use have.
	memoryUnknown = 200_000
)

// Part is one part of a prompt; requests share parts.
type Part struct {
	ID     string
	Tokens int64
}

// Prompt is what is known of a generation before it runs.
type Prompt struct {
	Model string
	Parts []Part
	// In is the number of prompt tokens, Out the most that may be generated.
	In, Out int64
}

// Shared returns the parts that other requests may have too: the last one is
// the request's own.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedIDs returns the ids of the shared parts.
func (p *Prompt) SharedIDs() []string {
	shared := p.Shared()
	out := make([]string, 0, len(shared))
	for _, part := range shared {
		out = append(out, part.ID)
	}
	return out
}

// own returns the tokens that no other request shares.
func (p *Prompt) own() int64 {
	left := p.In
	for _, part := range p.Shared() {
		left -= part.Tokens
	}
	return max(left, 0)
}

// Endpoint is one incarnation of an endpoint with this router's view of it.
// It is safe for concurrent use.
type Endpoint struct {
	beat enroller.Beat
	// Name is the incarnation as text.
	name string
	gate ejector.Gate
	// Warmup is closed while the endpoint is cold and this router may send nothing.
	warmup warmer.Gate
	lost   atomic.Bool

	mu sync.Mutex
	// Running counts this router's requests there.
	running int
	queue   queue
	// Ordinary belongs to the endpoint's service, from when it was first put in service.
	ordinary *Ordinary
	serving  bool
	// Pace is how many times as long as an ordinary endpoint this one took to read
	// what it was last seen to read, at paceAt.
	pace   float64
	paceAt time.Time
	// Slower is how much longer than on average plain answers take there, as of slowerAt.
	slower   time.Duration
	slowerAt time.Time
	// Reported is the load that the endpoint told last, of all routers.
	reported   Load
	reportedAt time.Time
	// Read counts the prompt tokens that the endpoint was given to read; parts maps
	// the shared parts of prompts to their last use there.
	read  int64
	parts map[string]use
	// Memory is what the endpoint keeps, in tokens; sweepAt the number of parts at which
	// to look for those that are gone.
	memory  int64
	sweepAt int
}

// Keeps takes in what the endpoint itself says that it keeps.
func (e *Endpoint) Keeps(parts []Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range parts {
		if _, known := e.parts[p.ID]; !known {
			e.parts[p.ID] = use{read: e.read, tokens: p.Tokens}
		}
	}
}

// use is the last use of a part at an endpoint.
type use struct {
	// Tokens is how much of the part is kept where the endpoint has told; 0 for all.
	tokens int64
	// Read is the endpoint's count of tokens then.
	read int64
	// First is where in the queue the prompt ends that brought the part: once that
	// is read, so is the part.
	first time.Duration
}

// Load is what an endpoint tells of itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes there now; 0 if not reported.
	Slowdown float64
}

// State is what an endpoint reports about itself in a response.
type State struct {
	// Cold is the remaining time for which the endpoint reports to be cold, or 0.
	Cold time.Duration
	// RateLimit applies to the requests of all routers combined.
	RateLimit warmer.RateLimit
	// Leaving is set if the endpoint is draining and should receive no new requests.
	Leaving bool
	// RetryAfter is how long this router should send no requests to the endpoint, which is
	// shedding load; 0 if the endpoint did not ask for that.
	RetryAfter time.Duration
	// Load is nil if not reported.
	Load *Load
}

// StateChange describes the effect of recording a State.
type StateChange struct {
	// RateLimit is set if the rate limit in effect changed.
	RateLimit bool
	// SheddingStarted is set if the endpoint started shedding load.
	SheddingStarted bool
	// LeavingStarted is set if the endpoint reported that it is leaving and this router
	// could still choose it before.
	LeavingStarted bool
}

// withJitter adds a random delay to a Retry-After period, so that routers don't all send
// requests as soon as it ends. It returns 0 for 0.
func withJitter(retryAfter time.Duration) time.Duration {
	return retryAfter + rand.N(retryAfter/backoffJitterDivisor+1)
}

// Observe records the state that the endpoint reported in its response to a request sent
// at sentAt, and returns what changed.
func (e *Endpoint) Observe(s State, sentAt, now time.Time) StateChange {
	if s.Cold > 0 {
		e.warmup.Extend(now, now.Add(s.Cold))
	}
	if s.Load != nil {
		e.Report(now, *s.Load)
	}
	return StateChange{
		RateLimit:       e.warmup.ObserveRateLimit(s.RateLimit, sentAt, now),
		SheddingStarted: e.warmup.ObserveBackoff(withJitter(s.RetryAfter), sentAt, now),
		LeavingStarted:  s.Leaving && !e.lost.Swap(true),
	}
}

// NewEndpoint returns an endpoint without history.
func NewEndpoint(b enroller.Beat) *Endpoint {
	return &Endpoint{
		beat: b, name: b.String(), ordinary: NewOrdinary(), pace: 1,
		parts: map[string]use{}, memory: memoryUnknown, sweepAt: partsLeast,
	}
}

// serve puts the endpoint in service with what is learned of all of its service. It
// has no effect on one that was in service before.
func (e *Endpoint) serve(r *Ordinary) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.serving {
		e.serving, e.ordinary = true, r
	}
}

// Beat returns what the endpoint announced.
func (e *Endpoint) Beat() enroller.Beat { return e.beat }

// Name returns the incarnation as text: the key under which connections to it
// are kept, and its name in what routers tell each other.
func (e *Endpoint) Name() string { return e.name }

// Gate returns the endpoint's state of failures.
func (e *Endpoint) Gate() *ejector.Gate { return &e.gate }

// Warmup returns what limits requests to the endpoint while it is cold.
func (e *Endpoint) Warmup() *warmer.Gate { return &e.warmup }

// Lose takes the endpoint out of this router's choice for good: another
// incarnation answered at its address, or it is leaving.
func (e *Endpoint) Lose() { e.lost.Store(true) }

// Running returns how many of this router's requests are there.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Report takes the endpoint's own load in.
func (e *Endpoint) Report(now time.Time, l Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported, e.reportedAt = l, now
}

// busy is the number of requests there, of all routers as far as known.
func (e *Endpoint) busy(now time.Time) int {
	if now.Sub(e.reportedAt) < reportTrust {
		return max(e.running, e.reported.Running+e.reported.Waiting)
	}
	return e.running
}

// slowdown is how many times as long as usual the endpoint last reported that work takes,
// or 1 if that is not known or too old.
func (e *Endpoint) slowdown(now time.Time) float64 {
	if e.reported.Slowdown > 0 && now.Sub(e.reportedAt) < reportTrust {
		return e.reported.Slowdown
	}
	return 1
}

// uncached returns the tokens of a prompt that must be read there: a part is
// kept only if all parts before it are.
func (e *Endpoint) uncached(p *Prompt, memory int64) int64 {
	if memory > 0 {
		e.memory = memory
	}
	left := p.In
	for _, part := range p.Shared() {
		u, ok := e.parts[part.ID]
		if !ok || e.gone(u) || u.tokens > 0 && u.tokens < part.Tokens {
			break
		}
		left -= part.Tokens
	}
	return max(left, 0)
}

// finished returns the tokens of a prompt that are kept and were read by now.
func (e *Endpoint) finished(p *Prompt, memory int64) int64 {
	kept := p.In - e.uncached(p, memory)
	var sum int64
	for _, part := range p.Shared() {
		if sum += part.Tokens; sum > kept || e.parts[part.ID].first > e.queue.read {
			return sum - part.Tokens
		}
	}
	return sum
}

// given notes a prompt that the endpoint was given and that ends at a place in its
// queue.
func (e *Endpoint) given(unread int64, place time.Duration, parts []string) {
	e.read += unread
	e.sweep()
	for _, id := range parts {
		u, ok := e.parts[id]
		if !ok {
			u.first = place
		}
		u.read, u.tokens = e.read, 0
		e.parts[id] = u
	}
}

// gone reports whether so much was read since a part's last use that it has yielded.
func (e *Endpoint) gone(u use) bool {
	return float64(e.read-u.read) > keepsPart*float64(e.memory)
}

// sweep forgets the parts that have yielded. Without it a router remembers the parts of
// each prompt that it ever heard of, 100 bytes each; forgetting all at once instead, all
// of them are taken to be read anew.
func (e *Endpoint) sweep() {
	if len(e.parts) < e.sweepAt {
		return
	}
	maps.DeleteFunc(e.parts, func(_ string, u use) bool { return e.gone(u) })
	e.sweepAt = max(2*len(e.parts), partsLeast)
}

// Sent notes a prompt that another router sent there.
func (e *Endpoint) Sent(now time.Time, d Dispatch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	place := e.queue.add(now, d.Takes, e.paceNow(now))
	e.given(d.Unread, place, d.Parts)
}

// paceNow is the pace as it is believed now.
func (e *Endpoint) paceNow(now time.Time) float64 {
	return 1 + (e.pace-1)*faded(now.Sub(e.paceAt))
}

// Dispatch is what routers tell each other of a prompt that they sent.
type Dispatch struct {
	// Unread is the tokens that the endpoint must read, and Takes how long that
	// takes an ordinary one.
	Unread int64
	Takes  time.Duration
	// Parts are the ids of the shared parts.
	Parts []string
}

// Unread returns the tokens that the endpoint must read for the work.
func (w *Work) Unread() int64 { return w.dispatch.Unread }

// Dispatch returns what to tell other routers of the work.
func (w *Work) Dispatch() Dispatch { return w.dispatch }

// Work is one request at an endpoint, from its dispatch to its end.
type Work struct {
	endpoint *Endpoint
	dispatch Dispatch
	// Prompt is the prompt's tokens; 0 for plain requests.
	prompt int64
	// Queued is what the endpoint had still to read before it, and place where the
	// prompt ends in its queue.
	queued, place time.Duration
	// Donor is the endpoint to fetch kept parts from, or nil.
	donor   *Endpoint
	at      time.Time
	predict time.Duration
	started bool
}

// Predicted returns the time to the first event as predicted at the start.
func (w *Work) Predicted() time.Duration { return w.predict }

// Donor returns the endpoint from which this one should fetch what it keeps of the
// prompt, or nil.
func (w *Work) Donor() *Endpoint { return w.donor }

// Endpoint returns where the work is.
func (w *Work) Endpoint() *Endpoint { return w.endpoint }

// First notes the first byte of the answer's body.
func (w *Work) First(now time.Time) {
	if w.started {
		return
	}
	w.started = true
	e := w.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	took := now.Sub(w.at)
	if w.place > 0 {
		e.queue.leave(now, w.place, true, e.paceNow(now))
		e.learn(now, w, took)
		return
	}
	slower := e.slowerNow(now)
	e.slower = slower + time.Duration(slowerGain*float64(e.ordinary.LearnAnswer(took)-slower))
	e.slowerAt = now
}

// slowerNow is how much slower the endpoint is taken to be now.
func (e *Endpoint) slowerNow(now time.Time) time.Duration {
	return time.Duration(float64(e.slower) * faded(now.Sub(e.slowerAt)))
}

// faded is what is left of a belief that nothing has shown for a time.
func faded(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / beliefFades.Seconds())
}

// learn takes in how long a prompt took, with what had to be read before it: of the
// endpoint's pace, and, if it had nothing else to read, of all endpoints of the
// service.
func (e *Endpoint) learn(now time.Time, w *Work, took time.Duration) {
	pace := e.paceNow(now)
	if w.queued == 0 && pace < paceOrdinary && pace > 1/paceOrdinary {
		e.ordinary.Learn(w.dispatch.Unread, w.prompt, took)
	}
	whole := w.queued + w.dispatch.Takes
	if whole < paceLeast {
		return
	}
	shown := float64(max(took-e.ordinary.Base(), 0)) / float64(whole)
	gain := paceGain * min(float64(whole)/float64(paceWhole), 1)
	e.pace = pace + gain*(min(shown, paceMost)-pace)
	e.paceAt = now
}

// End notes that the request is over.
func (w *Work) End() {
	e := w.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if !w.started && w.place > 0 {
		now := time.Now()
		e.queue.leave(now, w.place, false, e.paceNow(now))
	}
	w.started = true
}
