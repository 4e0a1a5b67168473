// Package recorder keeps the latest decisions that a router made, by request,
// so that an operator can ask why a request ended as it did. Its memory is
// bounded: the oldest request makes room for the newest.
package recorder

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	stripes = 16
	// maxDecisions bounds one request; a caller that retries for ever under
	// one id must not fill the memory.
	maxDecisions = 32
	// usualDecisions is how many a request has that nothing went wrong with.
	usualDecisions = 8
)

// Kind names a decision.
type Kind = messenger.DecisionKind

// Kinds of decisions.
const (
	Admitted   = messenger.DecisionKind_DECISION_KIND_ADMITTED
	Joined     = messenger.DecisionKind_DECISION_KIND_JOINED
	Reserved   = messenger.DecisionKind_DECISION_KIND_RESERVED
	Picked     = messenger.DecisionKind_DECISION_KIND_PICKED
	Dispatched = messenger.DecisionKind_DECISION_KIND_DISPATCHED
	Retried    = messenger.DecisionKind_DECISION_KIND_RETRIED
	Billed     = messenger.DecisionKind_DECISION_KIND_BILLED
	Answered   = messenger.DecisionKind_DECISION_KIND_ANSWERED
	Refused    = messenger.DecisionKind_DECISION_KIND_REFUSED
	Claimed    = messenger.DecisionKind_DECISION_KIND_CLAIMED
	Failed     = messenger.DecisionKind_DECISION_KIND_FAILED
	HandedOver = messenger.DecisionKind_DECISION_KIND_HANDED_OVER
)

// Decision is one choice made for a request.
type Decision struct {
	// At is set by Record when it is zero.
	At       time.Time
	Kind     Kind
	Endpoint string
	// Candidates is how many endpoints could have been picked.
	Candidates int
	Tokens     rattanhoist.Tokens
	// Code is that of a refusal.
	Code   string
	Reason string
}

// Entry is a decision with its request.
type Entry struct {
	Key      rattanhoist.RequestKey
	Decision Decision
}

// Recorder holds the decisions of the latest requests. Safe for concurrent
// use; requests share a lock only with those of their stripe.
type Recorder struct {
	stripes [stripes]stripe
}

// stripe is a ring of requests.
type stripe struct {
	mu sync.Mutex
	// Ring holds the keys in order of their first decision; Next is the place
	// of the oldest once the ring is full.
	ring   []rattanhoist.RequestKey
	next   int
	trails map[rattanhoist.RequestKey][]Decision
}

// New returns a recorder of at least the given number of latest requests.
func New(requests int) *Recorder {
	r := &Recorder{}
	each := max(1, (requests+stripes-1)/stripes)
	for i := range r.stripes {
		r.stripes[i].ring = make([]rattanhoist.RequestKey, 0, each)
		r.stripes[i].trails = make(map[rattanhoist.RequestKey][]Decision, each)
	}
	return r
}

func (r *Recorder) stripe(requestID string) *stripe {
	return &r.stripes[xxhash.Sum64String(requestID)%stripes]
}

// Record adds a decision to a request's trail.
func (r *Recorder) Record(k rattanhoist.RequestKey, d Decision) {
	if d.At.IsZero() {
		d.At = time.Now()
	}
	s := r.stripe(k.RequestID())
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.trails[k]
	if !ok {
		s.admit(k)
		t = make([]Decision, 0, usualDecisions)
	}
	if len(t) == maxDecisions {
		// The first decisions say how the request began, the last how it
		// ended; those between are given up.
		t = slices.Delete(t, maxDecisions/2, maxDecisions/2+1)
	}
	s.trails[k] = append(t, d)
}

// admit makes room for a request in the ring.
func (s *stripe) admit(k rattanhoist.RequestKey) {
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, k)
		return
	}
	delete(s.trails, s.ring[s.next])
	s.ring[s.next] = k
	s.next = (s.next + 1) % len(s.ring)
}

// Explain returns what is known of a request id, in order of time, for one
// workspace or, when that is empty, for all.
func (r *Recorder) Explain(workspace, requestID string) []Entry {
	s := r.stripe(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for k, t := range s.trails {
		if k.RequestID() != requestID || workspace != "" && k.Workspace() != workspace {
			continue
		}
		for _, d := range t {
			out = append(out, Entry{Key: k, Decision: d})
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return a.Decision.At.Compare(b.Decision.At) })
	return out
}
