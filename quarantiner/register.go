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
	// crashesMost bounds the crashes that are remembered, some 250 bytes each.
	crashesMost = 8192
)

// Crash is one request that was under way at an endpoint when that ended.
type Crash struct {
	Request  Fingerprint
	Endpoint enroller.Incarnation
	// Underway is how long before the end the request was sent there.
	Underway time.Duration
}

// suspect is a request under which endpoints ended.
type suspect struct {
	// Ends holds when each end was heard of.
	ends map[enroller.Incarnation]time.Time
	// Underway is the sum over the ends.
	underway time.Duration
}

// end is the end of one endpoint.
type end struct {
	// Told is when it was first told of.
	told  time.Time
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
	s := r.suspects[c.Request]
	if s == nil {
		s = &suspect{ends: map[enroller.Incarnation]time.Time{}}
		r.suspects[c.Request] = s
	}
	if _, known := s.ends[c.Endpoint]; known {
		return false
	}
	s.ends[c.Endpoint] = now
	s.underway += c.Underway
	e := r.ends[c.Endpoint]
	if e == nil {
		e = &end{told: now}
		r.ends[c.Endpoint] = e
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
			n := r.charged(now, s, held)
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

// charged counts the settled ends that no request held back accounts for.
func (r *Register) charged(now time.Time, s *suspect, held func(Fingerprint) bool) int {
	n := 0
	for i := range s.ends {
		if e := r.ends[i]; now.Sub(e.told) >= settleFor && !slices.ContainsFunc(e.under, held) {
			n++
		}
	}
	return n
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
		if now.Sub(r.suspects[c.Request].ends[c.Endpoint]) < r.remember {
			return
		}
		r.forgetOldest()
	}
}

func (r *Register) forgetOldest() {
	c := r.order[0]
	r.order = r.order[1:]
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
