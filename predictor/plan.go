package predictor

import "time"

const (
	// slotCost is the time that each running request adds to the first event of others.
	slotCost = 300 * time.Microsecond
	// fullCost keeps requests from an endpoint whose slots are taken.
	fullCost = 400 * time.Millisecond
	// fetchLeast is the fewest tokens worth fetching from another endpoint: below it,
	// reading takes a few steps.
	fetchLeast = 1_000
	// otherZoneCarry is how many times as long a fetch takes between zones.
	otherZoneCarry = 2
	// longRead is how long a prompt is read for it to do the same harm at one
	// endpoint: at a slow one, prompts far from giant do.
	longRead = 200 * time.Millisecond
	// longHarm is what such a prompt costs for each request that runs beside it, whose
	// events it delays.
	longHarm = 25 * time.Millisecond
)

// plan is how an endpoint would come by a prompt.
type plan struct {
	endpoint *Endpoint
	// Unread is the tokens that it must read.
	unread int64
	// Donor is the endpoint that it fetches kept parts from first, which takes the
	// time carry; nil where it fetches nothing.
	donor *Endpoint
	carry time.Duration
}

// keeper is an endpoint with the tokens of a prompt that it keeps.
type keeper struct {
	endpoint *Endpoint
	kept     int64
}

// donors returns for each zone the candidate that keeps most of a prompt and has
// read it already.
func donors(now time.Time, a Ask, candidates []*Endpoint, home *Endpoint) map[string]keeper {
	if a.Carry <= 0 || a.Prompt == nil {
		return nil
	}
	out := map[string]keeper{}
	for _, e := range candidates {
		if e.lost.Load() || e.gate.Ejected() || e.warmup.Restricted(now) {
			continue
		}
		if n := e.keeps(now, a, e == home); n >= fetchLeast && n > out[e.beat.Zone].kept {
			out[e.beat.Zone] = keeper{e, n}
		}
	}
	return out
}

// keeps returns how many tokens of a prompt another endpoint can fetch here.
func (e *Endpoint) keeps(now time.Time, a Ask, home bool) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.left(now, e.paceNow(now)) > 0 {
		// What was sent there last may not be read yet.
		return e.finished(a.Prompt, a.Memory)
	}
	return a.Prompt.In - e.unread(a, home)
}

// planFor returns the fastest way for an endpoint to come by a prompt.
func (e *Endpoint) planFor(a Ask, home bool, donors map[string]keeper) plan {
	p := plan{endpoint: e, unread: e.unread(a, home)}
	if a.Prompt == nil {
		return p
	}
	least := e.ordinary.Read(p.unread, a.Prompt.In)
	kept := a.Prompt.In - p.unread
	for zone, d := range donors {
		gain := d.kept - kept
		if d.endpoint == e || gain < fetchLeast {
			continue
		}
		carry := time.Duration(gain) * a.Carry
		if zone != e.beat.Zone {
			carry *= otherZoneCarry
		}
		unread := a.Prompt.In - d.kept
		if takes := carry + e.ordinary.Read(unread, a.Prompt.In); takes < least {
			least, p.unread, p.donor, p.carry = takes, unread, d.endpoint, carry
		}
	}
	return p
}

// offer returns how the endpoint would come by a prompt, and the wait that it costs.
func (e *Endpoint) offer(now time.Time, a Ask, home bool, donors map[string]keeper) (plan, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.planFor(a, home, donors)
	return p, e.cost(now, a, home, p)
}

// cost is the predicted wait for the first event, or for a plain answer.
func (e *Endpoint) cost(now time.Time, a Ask, home bool, p plan) time.Duration {
	busy := e.busy(now)
	if a.Prompt == nil {
		slots := max(e.beat.Slots, 1)
		c := scaled(e.ordinary.Answer(), e.slowdown(now)) + e.slowerNow(now) + time.Duration(float64(busy)/float64(slots)*float64(50*time.Millisecond))
		if busy >= slots {
			c += fullCost
		}
		return c
	}
	c := scaled(e.waitFor(now, p, a.Prompt.In), e.slowdown(now))
	if home {
		c -= homeLoad
	}
	if e.takes(now, p.unread, a.Prompt.In) > longRead {
		c += time.Duration(busy) * longHarm
	}
	if slots := e.beat.Slots; slots > 0 && busy >= slots {
		c += fullCost
	}
	return c
}

func scaled(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }

// unread returns the tokens of a prompt that the endpoint must read by itself.
// Where only some routers tell what they send, the home of its parts is taken to
// keep them: what all routers send there together does not get old.
func (e *Endpoint) unread(a Ask, home bool) int64 {
	if a.Prompt == nil {
		return 0
	}
	if home && a.Partial {
		return a.Prompt.own()
	}
	return e.uncached(a.Prompt, a.Memory)
}

// takes is how long the endpoint reads a prompt of which so many tokens are unread.
func (e *Endpoint) takes(now time.Time, unread, prompt int64) time.Duration {
	return time.Duration(float64(e.ordinary.Read(unread, prompt)) * e.paceNow(now))
}

// waitFor is the predicted wait for the first event of such a prompt.
func (e *Endpoint) waitFor(now time.Time, p plan, prompt int64) time.Duration {
	pace := e.paceNow(now)
	queued := time.Duration(float64(e.queue.left(now, pace)) * pace)
	return e.ordinary.Base() + max(queued, p.carry) + e.takes(now, p.unread, prompt) + time.Duration(e.busy(now))*slotCost
}

func (e *Endpoint) begin(now time.Time, a Ask, p plan) *Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &Work{endpoint: e, at: now}
	e.running++
	if a.Prompt == nil {
		return w
	}
	w.prompt, w.donor = a.Prompt.In, p.donor
	w.predict = e.waitFor(now, p, w.prompt)
	w.dispatch = Dispatch{Unread: p.unread, Takes: e.ordinary.Read(p.unread, w.prompt), Parts: a.Prompt.SharedIDs()}
	pace := e.paceNow(now)
	w.queued = e.queue.left(now, pace)
	w.place = e.queue.enter(now, w.dispatch.Takes, pace)
	e.given(p.unread, w.place, w.dispatch.Parts)
	return w
}
