package predictor

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
)

const (
	// otherZone is what sending a request to another availability zone costs,
	// as time. A way of 0.5 to 1 ms and some kilobytes are little beside parts
	// of a prompt that need not be read again: 500 tokens take 8 ms.
	otherZone = 6 * time.Millisecond
	// otherZonePlain is the same for plain requests, which gain nothing there.
	otherZonePlain = 60 * time.Millisecond
	// slotCost is the time that each running request adds to all others: a
	// step grows by 23 µs for each, and a first event takes about a dozen.
	slotCost = 300 * time.Microsecond
	// fullCost keeps requests from an endpoint whose slots are taken: half of
	// a usual latency objective.
	fullCost = 400 * time.Millisecond
	// giant is a prompt, in tokens, that stretches the steps of any engine so
	// far that callers of the streams beside it miss an event's pause: six
	// steps with a chunk of 2,048 tokens each, and the longer the context the
	// longer a step.
	giant = 24_000
	// giantHome draws giants of a zone to one endpoint, and giantShy keeps the
	// others away from it while they have a choice: both as time. On calm days
	// streams with too long a pause went from 105 to 54 of 1,350; with a
	// giantShy of 60 ms nothing moved.
	giantHome = 200 * time.Millisecond
	giantShy  = 250 * time.Millisecond
	// longRead is how long a prompt is read for it to do the same harm at one
	// endpoint: at a slow one, prompts far from giant do.
	longRead = 200 * time.Millisecond
	// longHarm is what such a prompt costs for each request that runs beside
	// it, as time: one in ten of them misses its pause, worth a quarter second.
	longHarm = 25 * time.Millisecond
	// apartZone is how many endpoints of a zone it takes to set one apart.
	apartZone = 3
	// homeLoad is how much longer than the best a prompt waits for the
	// endpoint where its parts are kept for all routers alike, beside the time
	// that reading them would take.
	homeLoad = 20 * time.Millisecond
)

// Table holds the endpoints in service; it is replaced as a whole.
type Table struct {
	zone      string
	byService atomic.Pointer[map[string]*group]
	// ByName holds the same endpoints by incarnation, as text.
	byName atomic.Pointer[map[string]*Endpoint]
	// Readers holds what was learned of each service's endpoints; it belongs to
	// Replace.
	readers map[string]*Reader
}

// group is the endpoints of one service; immutable.
type group struct {
	endpoints []*Endpoint
	// Apart holds for each zone the endpoint where its giants go.
	apart map[*Endpoint]bool
}

// NewTable returns an empty table for a router in zone.
func NewTable(zone string) *Table {
	t := &Table{zone: zone, readers: map[string]*Reader{}}
	t.Replace(nil)
	return t
}

// Replace puts other endpoints in service.
func (t *Table) Replace(byService map[string][]*Endpoint) {
	groups, names := map[string]*group{}, map[string]*Endpoint{}
	for s, list := range byService {
		groups[s] = &group{endpoints: list, apart: apart(list)}
		if t.readers[s] == nil {
			t.readers[s] = NewReader()
		}
		for _, e := range list {
			names[e.name] = e
			e.serve(t.readers[s])
		}
	}
	t.byService.Store(&groups)
	t.byName.Store(&names)
}

// apart picks an endpoint for giants in each zone that has enough of them. All
// routers pick the same.
func apart(list []*Endpoint) map[*Endpoint]bool {
	zones := map[string][]*Endpoint{}
	for _, e := range list {
		zones[e.beat.Zone] = append(zones[e.beat.Zone], e)
	}
	out := map[*Endpoint]bool{}
	for _, l := range zones {
		if len(l) >= apartZone {
			out[highest(l, "giants", func(*Endpoint) bool { return true })] = true
		}
	}
	return out
}

// Endpoints returns the endpoints of a service; callers must not change it.
func (t *Table) Endpoints(service string) []*Endpoint {
	if g := (*t.byService.Load())[service]; g != nil {
		return g.endpoints
	}
	return nil
}

// Sent notes a prompt that another router sent to an endpoint, which is named
// by its incarnation.
func (t *Table) Sent(now time.Time, name string, d Dispatch) {
	if e := (*t.byName.Load())[name]; e != nil {
		e.Sent(now, d)
	}
}

// Ask describes a request that needs an endpoint.
type Ask struct {
	Service string
	// Prompt is nil for plain requests.
	Prompt *Prompt
	// Tried holds the incarnations that the request was sent to already.
	Tried []enroller.Incarnation
	// Memory is what an endpoint of the service keeps, in tokens; 0 where unknown.
	Memory int64
	// Partial says that only some of the other routers tell this one what they send.
	Partial bool
	// Since counts from any fixed instant, for the gates.
	Since time.Duration
}

// Choose returns work at the endpoint with the shortest predicted wait, or nil
// where none is in service. The work must be ended.
func (t *Table) Choose(now time.Time, a Ask) *Work {
	g := (*t.byService.Load())[a.Service]
	if g == nil {
		return nil
	}
	best := t.best(now, a, g, false)
	if best == nil {
		// Every endpoint is blocked: one that failed may have recovered, and
		// an error costs no more than a refusal.
		best = t.best(now, a, g, true)
	}
	if best == nil {
		return nil
	}
	return best.begin(now, a, best == g.home(a))
}

func (t *Table) best(now time.Time, a Ask, g *group, blocked bool) *Endpoint {
	var best *Endpoint
	var least time.Duration
	home := g.home(a)
	for _, e := range g.endpoints {
		if !blocked && e.gate.Blocked(a.Since) || e.lost.Load() || slices.Contains(a.Tried, e.beat.Incarnation) {
			continue
		}
		c := e.cost(now, a, e == home)
		if g.apart[e] {
			c += apartCost(a.Prompt, e.beat.Zone == t.zone)
		}
		if e.beat.Zone != t.zone {
			c += otherZoneCost(a.Prompt)
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

func otherZoneCost(p *Prompt) time.Duration {
	if p == nil {
		return otherZonePlain
	}
	return otherZone
}

// home returns the endpoint where all routers look for the last shared part of
// a prompt first. It needs no word between routers, and a change of endpoints
// moves few parts.
func (g *group) home(a Ask) *Endpoint {
	if a.Prompt == nil || len(a.Prompt.Shared()) == 0 {
		return nil
	}
	shared := a.Prompt.Shared()
	return highest(g.endpoints, shared[len(shared)-1].ID, func(e *Endpoint) bool {
		return !g.apart[e] && !e.lost.Load() && !e.gate.Blocked(a.Since)
	})
}

// apartCost is what it costs, beside the wait, to send a prompt to an endpoint
// that is set apart for giants.
func apartCost(p *Prompt, sameZone bool) time.Duration {
	switch {
	case p == nil:
		return 0
	case p.In < giant:
		return giantShy
	case sameZone:
		return -giantHome
	}
	return 0
}

// highest returns the endpoint with the highest hash of key and endpoint among
// those that fit, or nil.
func highest(all []*Endpoint, key string, fits func(*Endpoint) bool) *Endpoint {
	var best *Endpoint
	var most uint64
	for _, e := range all {
		if !fits(e) {
			continue
		}
		if x := weight(key, e.beat.ID); best == nil || x > most {
			best, most = e, x
		}
	}
	return best
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
func (e *Endpoint) cost(now time.Time, a Ask, home bool) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	busy := e.busy(now)
	if a.Prompt == nil {
		slots := max(e.beat.Slots, 1)
		c := e.latency + time.Duration(float64(busy)/float64(slots)*float64(50*time.Millisecond))
		if busy >= slots {
			c += fullCost
		}
		return c
	}
	unread := e.unread(a, home)
	c := e.waitFor(now, unread, a.Prompt.In)
	if home {
		c -= homeLoad
	}
	if e.takes(now, unread, a.Prompt.In) > longRead {
		c += time.Duration(busy) * longHarm
	}
	if slots := e.beat.Slots; slots > 0 && busy >= slots {
		c += fullCost
	}
	return c
}

// unread returns the tokens of a prompt that the endpoint must read. Where only
// some routers tell what they send, the home of its parts is taken to keep them:
// what all routers send there together does not get old.
func (e *Endpoint) unread(a Ask, home bool) int64 {
	if home && a.Partial {
		return a.Prompt.own()
	}
	return e.uncached(a.Prompt, a.Memory)
}

// takes is how long the endpoint reads a prompt of which so many tokens are unread.
func (e *Endpoint) takes(now time.Time, unread, prompt int64) time.Duration {
	return time.Duration(float64(e.reader.Read(unread, prompt)) * e.paceNow(now))
}

// waitFor is the predicted wait for the first event of such a prompt.
func (e *Endpoint) waitFor(now time.Time, unread, prompt int64) time.Duration {
	pace := e.paceNow(now)
	queued := time.Duration(float64(e.queue.left(now, pace)) * pace)
	return e.reader.Base() + queued + e.takes(now, unread, prompt) + time.Duration(e.busy(now))*slotCost
}

func (e *Endpoint) begin(now time.Time, a Ask, home bool) *Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &Work{endpoint: e, at: now}
	e.running++
	if a.Prompt != nil {
		w.prompt = a.Prompt.In
		unread := e.unread(a, home)
		w.predict = e.waitFor(now, unread, w.prompt)
		w.dispatch = Dispatch{Unread: unread, Takes: e.reader.Read(unread, w.prompt), Parts: a.Prompt.SharedIDs()}
		pace := e.paceNow(now)
		w.queued = e.queue.left(now, pace)
		w.place = e.queue.enter(now, w.dispatch.Takes, pace)
		e.given(unread, w.dispatch.Parts)
	}
	return w
}
