package predictor

import (
	"hash/fnv"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// keptFor is how long a part sent to an endpoint is expected in its
	// memory.
	keptFor = 30 * time.Second
	// otherZone is what sending a request to another availability zone costs,
	// as time: what the bytes between zones cost against a late answer.
	otherZone = 60 * time.Millisecond
	// slotCost is the time that each running request adds to all others.
	slotCost = 300 * time.Microsecond
	// fullCost keeps requests from an endpoint whose slots are taken.
	fullCost = 400 * time.Millisecond
	// giant is a prompt, in tokens to be read, that delays every event of the
	// streams beside it by more than the pauses that callers bear: reading in
	// chunks of 2,048, each step takes 30 ms and more beyond 40,000 tokens of
	// context, and an event takes six steps.
	giant = 24_000
	// giantHome draws giants of a zone to one endpoint, and giantShy keeps the
	// others away from it while they have a choice: both as time.
	giantHome = 400 * time.Millisecond
	giantShy  = 250 * time.Millisecond
	// giantZone is how many endpoints of a zone it takes to set one apart.
	giantZone = 3
	// homeLoad is how much longer than the best a prompt waits for the
	// endpoint where its parts are kept for all routers alike.
	homeLoad = 80 * time.Millisecond
)

// Table holds the endpoints in service; it is replaced as a whole.
type Table struct {
	zone      string
	byService atomic.Pointer[map[string][]*Endpoint]
}

// NewTable returns an empty table for a router in zone.
func NewTable(zone string) *Table {
	t := &Table{zone: zone}
	t.byService.Store(&map[string][]*Endpoint{})
	return t
}

// Replace puts other endpoints in service.
func (t *Table) Replace(byService map[string][]*Endpoint) { t.byService.Store(&byService) }

// Endpoints returns the endpoints of a service; callers must not change it.
func (t *Table) Endpoints(service string) []*Endpoint { return (*t.byService.Load())[service] }

// Sent notes a prompt that another router sent to an endpoint.
func (t *Table) Sent(now time.Time, id string, unread int64) {
	for _, list := range *t.byService.Load() {
		for _, e := range list {
			if e.beat.ID == id {
				e.Sent(now, unread)
				return
			}
		}
	}
}

// Ask describes a request that needs an endpoint.
type Ask struct {
	Service string
	// Prompt is nil for plain requests.
	Prompt *Prompt
	// Tried holds the incarnations that the request was sent to already.
	Tried []string
	// Since counts from any fixed instant, for the gates.
	Since time.Duration
}

// Choose returns work at the endpoint with the shortest predicted wait, or nil
// where none is in service. The work must be ended.
func (t *Table) Choose(now time.Time, a Ask) *Work {
	all := t.Endpoints(a.Service)
	best := t.best(now, a, all, false)
	if best == nil {
		// Every endpoint is blocked: one that failed may have recovered, and
		// an error costs no more than a refusal.
		best = t.best(now, a, all, true)
	}
	if best == nil {
		return nil
	}
	return best.begin(now, a)
}

func (t *Table) best(now time.Time, a Ask, all []*Endpoint, blocked bool) *Endpoint {
	var best *Endpoint
	var least time.Duration
	apart := t.apart(a, all)
	home := t.home(a, all, apart)
	for _, e := range all {
		if !blocked && e.gate.Blocked(a.Since) || tried(a.Tried, e.beat.ID) {
			continue
		}
		c := e.cost(now, a.Prompt, e == home)
		if apart != nil {
			c += apartCost(a.Prompt, e == apart)
		}
		if e.beat.Zone != t.zone {
			c += otherZone
		}
		if e.gate.Ejected() {
			c += fullCost
		}
		// A little noise keeps routers that know the same from choosing the
		// same endpoint at the same moment.
		c += time.Duration(rand.Int64N(int64(2 * time.Millisecond)))
		if best == nil || c < least {
			best, least = e, c
		}
	}
	return best
}

func tried(ids []string, id string) bool {
	for _, t := range ids {
		if t == id {
			return true
		}
	}
	return false
}

// home returns the endpoint of the zone where all its routers look for the
// last shared part of a prompt first. It needs no word between routers, and a
// change of endpoints moves few parts.
func (t *Table) home(a Ask, all []*Endpoint, apart *Endpoint) *Endpoint {
	if a.Prompt == nil || len(a.Prompt.Shared()) == 0 {
		return nil
	}
	shared := a.Prompt.Shared()
	e, _ := t.highest(a, all, apart, shared[len(shared)-1].ID)
	return e
}

// apart returns the endpoint of the zone where giants go, or nil.
func (t *Table) apart(a Ask, all []*Endpoint) *Endpoint {
	if a.Prompt == nil {
		return nil
	}
	e, n := t.highest(a, all, nil, "giants")
	if n < giantZone {
		return nil
	}
	return e
}

func apartCost(p *Prompt, there bool) time.Duration {
	switch {
	case there && p.In >= giant:
		return -giantHome
	case there:
		return giantShy
	}
	return 0
}

// highest returns the endpoint of the zone with the highest hash of key and
// endpoint, without one of them, and how many there are.
func (t *Table) highest(a Ask, all []*Endpoint, but *Endpoint, key string) (*Endpoint, int) {
	var best *Endpoint
	var most uint64
	n := 0
	for _, e := range all {
		if e == but || e.beat.Zone != t.zone || e.gate.Blocked(a.Since) {
			continue
		}
		n++
		if x := weight(key, e.beat.ID); best == nil || x > most {
			best, most = e, x
		}
	}
	return best, n
}

// weight is a hash in which every bit of both strings counts for every bit.
func weight(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// cost is the predicted wait for the first event, or for a plain answer.
func (e *Endpoint) cost(now time.Time, p *Prompt, home bool) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	busy := e.busy(now)
	if p == nil {
		slots := max(e.beat.Slots, 1)
		c := e.latency + time.Duration(float64(busy)/float64(slots)*float64(50*time.Millisecond))
		if busy >= slots {
			c += fullCost
		}
		return c
	}
	c := e.wait(now, p)
	if home {
		c -= homeLoad
	}
	if slots := e.beat.Slots; slots > 0 && busy >= slots {
		c += fullCost
	}
	return c
}

func (e *Endpoint) wait(now time.Time, p *Prompt) time.Duration {
	tokens := float64(e.queue.left(now, e.rate) + e.uncached(p, now, keptFor))
	return baseWait + time.Duration(tokens/e.rate*float64(time.Millisecond)) + time.Duration(e.busy(now))*slotCost
}

func (e *Endpoint) begin(now time.Time, a Ask) *Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &Work{endpoint: e, at: now}
	e.running++
	if a.Prompt != nil {
		w.predict = e.wait(now, a.Prompt)
		w.unread = e.uncached(a.Prompt, now, keptFor)
		w.place = e.queue.enter(now, w.unread, e.rate)
		if len(e.parts) > partsMost {
			clear(e.parts)
		}
		for _, part := range a.Prompt.Parts {
			e.parts[part.ID] = now
		}
	}
	return w
}
