package picker

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Ledger holds the statistics of one router on endpoints, services and cached
// prefixes. It is safe for concurrent use.
type Ledger struct {
	base time.Time
	// endpoints maps names to the *Stats of the newest incarnation.
	endpoints sync.Map
	// services maps names to *Service.
	services sync.Map
	nextID   atomic.Uint32
	prefixes *prefixes
	// routers is the number of routers that share the endpoints, 0 if unknown.
	routers atomic.Int64
}

// NewLedger returns an empty ledger that measures time from base.
func NewLedger(base time.Time) *Ledger { return &Ledger{base: base, prefixes: &prefixes{}} }

// SetRouters sets the number of routers that share the endpoints; callers are
// assumed to be spread evenly over them.
func (l *Ledger) SetRouters(n int) { l.routers.Store(int64(n)) }

// Since returns the time since the ledger's base, which is monotonic if t has a
// monotonic reading.
func (l *Ledger) Since(t time.Time) time.Duration { return t.Sub(l.base) }

// Service returns the statistics of a service and creates them if necessary.
func (l *Ledger) Service(name string) *Service {
	v, ok := l.services.Load(name)
	if !ok {
		v, _ = l.services.LoadOrStore(name, &Service{})
	}
	return v.(*Service)
}

// Stats returns the statistics of an endpoint and creates them if necessary. A
// new incarnation starts with empty ones, because its cache is empty and the
// requests in progress belong to the old incarnation.
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

// RemoveIdle removes endpoints that no set has listed for the given time.
func (l *Ledger) RemoveIdle(now time.Time, idle time.Duration) {
	at := l.Since(now)
	l.endpoints.Range(func(name, v any) bool {
		if int64(at)-v.(*Stats).usedAt.Load() > int64(idle) {
			l.endpoints.CompareAndDelete(name, v)
		}
		return true
	})
}

// NewSet returns the candidate set of the allowed endpoints of a service for
// picks from a zone. Endpoints whose announcement is older than maxAge at the
// time of the pick are not used.
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

// inNameOrder returns the endpoints sorted by name and leaves the argument
// unchanged.
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
	c.recordLoad(l)
	return c
}

// Lookup returns the statistics of an endpoint by name, or nil.
func (l *Ledger) Lookup(name string) *Stats {
	v, ok := l.endpoints.Load(name)
	if !ok {
		return nil
	}
	return v.(*Stats)
}

// ApplyCacheEvent records that an endpoint has stored or evicted a prefix.
// Events arrive late and with gaps, so they only supplement what the ledger
// records by itself.
func (l *Ledger) ApplyCacheEvent(e *rattanhoist.Endpoint, prefix uint64, stored bool, now time.Time) {
	id := l.Stats(e).id
	if stored {
		l.prefixes.add(prefix, id, l.Since(now))
		return
	}
	l.prefixes.remove(prefix, id)
}
