package picker

import (
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/ejector"
)

// Run is one request at one endpoint.
type Run struct {
	ledger *Ledger
	stats  *Stats
	prefix uint64
	prompt float64
	most   int64
	begun  time.Duration
	first  time.Duration
	// Expected says that the endpoint was believed to hold the prefix.
	expected bool
	// Queued says that the endpoint was full at dispatch.
	queued bool
	// Texts counts the answer's texts so far; early says that the first of
	// them have been learned from.
	texts int64
	early bool
}

// earlyTexts is how many texts of an answer tell the time of a token.
const earlyTexts = 16

// Outcome is how a run ended.
type Outcome struct {
	// AnswerTokens of a whole answer.
	AnswerTokens int64
	// CachedTokens of the prompt, or -1 where the engine does not say.
	CachedTokens int64
	// Whole says that the answer is complete.
	Whole bool
	// Fault says that the run failed through the endpoint's own fault, and
	// not because the caller left or the deadline passed.
	Fault bool
}

// BeginAt notes a dispatch to an endpoint.
func (l *Ledger) BeginAt(e *rattanhoist.Endpoint, q Query) Run {
	c := Candidate{endpoint: e, stats: l.Stats(e), capacity: float64(e.Capacity())}
	return l.Begin(&c, q)
}

// Begin notes a dispatch.
func (l *Ledger) Begin(c *Candidate, q Query) Run {
	now := l.Since(q.Now)
	r := Run{ledger: l, stats: c.stats, prefix: q.Prefix, prompt: float64(q.PromptTokens), most: q.MaxAnswer, begun: now}
	for _, id := range l.prefixes.owners(q.Prefix, now) {
		r.expected = r.expected || id == c.stats.id
	}
	r.queued = c.work(now) >= c.capacity
	c.stats.inFlight.Add(1)
	c.stats.gate.Step(now, ejector.Dispatched, 0)
	l.prefixes.stored(q.Prefix, c.stats.id, now)
	return r
}

// First notes the first token of the answer.
func (r *Run) First(at time.Time) {
	now := r.ledger.Since(at)
	r.first = now
	if r.prompt < 1 {
		return
	}
	x := (now - r.begun).Seconds() / r.prompt
	r.stats.service.promptTime.add(x, serviceWeight, now)
	if r.expected || r.queued {
		return
	}
	r.stats.prefillTime.add(x, sampleWeight, now)
	r.stats.service.prefillTime.add(x, serviceWeight, now)
}

// Text notes that the answer has n texts so far.
func (r *Run) Text(at time.Time, n int64) {
	r.texts = n
	if n >= earlyTexts && !r.early {
		r.early = true
		r.learnPace(r.ledger.Since(at))
	}
}

// learnPace learns the time of a token from an answer that has not ended, or
// was cut off. Were only whole answers learned from, an endpoint too slow for
// any deadline would teach nothing and look as quick as the others.
func (r *Run) learnPace(now time.Duration) {
	if r.first == 0 || r.texts < earlyTexts {
		return
	}
	tokens := float64(r.texts) * r.stats.service.textTokens.value(1)
	r.stats.tokenTime.add((now-r.first).Seconds()/max(tokens-1, 1), sampleWeight, now)
}

// End notes the end of the run; random in [0, 1) spreads probes.
func (r *Run) End(at time.Time, o Outcome, random float64) {
	now := r.ledger.Since(at)
	r.stats.inFlight.Add(-1)
	if o.Fault {
		r.stats.gate.Step(now, ejector.Failed, random)
		r.ledger.prefixes.evicted(r.prefix, r.stats.id)
		return
	}
	if !o.Whole {
		r.learnPace(now)
		return
	}
	r.stats.gate.Step(now, ejector.Succeeded, random)
	r.learn(now, o)
}

func (r *Run) learn(now time.Duration, o Outcome) {
	s := r.stats.service
	if o.AnswerTokens > 1 && r.first > 0 {
		x := (now - r.first).Seconds() / float64(o.AnswerTokens-1)
		r.stats.tokenTime.add(x, sampleWeight, now)
		s.tokenTime.add(x, serviceWeight, now)
	}
	if r.texts > 0 && o.AnswerTokens > 0 {
		s.textTokens.add(float64(o.AnswerTokens)/float64(r.texts), serviceWeight, now)
	}
	if r.most > 0 && o.AnswerTokens > 0 {
		s.answerLength.add(float64(o.AnswerTokens), serviceWeight, now)
		s.answerShare.add(float64(o.AnswerTokens)/float64(r.most), serviceWeight, now)
	}
	if r.most == 0 {
		s.callTime.add((now - r.begun).Seconds(), serviceWeight, now)
	}
	s.samples.Add(1)
	s.learnedAt.Store(int64(now))
	if r.expected && o.CachedTokens >= 0 {
		hit := 0.0
		if o.CachedTokens > 0 {
			hit = 1
		}
		r.stats.reuse.add(hit, sampleWeight, now)
	}
}
