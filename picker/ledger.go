package picker

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
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
	prefixes *prefixes
	// Routers is how many routers share the endpoints, 0 where unknown.
	routers atomic.Int64
}

// NewLedger returns an empty ledger that counts time from base.
func NewLedger(base time.Time) *Ledger { return &Ledger{base: base, prefixes: &prefixes{}} }

// SetRouters says how many routers share the endpoints; callers are assumed
// to be spread evenly over them.
func (l *Ledger) SetRouters(n int) { l.routers.Store(int64(n)) }

// Since returns the time since the ledger's base; monotonic where t is.
func (l *Ledger) Since(t time.Time) time.Duration { return t.Sub(l.base) }

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

// Known returns the record of an endpoint by name, or nil.
func (l *Ledger) Known(name string) *Stats {
	v, ok := l.endpoints.Load(name)
	if !ok {
		return nil
	}
	return v.(*Stats)
}

// CacheEvent takes in what an endpoint says of its prefix cache. Events come
// late and with gaps, so they only add to the ledger's own record.
func (l *Ledger) CacheEvent(e *rattanhoist.Endpoint, prefix uint64, stored bool, now time.Time) {
	id := l.Stats(e).id
	if stored {
		l.prefixes.stored(prefix, id, l.Since(now))
		return
	}
	l.prefixes.evicted(prefix, id)
}
