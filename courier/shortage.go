package courier

import (
	"time"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/messenger"
)

// claimEarly makes the next claim start at once if a reservation leaves little for the next
// requests. In a network partition, claims would only accumulate limits.
func (r *rights) claimEarly(p *allotter.Allocation, workspace string) {
	if !r.notices || r.fleet.disconnected() {
		return
	}
	r.mu.Lock()
	floor := r.floor(workspace)
	r.mu.Unlock()
	if p.NeedsEarlyClaim(time.Now(), floor) {
		r.signalClaim()
	}
}

// knownSpent reports whether a request needs more tokens than the total has unspent. Tokens that
// this router borrowed count as spent at the keepers, so it serves requests from them still. The
// same holds for the tokens of a pooled total that its owners got back, so owners are asked.
func (r *rights) knownSpent(p *allotter.Allocation, workspace string, tokens int64) bool {
	return r.notices && r.shortages.KnownSpent(workspace, tokens) && !p.Holds(tokens) && !r.pooled(workspace)
}

// KnownSpent implements forwarder.SpentChecker.
func (r *rights) KnownSpent(workspace string, tokens int64) bool {
	p, _, _ := r.allocation(workspace)
	return r.knownSpent(p, workspace, tokens)
}

var _ forwarder.SpentChecker = (*rights)(nil)

// refuseKnownSpent counts and returns the refusal of a request whose total is known to be spent.
func refuseKnownSpent() error {
	rightsSpent.Inc()
	knownSpentRefusals.Inc()
	return forwarder.ErrSpent
}

// observeShortages records what keepers or other routers report of short totals.
func (r *rights) observeShortages(list []*messenger.RightsShortage) {
	if !r.notices {
		return
	}
	for _, n := range list {
		if !r.shortages.Observe(n) {
			droppedNotices.Inc()
		}
	}
}

// reportShortages returns what is known of the short totals among some workspaces.
func (r *rights) reportShortages(workspaces ...string) []*messenger.RightsShortage {
	if !r.notices {
		return nil
	}
	var out []*messenger.RightsShortage
	for _, w := range workspaces {
		if n := r.shortages.Report(w); n != nil {
			out = append(out, n)
		}
	}
	return out
}
