package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
)

const (
	// crashesToHold is under how many endpoints' ends a request is held back. One or
	// two befall requests that were only repeated beside the one to blame.
	crashesToHold = 3
	// settleFor is how long ago an end must have been told of first to count: until
	// then other routers may still tell what else was under way at the endpoint.
	settleFor = 800 * time.Millisecond
	// together is how close ends of several endpoints are that have one cause outside, such
	// as a rack that loses power, and crowd how many others make it one: what was under
	// way at few of them did not end them all.
	together = 100 * time.Millisecond
	crowd    = 2
	// crashesMost bounds the crashes that are remembered, some 250 bytes each.
	crashesMost = 8192
)

// Crash is one request that was under way at an endpoint when that ended.
type Crash struct {
	Request  Fingerprint
	Endpoint enroller.Incarnation
	// At is when the connection broke off, by the clock of whoever holds the crash.
	At time.Time
	// Underway is how long before the end the request was sent there.
	Underway time.Duration
}

// suspect is a request under which endpoints ended.
type suspect struct {
	ends map[enroller.Incarnation]bool
	// Underway is the sum over the ends.
	underway time.Duration
}

// end is the end of one endpoint.
type end struct {
	// Told is when it was first told of.
	told time.Time
	// At is the earliest time that was named for it.
	at    time.Time
	under []Fingerprint
}

// Register counts under which requests endpoints ended, and says which to hold back. An
// endpoint that ends takes others' requests with it, and these are repeated too, so that
// some were under way at as many ends as the one to blame. Each end is therefore
// charged to one request at the most: ends under a request that is held back count
// against no other. Not safe for concurrent use.
type Register struct {
	// Remember is after what time a crash counts no more.
	remember time.Duration
	suspects map[Fingerprint]*suspect
	ends     map[enroller.Incarnation]*end
	// Order holds all crashes, oldest first.
	order []Crash
	held  map[Fingerprint]bool
}

// NewRegister returns a register that forgets crashes after a time.
func NewRegister(remember time.Duration) *Register {
	return &Register{
		remember: remember, suspects: map[Fingerprint]*suspect{}, ends: map[enroller.Incarnation]*end{},
		held: map[Fingerprint]bool{},
	}
}

// Hear takes a crash in and reports whether it was unknown.
func (r *Register) Hear(now time.Time, c Crash) bool {
	r.expire(now)
	s := r.suspects[c.Request]
	if s == nil {
		s = &suspect{ends: map[enroller.Incarnation]bool{}}
		r.suspects[c.Request] = s
	}
	if s.ends[c.Endpoint] {
		return false
	}
	s.ends[c.Endpoint] = true
	s.underway += c.Underway
	e := r.ends[c.Endpoint]
	if e == nil {
		e = &end{told: now, at: c.At}
		r.ends[c.Endpoint] = e
	}
	if c.At.Before(e.at) {
		e.at = c.At
	}
	e.under = append(e.under, c.Request)
	r.order = append(r.order, c)
	if len(r.order) > crashesMost {
		r.forgetOldest()
	}
	return true
}

// Hold says which requests are held back now.
func (r *Register) Hold(requests []Fingerprint) {
	r.held = map[Fingerprint]bool{}
	for _, f := range requests {
		r.held[f] = true
	}
}

// Suspects reports whether endpoints ended under a request.
func (r *Register) Suspects(f Fingerprint) bool { return r.suspects[f] != nil }

// Clear forgets the ends under a request that an endpoint has answered.
func (r *Register) Clear(f Fingerprint) {
	if !r.Suspects(f) {
		return
	}
	kept := r.order[:0]
	for _, c := range r.order {
		if c.Request == f {
			r.forget(c)
		} else {
			kept = append(kept, c)
		}
	}
	r.order = kept
}

// Due returns the requests to hold back from now on. Of several under which as many
// endpoints ended, it takes the one after whose arrival they ended soonest: a request
// that ends its endpoint does so when it begins, what else ran there had run for longer.
func (r *Register) Due(now time.Time) []Fingerprint {
	r.expire(now)
	var out []Fingerprint
	held := func(f Fingerprint) bool { return r.held[f] || slices.Contains(out, f) }
	for {
		var best Fingerprint
		most := 0
		for f, s := range r.suspects {
			if len(s.ends) < crashesToHold || held(f) {
				continue
			}
			n := r.charged(now, f, held)
			if n < crashesToHold || n < most {
				continue
			}
			if n > most || r.before(f, best) {
				best, most = f, n
			}
		}
		if most == 0 {
			return out
		}
		out = append(out, best)
	}
}

// charged counts the settled ends that neither a request held back nor a cause outside
// accounts for.
func (r *Register) charged(now time.Time, f Fingerprint, held func(Fingerprint) bool) int {
	n := 0
	for i := range r.suspects[f].ends {
		e := r.ends[i]
		if now.Sub(e.told) >= settleFor && !slices.ContainsFunc(e.under, held) && !r.crowded(f, e, held) {
			n++
		}
	}
	return n
}

// crowded reports whether endpoints at which a request was not under way ended together
// with one at which it was.
func (r *Register) crowded(f Fingerprint, e *end, held func(Fingerprint) bool) bool {
	others := 0
	for _, x := range r.ends {
		if x.at.Sub(e.at).Abs() <= together && !slices.Contains(x.under, f) && !slices.ContainsFunc(x.under, held) {
			others++
		}
	}
	return others >= crowd
}

// before orders suspects with as many ends.
func (r *Register) before(a, b Fingerprint) bool {
	x, y := r.suspects[a], r.suspects[b]
	return cmp.Or(
		cmp.Compare(x.underway*time.Duration(len(y.ends)), y.underway*time.Duration(len(x.ends))),
		cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Sum, b.Sum),
	) < 0
}

func (r *Register) expire(now time.Time) {
	for len(r.order) > 0 {
		c := r.order[0]
		if now.Sub(r.ends[c.Endpoint].told) < r.remember {
			return
		}
		r.forgetOldest()
	}
}

func (r *Register) forgetOldest() {
	r.forget(r.order[0])
	r.order = r.order[1:]
}

func (r *Register) forget(c Crash) {
	s := r.suspects[c.Request]
	delete(s.ends, c.Endpoint)
	s.underway -= c.Underway
	if len(s.ends) == 0 {
		delete(r.suspects, c.Request)
	}
	e := r.ends[c.Endpoint]
	e.under = slices.DeleteFunc(e.under, func(f Fingerprint) bool { return f == c.Request })
	if len(e.under) == 0 {
		delete(r.ends, c.Endpoint)
	}
}
