// Package allotter distributes the prepaid tokens of workspaces among routers. Keepers hold the
// Ledger of what was granted. A router holds an Allocation for each workspace, serves requests
// from it, and settles with the keepers by claims, which report its spending and ask for more. The
// tokens that routers hold, the tokens that ended routers may have spent and the unallocated
// tokens never exceed a workspace's total together.
package allotter

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// maxEndedIncarnations is how many ended incarnations of a router are remembered, so that a
	// delayed claim of one of them is refused. Restarts take seconds, and claims are not kept that
	// long.
	maxEndedIncarnations = 16
	// Tokens are scarce if less than 1/unallocatedDivisor of the total is unallocated, or less
	// than 1/unspentDivisor is unspent. Then the tokens that idle routers hold decide whether the
	// total can be spent, so routers must not hold tokens far ahead of demand.
	unallocatedDivisor = 40
	unspentDivisor     = 6
	// poolDivisor limits a single claim to 1/poolDivisor of the unallocated tokens, scaled by the
	// router's part of all routers or of the demand. With 2, one claim never takes all of them.
	poolDivisor = 2
	// maxRunwayMs limits the runway to an hour.
	maxRunwayMs = 3_600_000
)

// account holds what one incarnation of a router was granted of a workspace. Its amounts only
// grow, so claims that arrive twice or out of order do no harm.
type account struct {
	granted, returned, spent int64
	// Bounds are the spending bounds that the router may currently obey, oldest first: the bound
	// of the last claim for this workspace whose answer the router is known to have received, and
	// the bounds of all later claims. A claim that omits the workspace confirms the previous
	// bound.
	bounds []*messenger.RightsBound
}

// allocated returns the tokens that the incarnation received and did not return, which is the most
// that it can have spent.
func (a *account) allocated() int64 { return a.granted - a.returned }

// holder is the state of one router.
type holder struct {
	incarnation uint64
	sequence    uint64
	accounts    map[string]*account
	ended       []uint64
	// Statements are the claims whose bounds the router may currently obey, oldest first: the last
	// claim whose answer the router is known to have received, and all later claims.
	statements []*messenger.RightsStatement
}

// Ledger records the prepaid totals and what each router holds of them. It does no I/O and reads
// no clock. It is not safe for concurrent use.
type Ledger struct {
	totals map[string]int64
	// Consumed is the tokens that ended incarnations spent or may have spent.
	consumed map[string]int64
	// Held is the sum of the allocated tokens of all holders.
	held map[string]int64
	// Spent is the sum of the spending that the holders reported.
	spent map[string]int64
	// Slopes is the sum of the slopes in the holders' latest claims, which estimates how fast all
	// routers together spend a workspace's tokens.
	slopes map[string]int64
	// AccountCounts is the number of holders that have an account for a workspace.
	accountCounts map[string]int64
	// ScarceWorkspaces holds the workspaces for which isScarce is true.
	scarceWorkspaces map[string]bool
	holders          map[string]*holder
}

// NewLedger returns a ledger without totals.
func NewLedger() *Ledger {
	return &Ledger{
		totals: map[string]int64{}, consumed: map[string]int64{},
		held: map[string]int64{}, spent: map[string]int64{}, slopes: map[string]int64{}, accountCounts: map[string]int64{}, scarceWorkspaces: map[string]bool{}, holders: map[string]*holder{},
	}
}

// SetTotals replaces the prepaid totals. The spending of a workspace that is absent from totals is
// kept, because the workspace may be added again.
func (l *Ledger) SetTotals(totals []*messenger.PrepaidTotal) {
	l.totals = map[string]int64{}
	for _, t := range totals {
		l.totals[t.Workspace] = t.Tokens
	}
	l.scarceWorkspaces = map[string]bool{}
	for w := range l.totals {
		l.updateScarce(w)
	}
}

// updateScarce updates scarceWorkspaces after a change to a workspace.
func (l *Ledger) updateScarce(workspace string) {
	if l.isScarce(workspace) {
		l.scarceWorkspaces[workspace] = true
	} else {
		delete(l.scarceWorkspaces, workspace)
	}
}

// Unallocated returns the tokens of a workspace that no router holds or has spent.
func (l *Ledger) Unallocated(workspace string) int64 {
	return max(l.totals[workspace]-l.consumed[workspace]-l.held[workspace], 0)
}

// Balance describes how a workspace's prepaid total is distributed, in tokens.
type Balance struct {
	Workspace string
	// Total is the prepaid total. Unallocated is held by no router, Held is held by running
	// routers or was reported as spent by them, and SpentByEnded is what ended incarnations spent
	// or may have spent.
	Total, Unallocated, Held, SpentByEnded int64
	// Spent is the part of Held that was reported as spent.
	Spent int64
	// Scarce reports whether routers return tokens that they do not need.
	Scarce bool
}

// Balances returns the balances of all workspaces that have a total, sorted by name.
func (l *Ledger) Balances() []Balance {
	var out []Balance
	for _, w := range slices.Sorted(maps.Keys(l.totals)) {
		out = append(out, Balance{
			Workspace: w, Total: l.totals[w], Unallocated: l.Unallocated(w), Held: l.held[w], SpentByEnded: l.consumed[w], Spent: l.spent[w], Scarce: l.isScarce(w),
		})
	}
	return out
}

// unspent returns the tokens that are not known to be spent.
func (l *Ledger) unspent(workspace string) int64 {
	return l.totals[workspace] - l.consumed[workspace] - l.spent[workspace]
}

// TotalPrepaid returns the sum of all totals.
func (l *Ledger) TotalPrepaid() int64 {
	var sum int64
	for _, n := range l.totals {
		sum += n
	}
	return sum
}

// ApplyClaims records a router's claims and returns the grants. If the router was restarted, its
// previous incarnation is ended first. Claims of an ended incarnation are refused.
func (l *Ledger) ApplyClaims(c *messenger.RightsChange) *messenger.RightsGrants {
	out := &messenger.RightsGrants{}
	h := l.currentHolder(c, out)
	if h == nil {
		out.Ended = true
		return out
	}
	isNew := c.Sequence > h.sequence
	if isNew {
		h.addStatement(c)
	}
	for _, claim := range c.Claims {
		a := l.account(h, claim.Workspace)
		if isNew {
			l.slopes[claim.Workspace] += claim.Slope - a.slope()
			a.addBound(&messenger.RightsBound{Sequence: c.Sequence, Ceiling: claim.Ceiling, Slope: claim.Slope, RestMs: claim.RestMs}, c.Answered)
		}
		out.Grants = append(out.Grants, l.applyClaim(a, claim, isNew))
	}
	out.Scarce = l.omittedScarce(h, c)
	out.Shortages = l.shortages(out.Scarce)
	if c.Closing {
		l.endIncarnation(h, out, func(a *account) int64 { return min(a.spent, a.allocated()) })
	}
	return out
}

// slope returns the slope of the latest claim, which grows with the router's demand.
func (a *account) slope() int64 {
	if len(a.bounds) == 0 {
		return 0
	}
	return a.bounds[len(a.bounds)-1].Slope
}

// addBound records the bound of a claim, and removes bounds that the router no longer obeys.
func (a *account) addBound(b *messenger.RightsBound, answered uint64) {
	for len(a.bounds) > 1 && a.bounds[1].Sequence <= answered {
		a.bounds = a.bounds[1:]
	}
	a.bounds = append(slices.Clone(a.bounds), b)
}

// omittedScarce returns the scarce workspaces that a holder has and its claims omit. Otherwise a
// router without demand for a workspace would not learn that it should return its tokens.
func (l *Ledger) omittedScarce(h *holder, c *messenger.RightsChange) []string {
	var out []string
	for _, w := range slices.Sorted(maps.Keys(l.scarceWorkspaces)) {
		named := slices.ContainsFunc(c.Claims, func(x *messenger.RightsClaim) bool { return x.Workspace == w })
		if h.accounts[w] != nil && !named {
			out = append(out, w)
		}
	}
	return out
}

// boundStatedBy returns the bound in force after the claim with a sequence number: that of the
// claim itself, or of the last one before it that did not omit the workspace. It returns nil if
// there was none yet.
func (a *account) boundStatedBy(sequence uint64) *messenger.RightsBound {
	var out *messenger.RightsBound
	for _, b := range a.bounds {
		if b.Sequence <= sequence {
			out = b
		}
	}
	return out
}

// addStatement records a claim, and removes claims whose bounds the router no longer obeys.
func (h *holder) addStatement(c *messenger.RightsChange) {
	h.sequence = c.Sequence
	for len(h.statements) > 1 && h.statements[1].Sequence <= c.Answered {
		h.statements = h.statements[1:]
	}
	h.statements = append(slices.Clone(h.statements), &messenger.RightsStatement{Sequence: c.Sequence, Sent: c.Sent, Binding: c.Binding})
}

// currentHolder returns the holder of the router that sent c, or nil if c is from an ended
// incarnation. If c is from a new incarnation, the previous one is ended.
func (l *Ledger) currentHolder(c *messenger.RightsChange, out *messenger.RightsGrants) *holder {
	h := l.holders[c.Router]
	if h == nil {
		h = &holder{incarnation: c.Incarnation, accounts: map[string]*account{}}
		l.holders[c.Router] = h
	}
	if slices.Contains(h.ended, c.Incarnation) {
		return nil
	}
	if h.incarnation != c.Incarnation {
		out.EndedAfterMs = lastClaimToEndMs(h.statements, c.Started)
		l.endIncarnation(h, out, maxSpentAfterCrash(h.statements, c.Started))
		h.incarnation, h.sequence = c.Incarnation, 0
	}
	return h
}

// account returns a holder's account for a workspace, which is created if necessary.
func (l *Ledger) account(h *holder, workspace string) *account {
	a := h.accounts[workspace]
	if a == nil {
		a = &account{}
		h.accounts[workspace] = a
		l.accountCounts[workspace]++
	}
	return a
}

// maxSpentAfterCrash returns a function that returns the most that an incarnation may have spent
// from an account, if it ended without a closing claim before its successor started at end.
func maxSpentAfterCrash(statements []*messenger.RightsStatement, end *messenger.RightsMoment) func(*account) int64 {
	times := maxTimesUntilEnd(statements, end)
	first := 0
	if n := len(statements); n > 0 && statements[n-1].Binding {
		first = n - 1
	}
	return func(a *account) int64 {
		most := a.spent
		for i, s := range statements {
			if i < first {
				// The router also obeyed the bound of the newest claim, which is applied instead.
				continue
			}
			b := a.boundStatedBy(s.Sequence)
			if b == nil {
				continue
			}
			if times[i] == unknownDuration {
				return a.allocated()
			}
			most = max(most, spendingBound(b.Ceiling, b.Slope, riseDelay(b.RestMs), times[i]))
		}
		return min(most, a.allocated())
	}
}

// endIncarnation ends the current incarnation of a holder: spentBy of each account counts as spent,
// and the rest becomes unallocated.
func (l *Ledger) endIncarnation(h *holder, out *messenger.RightsGrants, spentBy func(*account) int64) {
	for w, a := range h.accounts {
		n := spentBy(a)
		l.held[w] -= a.allocated()
		l.slopes[w] -= a.slope()
		l.accountCounts[w]--
		l.spent[w] -= a.spent
		l.consumed[w] += n
		l.updateScarce(w)
		out.WrittenOff += n - a.spent
		out.Recovered += a.allocated() - n
	}
	h.accounts, h.statements = map[string]*account{}, nil
	h.ended = append(h.ended, h.incarnation)
	if len(h.ended) > maxEndedIncarnations {
		h.ended = h.ended[1:]
	}
}

// applyClaim records a claim for one workspace. If it is new, it also grants tokens.
func (l *Ledger) applyClaim(a *account, c *messenger.RightsClaim, isNew bool) *messenger.RightsGrant {
	if c.Returned > a.returned && c.Returned <= a.granted {
		l.held[c.Workspace] -= c.Returned - a.returned
		a.returned = c.Returned
	}
	l.spent[c.Workspace] += max(c.Spent-a.spent, 0)
	a.spent = max(a.spent, c.Spent)
	if isNew {
		// A claim that is committed twice gets the same answer again.
		more := l.grantAmount(c)
		a.granted += more
		l.held[c.Workspace] += more
	}
	l.updateScarce(c.Workspace)
	out := &messenger.RightsGrant{
		Workspace: c.Workspace, Granted: a.granted, Left: l.Unallocated(c.Workspace), Scarce: l.isScarce(c.Workspace), Total: l.totals[c.Workspace],
	}
	if _, known := l.totals[c.Workspace]; known {
		out.Unspent = proto.Int64(max(l.unspent(c.Workspace), 0))
	}
	if out.Scarce {
		out.RunwayMs = l.runwayMs(c.Workspace)
	}
	return out
}

// shortages states how little is left of scarce workspaces.
func (l *Ledger) shortages(scarce []string) []*messenger.RightsShortage {
	var out []*messenger.RightsShortage
	for _, w := range scarce {
		out = append(out, &messenger.RightsShortage{
			Workspace: w, Left: l.Unallocated(w), Unspent: max(l.unspent(w), 0), Total: l.totals[w], RunwayMs: l.runwayMs(w),
		})
	}
	return out
}

// runwayMs returns how long the unspent tokens of a workspace last at the demand of all routers, in
// milliseconds, or 0 if no router has demand.
func (l *Ledger) runwayMs(workspace string) int64 {
	idle := l.accountCounts[workspace] * idleSlopePart(int64(len(l.holders)))
	demand := float64(l.slopes[workspace]-idle) / slopeFactor
	if demand < 1 {
		return 0
	}
	ms := float64(max(l.unspent(workspace), 0)) / demand * 1000
	return int64(min(max(ms, 1), maxRunwayMs))
}

// isScarce reports whether routers must not hold tokens far ahead of demand.
func (l *Ledger) isScarce(workspace string) bool {
	total := l.totals[workspace]
	return l.Unallocated(workspace) < total/unallocatedDivisor || l.unspent(workspace) < total/unspentDivisor
}

// grantAmount returns the tokens to grant for a claim: what the router wants, up to a share of the
// unallocated tokens that follows its share of the demand, and always enough for the largest
// waiting request if that many are unallocated. Grants follow demand because callers are
// distributed by a hash, so one router can have most of a workspace's demand.
func (l *Ledger) grantAmount(c *messenger.RightsClaim) int64 {
	left := l.Unallocated(c.Workspace)
	maxShare := left / int64(poolDivisor*max(len(l.holders), 1))
	if totalSlope := l.slopes[c.Workspace]; totalSlope > 0 {
		maxShare = max(maxShare, int64(float64(left)/poolDivisor*float64(c.Slope)/float64(totalSlope)))
	}
	more := min(c.Wanted, maxShare)
	if c.Urgent <= left {
		more = max(more, c.Urgent)
	}
	return max(more, 0)
}

// Snapshot writes the ledger to s.
func (l *Ledger) Snapshot(s *messenger.FleetSnapshot) {
	s.Totals = prepaidTotals(l.totals)
	s.Consumed = prepaidTotals(l.consumed)
	for _, name := range slices.Sorted(maps.Keys(l.holders)) {
		h := l.holders[name]
		out := &messenger.RightsHolder{
			Router: name, Incarnation: h.incarnation, Ended: h.ended, Sequence: h.sequence, Statements: h.statements,
		}
		for _, w := range slices.Sorted(maps.Keys(h.accounts)) {
			a := h.accounts[w]
			out.Accounts = append(out.Accounts, &messenger.RightsAccount{
				Workspace: w, Granted: a.granted, Returned: a.returned, Spent: a.spent, Bounds: a.bounds,
			})
		}
		s.Holders = append(s.Holders, out)
	}
}

func prepaidTotals(m map[string]int64) []*messenger.PrepaidTotal {
	var out []*messenger.PrepaidTotal
	for _, w := range slices.Sorted(maps.Keys(m)) {
		out = append(out, &messenger.PrepaidTotal{Workspace: w, Tokens: m[w]})
	}
	return out
}

// Restore returns the ledger that a snapshot contains.
func Restore(s *messenger.FleetSnapshot) *Ledger {
	l := NewLedger()
	l.SetTotals(s.Totals)
	for _, c := range s.Consumed {
		l.consumed[c.Workspace] = c.Tokens
	}
	for _, in := range s.Holders {
		h := &holder{
			incarnation: in.Incarnation, sequence: in.Sequence, accounts: map[string]*account{},
			ended: slices.Clone(in.Ended), statements: in.Statements,
		}
		for _, a := range in.Accounts {
			x := &account{granted: a.Granted, returned: a.Returned, spent: a.Spent, bounds: a.Bounds}
			h.accounts[a.Workspace] = x
			l.held[a.Workspace] += x.allocated()
			l.slopes[a.Workspace] += x.slope()
			l.accountCounts[a.Workspace]++
			l.spent[a.Workspace] += x.spent
		}
		l.holders[in.Router] = h
	}
	for w := range l.totals {
		l.updateScarce(w)
	}
	return l
}
