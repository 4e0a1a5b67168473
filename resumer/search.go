package resumer

import (
	"slices"
	"time"
)

const (
	// searchTimeout bounds the search for a stream's origin.
	searchTimeout = 300 * time.Millisecond
	// searchRounds is how often a router is asked that does not answer or does not know the stream:
	// datagrams may be lost, and an origin may arrive after the caller has come back.
	searchRounds = 3
	// searchRoundInterval is the time between two rounds.
	searchRoundInterval = 80 * time.Millisecond
	// minDenials is how often a router has to say that it does not know the stream.
	minDenials = 2
)

// Search looks for the origin of one stream at the routers that may keep it. It reads no clock and is
// not safe for concurrent use.
type Search struct {
	began time.Time
	// minKept is how long a router must have kept origins to know the stream for sure.
	minKept time.Duration
	targets []searchTarget
	rounds  int
	origin  Origin
	found   bool
	// own is set if the origin is what this router itself has kept.
	own bool
}

type searchTarget struct {
	Member
	denials  int
	answered bool
}

// NewSearch returns a search at the given routers. A router that has kept origins for less than minKept counts as
// one that does not know the stream.
func NewSearch(now time.Time, candidates []Member, minKept time.Duration) *Search {
	s := &Search{began: now, minKept: minKept}
	for _, m := range candidates {
		s.targets = append(s.targets, searchTarget{Member: m})
	}
	return s
}

// NewConfirmation returns a search that confirms an origin which this router itself has kept. Several streams may
// share its key, and this router may have been out of step when another one began at a different origin.
func NewConfirmation(now time.Time, candidates []Member, minKept time.Duration, own Origin) *Search {
	s := NewSearch(now, candidates, minKept)
	s.origin, s.found, s.own = own, true, true
	return s
}

// Tick returns the routers to ask now.
func (s *Search) Tick(now time.Time) []Member {
	if s.rounds >= searchRounds || now.Sub(s.began) < time.Duration(s.rounds)*searchRoundInterval {
		return nil
	}
	s.rounds++
	var out []Member
	for _, t := range s.targets {
		if t.denials < minDenials {
			out = append(out, t.Member)
		}
	}
	return out
}

// Answer takes in the answer of a router at an address, which has kept origins for a time; known is false
// if it does not know the stream. Answers of routers that were not asked are ignored.
func (s *Search) Answer(address string, o Origin, known bool, kept time.Duration) {
	known = known && kept >= s.minKept
	i := slices.IndexFunc(s.targets, func(t searchTarget) bool { return t.Address == address })
	if i < 0 || s.rounds == 0 {
		return
	}
	s.targets[i].answered = true
	switch {
	case known && s.found && s.origin != o:
		s.origin.Version = ""
	case known:
		s.origin, s.found = o, true
	default:
		s.targets[i].denials++
	}
}

// Result returns the origin, or ErrUnknown or ErrUnreachable. It is not done while the search goes on.
func (s *Search) Result(now time.Time) (o Origin, done bool, err error) {
	switch {
	case s.own:
		return s.confirmed(now)
	case s.found:
		return s.origin, true, nil
	case len(s.targets) == 0:
		return Origin{}, true, ErrUnreachable
	case !slices.ContainsFunc(s.targets, func(t searchTarget) bool { return t.denials < minDenials }):
		return Origin{}, true, ErrUnknown
	case now.Sub(s.began) < searchTimeout:
		return Origin{}, false, nil
	case slices.ContainsFunc(s.targets, func(t searchTarget) bool { return t.denials == 0 }):
		return Origin{}, true, ErrUnreachable
	}
	return Origin{}, true, ErrUnknown
}

// confirmed returns the own origin once all routers have answered, or those that do in time.
func (s *Search) confirmed(now time.Time) (o Origin, done bool, err error) {
	answers := 0
	for _, t := range s.targets {
		if t.answered {
			answers++
		}
	}
	switch {
	case answers == len(s.targets):
		return s.origin, true, nil
	case now.Sub(s.began) < searchTimeout:
		return Origin{}, false, nil
	case answers == 0:
		return Origin{}, true, ErrUnreachable
	}
	return s.origin, true, nil
}
