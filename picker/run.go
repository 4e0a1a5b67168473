package picker

import (
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/ejector"
)

// Run tracks one request at one endpoint.
type Run struct {
	ledger       *Ledger
	stats        *Stats
	prefix       uint64
	prompt       float64
	maxAnswer    int64
	startedAt    time.Duration
	firstTokenAt time.Duration
	// prefixExpected is set if the endpoint was expected to hold the prefix.
	prefixExpected bool
	// queued is set if the endpoint was full at dispatch.
	queued bool
	// chunks counts the chunks of the streamed response so far; earlyLearned
	// is set once the time per token was learned from the first of them.
	chunks       int64
	earlyLearned bool
}

// earlyChunks is the number of chunks from which the time per token is learned
// before the response ends.
const earlyChunks = 16

// Outcome describes how a run ended.
type Outcome struct {
	// AnswerTokens is the length of a complete response.
	AnswerTokens int64
	// CachedTokens is the number of cached prompt tokens, or -1 if the engine
	// doesn't report it.
	CachedTokens int64
	// Complete is set if the response is complete.
	Complete bool
	// EndpointFault is set if the endpoint caused the failure, as opposed to a
	// caller that left or a deadline that passed.
	EndpointFault bool
}

// BeginAt records a dispatch to an endpoint that is not taken from a set.
func (l *Ledger) BeginAt(e *rattanhoist.Endpoint, q Query) Run {
	c := Candidate{endpoint: e, stats: l.Stats(e), capacity: float64(e.Capacity())}
	return l.Begin(&c, q)
}

// Begin records a dispatch to a candidate.
func (l *Ledger) Begin(c *Candidate, q Query) Run {
	now := l.Since(q.Now)
	r := Run{ledger: l, stats: c.stats, prefix: q.Prefix, prompt: float64(q.PromptTokens), maxAnswer: q.MaxAnswer, startedAt: now}
	for _, id := range l.prefixes.holders(q.Prefix, now) {
		r.prefixExpected = r.prefixExpected || id == c.stats.id
	}
	r.queued = c.estimatedInFlight(now) >= c.capacity
	c.stats.inFlight.Add(1)
	c.stats.gate.Step(now, ejector.Dispatched, 0)
	l.prefixes.add(q.Prefix, c.stats.id, now)
	return r
}

// RecordFirstToken records the arrival of the first token of the response.
func (r *Run) RecordFirstToken(at time.Time) {
	now := r.ledger.Since(at)
	r.firstTokenAt = now
	if r.prompt < 1 {
		return
	}
	x := (now - r.startedAt).Seconds() / r.prompt
	r.stats.service.promptTime.add(x, serviceWeight, now)
	if r.prefixExpected || r.queued {
		return
	}
	r.stats.prefillTime.add(x, sampleWeight, now)
	r.stats.service.prefillTime.add(x, serviceWeight, now)
}

// RecordChunks records that n chunks of the response have arrived so far.
func (r *Run) RecordChunks(at time.Time, n int64) {
	r.chunks = n
	if n >= earlyChunks && !r.earlyLearned {
		r.earlyLearned = true
		r.learnTokenTime(r.ledger.Since(at))
	}
}

// learnTokenTime learns the time per token from a response that is in progress
// or was cut off. If only complete responses counted, an endpoint too slow for
// any deadline would give no samples and look as fast as the others.
func (r *Run) learnTokenTime(now time.Duration) {
	if r.firstTokenAt == 0 || r.chunks < earlyChunks {
		return
	}
	tokens := float64(r.chunks) * r.stats.service.tokensPerChunk.value(1)
	r.stats.tokenTime.add((now-r.firstTokenAt).Seconds()/max(tokens-1, 1), sampleWeight, now)
}

// End records the end of the run; random in [0, 1) is the jitter of probes.
func (r *Run) End(at time.Time, o Outcome, random float64) {
	now := r.ledger.Since(at)
	r.stats.inFlight.Add(-1)
	if o.EndpointFault {
		r.stats.gate.Step(now, ejector.Failed, random)
		r.ledger.prefixes.remove(r.prefix, r.stats.id)
		return
	}
	if !o.Complete {
		r.learnTokenTime(now)
		return
	}
	r.stats.gate.Step(now, ejector.Succeeded, random)
	r.learn(now, o)
}

// learn updates the statistics of the endpoint and the service from a complete
// run.
func (r *Run) learn(now time.Duration, o Outcome) {
	s := r.stats.service
	if o.AnswerTokens > 1 && r.firstTokenAt > 0 {
		x := (now - r.firstTokenAt).Seconds() / float64(o.AnswerTokens-1)
		r.stats.tokenTime.add(x, sampleWeight, now)
		s.tokenTime.add(x, serviceWeight, now)
	}
	if r.chunks > 0 && o.AnswerTokens > 0 {
		s.tokensPerChunk.add(float64(o.AnswerTokens)/float64(r.chunks), serviceWeight, now)
	}
	if r.maxAnswer > 0 && o.AnswerTokens > 0 {
		s.answerLength.add(float64(o.AnswerTokens), serviceWeight, now)
		s.answerShare.add(float64(o.AnswerTokens)/float64(r.maxAnswer), serviceWeight, now)
	}
	if r.maxAnswer == 0 {
		s.callTime.add((now - r.startedAt).Seconds(), serviceWeight, now)
	}
	s.samples.Add(1)
	s.learnedAt.Store(int64(now))
	if r.prefixExpected && o.CachedTokens >= 0 {
		hit := 0.0
		if o.CachedTokens > 0 {
			hit = 1
		}
		r.stats.reuse.add(hit, sampleWeight, now)
	}
}
