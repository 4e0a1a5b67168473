package picker

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/ejector"
)

// Ledger is one router's own record of endpoints, services and prefixes. Safe
// for concurrent use.
type Ledger struct {
	base time.Time
	// Endpoints maps names to *Stats of the newest incarnation.
	endpoints sync.Map
	// Services maps names to *Service.
	services sync.Map
	nextID   atomic.Uint32
	prefixes *Prefixes
	// Routers is how many routers share the endpoints, 0 where unknown.
	routers atomic.Int64
}

// SetRouters says how many routers share the endpoints; callers are assumed
// to be spread evenly over them.
func (l *Ledger) SetRouters(n int) { l.routers.Store(int64(n)) }

// NewLedger returns an empty ledger that counts time from base.
func NewLedger(base time.Time) *Ledger { return &Ledger{base: base, prefixes: &Prefixes{}} }

// Since returns the time since the ledger's base; monotonic where t is.
func (l *Ledger) Since(t time.Time) time.Duration { return t.Sub(l.base) }

// Prefixes returns the record of prefixes, for cache events.
func (l *Ledger) Prefixes() *Prefixes { return l.prefixes }

// Service returns the record of a service.
func (l *Ledger) Service(name string) *Service {
	v, ok := l.services.Load(name)
	if !ok {
		v, _ = l.services.LoadOrStore(name, &Service{})
	}
	return v.(*Service)
}

// Stats returns the record of an endpoint. A new incarnation starts afresh:
// its cache is empty and the old one's requests are not its own.
func (l *Ledger) Stats(e *rattanhoist.Endpoint) *Stats {
	for {
		v, ok := l.endpoints.Load(e.Name())
		if ok && v.(*Stats).incarnation >= e.Incarnation() {
			return v.(*Stats)
		}
		s := &Stats{id: l.nextID.Add(1), incarnation: e.Incarnation(), service: l.Service(e.Service())}
		if !ok {
			v, _ = l.endpoints.LoadOrStore(e.Name(), s)
			if v == s {
				return s
			}
			continue
		}
		if l.endpoints.CompareAndSwap(e.Name(), v, s) {
			return s
		}
	}
}

// Forget drops endpoints that no set has listed for the given time.
func (l *Ledger) Forget(now time.Time, idle time.Duration) {
	at := l.Since(now)
	l.endpoints.Range(func(name, v any) bool {
		if int64(at)-v.(*Stats).usedAt.Load() > int64(idle) {
			l.endpoints.CompareAndDelete(name, v)
		}
		return true
	})
}

// NewSet returns the table of the allowed endpoints of a service, for picks
// from a zone; an announcement older than maxAge is not used.
func (l *Ledger) NewSet(service, zone string, maxAge time.Duration, now time.Time, allowed []*rattanhoist.Endpoint) *Set {
	s := &Set{ledger: l, service: l.Service(service), maxAge: maxAge, index: make(map[uint32]int32, len(allowed))}
	s.candidates = make([]Candidate, 0, len(allowed))
	allowed = inNameOrder(allowed)
	for _, near := range []bool{true, false} {
		for _, e := range allowed {
			if (e.Zone() == zone) == near {
				s.candidates = append(s.candidates, l.candidate(e, l.Since(now)))
			}
		}
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		s.index[c.stats.id] = int32(i)
		s.capacity += c.capacity
		if c.endpoint.Zone() == zone {
			s.local++
		}
	}
	return s
}

// inNameOrder sorts a copy where the list is not in order already.
func inNameOrder(es []*rattanhoist.Endpoint) []*rattanhoist.Endpoint {
	byName := func(a, b *rattanhoist.Endpoint) int { return strings.Compare(a.Name(), b.Name()) }
	if slices.IsSortedFunc(es, byName) {
		return es
	}
	es = slices.Clone(es)
	slices.SortFunc(es, byName)
	return es
}

func (l *Ledger) candidate(e *rattanhoist.Endpoint, now time.Duration) Candidate {
	c := Candidate{endpoint: e, stats: l.Stats(e), capacity: float64(e.Capacity())}
	c.stats.usedAt.Store(int64(now))
	c.note(l)
	return c
}

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
}

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

// Known returns the record of an endpoint by name, or nil.
func (l *Ledger) Known(name string) *Stats {
	v, ok := l.endpoints.Load(name)
	if !ok {
		return nil
	}
	return v.(*Stats)
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
	l.prefixes.Stored(q.Prefix, c.stats.id, now)
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

// End notes the end of the run; random in [0, 1) spreads probes.
func (r *Run) End(at time.Time, o Outcome, random float64) {
	now := r.ledger.Since(at)
	r.stats.inFlight.Add(-1)
	if o.Fault {
		r.stats.gate.Step(now, ejector.Failed, random)
		r.ledger.prefixes.Evicted(r.prefix, r.stats.id)
		return
	}
	if !o.Whole {
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

// CacheEvent takes in what an endpoint says of its prefix cache. Events come
// late and with gaps, so they only add to the ledger's own record.
func (l *Ledger) CacheEvent(e *rattanhoist.Endpoint, prefix uint64, stored bool, now time.Time) {
	id := l.Stats(e).id
	if stored {
		l.prefixes.Stored(prefix, id, l.Since(now))
		return
	}
	l.prefixes.Evicted(prefix, id)
}
