// Package recorder keeps the recent decisions of a router, grouped by request,
// so that an operator can look up why a request ended as it did. Memory is
// bounded: when the recorder is full, a new request evicts the oldest one.
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
	// maxDecisionsPerRequest limits the memory that a caller can use by
	// retrying endlessly under one request ID.
	maxDecisionsPerRequest = 32
	// typicalDecisions is the initial slice capacity: the number of decisions
	// for a request that succeeds without errors or retries.
	typicalDecisions = 8
)

// Kind is the type of a decision.
type Kind = messenger.DecisionKind

// Short names for the decision kinds of the messenger package.
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

// Decision is one step that the router took for a request, such as picking an
// endpoint or refusing the request.
type Decision struct {
	// At is the time of the decision. Record sets it to the current time if it
	// is zero.
	At       time.Time
	Kind     Kind
	Endpoint string
	// Candidates is the number of endpoints that were eligible.
	Candidates int
	Tokens     rattanhoist.Tokens
	// Code is the error code of a refusal.
	Code   string
	Reason string
}

// Entry is a decision together with the key of its request.
type Entry struct {
	Key      rattanhoist.RequestKey
	Decision Decision
}

// Recorder stores the decisions of the most recent requests. It is safe for
// concurrent use. Requests are distributed over stripes by the hash of their ID,
// and each stripe has its own lock.
type Recorder struct {
	stripes [stripes]stripe
}

// stripe stores a share of the requests in a ring buffer with its own lock.
type stripe struct {
	mu sync.Mutex
	// The ring holds the request keys in the order of their first decision. Once
	// it is full, next is the index of the oldest key.
	ring      []rattanhoist.RequestKey
	next      int
	decisions map[rattanhoist.RequestKey][]Decision
}

// New returns a recorder with capacity for the given number of requests, rounded
// up to a multiple of the number of stripes.
func New(requests int) *Recorder {
	r := &Recorder{}
	each := max(1, (requests+stripes-1)/stripes)
	for i := range r.stripes {
		r.stripes[i].ring = make([]rattanhoist.RequestKey, 0, each)
		r.stripes[i].decisions = make(map[rattanhoist.RequestKey][]Decision, each)
	}
	return r
}

// stripeFor returns the stripe that stores the decisions for a request ID.
func (r *Recorder) stripeFor(requestID string) *stripe {
	return &r.stripes[xxhash.Sum64String(requestID)%stripes]
}

// Record appends a decision to those of a request. Beyond
// maxDecisionsPerRequest, it discards a decision from the middle.
func (r *Recorder) Record(k rattanhoist.RequestKey, d Decision) {
	if d.At.IsZero() {
		d.At = time.Now()
	}
	s := r.stripeFor(k.RequestID())
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.decisions[k]
	if !ok {
		s.insertRequest(k)
		t = make([]Decision, 0, typicalDecisions)
	}
	if len(t) == maxDecisionsPerRequest {
		// The first decisions show how the request began and the last ones how
		// it ended, so a decision in the middle is discarded.
		t = slices.Delete(t, maxDecisionsPerRequest/2, maxDecisionsPerRequest/2+1)
	}
	s.decisions[k] = append(t, d)
}

// insertRequest adds a request to the ring. If the ring is full, it evicts the
// oldest request and its decisions.
func (s *stripe) insertRequest(k rattanhoist.RequestKey) {
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, k)
		return
	}
	delete(s.decisions, s.ring[s.next])
	s.ring[s.next] = k
	s.next = (s.next + 1) % len(s.ring)
}

// Explain returns the recorded decisions for a request ID in chronological order.
// If workspace is not empty, only requests of that workspace are included.
func (r *Recorder) Explain(workspace, requestID string) []Entry {
	s := r.stripeFor(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for k, t := range s.decisions {
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
