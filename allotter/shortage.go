package allotter

import (
	"sync"

	"rattanhoist.example/rattanhoist/messenger"
)

// reportDivisor is the part of a total, as a divisor, below which its unspent tokens are reported
// to other routers. It is the part below which the ledger treats tokens as scarce.
const reportDivisor = unspentDivisor

// Shortages holds the last notice of each workspace's unspent tokens. The unspent tokens of a
// total only decrease, so a notice stays valid until the total is raised. It is safe for
// concurrent use.
type Shortages struct {
	mu sync.Mutex
	// Workspaces that the document in force does not limit are absent from both maps.
	totals  map[string]int64
	notices map[string]*messenger.RightsShortage
}

// NewShortages returns Shortages without totals.
func NewShortages() *Shortages {
	return &Shortages{totals: map[string]int64{}, notices: map[string]*messenger.RightsShortage{}}
}

// SetTotals replaces the totals by those of a document that comes into force. It removes notices
// of lower totals, which a raise has made invalid, and notices of higher totals if the total was
// lowered.
func (s *Shortages) SetTotals(totals map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w, n := range s.notices {
		total, limited := totals[w]
		lowered := total < s.totals[w] && n.Total > total
		if !limited || n.Total < total || lowered {
			delete(s.notices, w)
		}
	}
	s.totals = totals
}

// Observe records a notice, and returns false if it is malformed. A notice for a lower total than
// the document in force or an earlier notice states is out of date and changes nothing.
func (s *Shortages) Observe(n *messenger.RightsShortage) bool {
	if n.GetUnspent() < 0 || n.GetUnspent() > n.GetTotal() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	total, limited := s.totals[n.GetWorkspace()]
	if !limited || n.Total < total {
		return true
	}
	if o := s.notices[n.Workspace]; o == nil || n.Total > o.Total || n.Total == o.Total && n.Unspent <= o.Unspent {
		s.notices[n.Workspace] = n
	}
	return true
}

// KnownSpent reports whether fewer than n tokens of a workspace's total are unspent. Keepers count
// borrowed tokens as spent, so a router that holds n tokens may still spend them.
func (s *Shortages) KnownSpent(workspace string, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.notices[workspace]
	return o != nil && o.Unspent < n
}

// Report returns the notice of a workspace for other routers, or nil if its total is not short.
func (s *Shortages) Report(workspace string) *messenger.RightsShortage {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.notices[workspace]
	if o == nil || o.Unspent > o.Total/reportDivisor {
		return nil
	}
	return o
}

// ShortageOf returns the notice in a grant, or nil if the grant is from a keeper of an earlier
// version.
func ShortageOf(g *messenger.RightsGrant) *messenger.RightsShortage {
	if g.Unspent == nil {
		return nil
	}
	return &messenger.RightsShortage{Workspace: g.Workspace, Left: g.Left, Unspent: g.GetUnspent(), Total: g.Total, RunwayMs: g.RunwayMs}
}
