// Package allotter shares prepaid rights out among routers. A workspace's total
// exists once: what routers hold, what ended routers may have spent, and what
// is left never add up to more.
package allotter

import (
	"maps"
	"slices"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// rememberedEnds is how many ended incarnations of one router are known:
	// a claim of theirs that comes late must not bring them back. Restarts
	// take seconds, and a claim is not kept for as long.
	rememberedEnds = 16
	// scarcePart is the part of a total that must be left for routers to hold rights far
	// ahead, and unspentPart the part that must be unspent. Below either, what idle
	// routers hold decides whether the total can be used up.
	scarcePart  = 40
	unspentPart = 6
	// poolShare is into how many parts the pool is cut beyond one for each
	// router, or for each token of demand: two, so that one claim never empties
	// the pool for the others.
	poolShare = 2
)

// account is one incarnation's rights of one workspace. Each amount only ever
// grows, so claims that arrive twice or out of order do no harm.
type account struct {
	granted, returned, spent int64
	// Bounds are what the router may be keeping, oldest first: that of the
	// last claim for this workspace whose answer it is known to have seen, and
	// of all later ones. Claims that leave the workspace out state the one before
	// them anew.
	bounds []*messenger.RightsBound
}

// cap is the most that the incarnation can have spent.
func (a *account) cap() int64 { return a.granted - a.returned }

type holder struct {
	incarnation uint64
	sequence    uint64
	accounts    map[string]*account
	ended       []uint64
	// Statements are the claims whose bounds the router may be keeping, oldest
	// first: the last one whose answer it is known to have seen, and all later
	// ones.
	statements []*messenger.RightsStatement
}

// Ledger is the pure state of all rights. It is not safe for concurrent use.
type Ledger struct {
	totals map[string]int64
	// Consumed is what ended incarnations have spent or may have spent.
	consumed map[string]int64
	// Held is the sum of the caps of all holders.
	held map[string]int64
	// Spent is the sum of what the holders said that they had spent.
	spent map[string]int64
	// Slopes is the sum of the slopes that the holders stated last: how fast a
	// workspace is spent, by all of them.
	slopes map[string]int64
	// Low holds the workspaces that are scarce.
	low     map[string]bool
	holders map[string]*holder
}

// NewLedger returns a ledger without totals.
func NewLedger() *Ledger {
	return &Ledger{
		totals: map[string]int64{}, consumed: map[string]int64{},
		held: map[string]int64{}, spent: map[string]int64{}, slopes: map[string]int64{}, low: map[string]bool{}, holders: map[string]*holder{},
	}
}

// SetTotals states the prepaid totals. A workspace that is not named keeps
// what it has spent, in case that it comes back.
func (l *Ledger) SetTotals(totals []*messenger.PrepaidTotal) {
	l.totals = map[string]int64{}
	for _, t := range totals {
		l.totals[t.Workspace] = t.Tokens
	}
	l.low = map[string]bool{}
	for w := range l.totals {
		l.note(w)
	}
}

// note keeps low up to date after a change of a workspace's rights.
func (l *Ledger) note(workspace string) {
	if l.scarce(workspace) {
		l.low[workspace] = true
	} else {
		delete(l.low, workspace)
	}
}

// Left returns the tokens of a workspace that nobody holds.
func (l *Ledger) Left(workspace string) int64 {
	return max(l.totals[workspace]-l.consumed[workspace]-l.held[workspace], 0)
}

// Balance tells where a workspace's total is, in tokens.
type Balance struct {
	Workspace string
	// Total is Left, which nobody holds, Held, which routers hold or say that
	// they have spent, and Ended, what ended incarnations have or may have spent.
	Total, Left, Held, Ended int64
	// Spent is the part of Held that was reported as spent.
	Spent int64
	// Scarce says that routers give back what they need not hold.
	Scarce bool
}

// Balances returns the workspaces with a total, by name.
func (l *Ledger) Balances() []Balance {
	var out []Balance
	for _, w := range slices.Sorted(maps.Keys(l.totals)) {
		out = append(out, Balance{
			Workspace: w, Total: l.totals[w], Left: l.Left(w), Held: l.held[w], Ended: l.consumed[w], Spent: l.spent[w], Scarce: l.scarce(w),
		})
	}
	return out
}

// unspent returns the tokens that nobody is known to have spent.
func (l *Ledger) unspent(workspace string) int64 {
	return l.totals[workspace] - l.consumed[workspace] - l.spent[workspace]
}

// Prepaid returns the sum of all totals.
func (l *Ledger) Prepaid() int64 {
	var sum int64
	for _, n := range l.totals {
		sum += n
	}
	return sum
}

// Claim takes a router's account in and grants what the pool allows.
func (l *Ledger) Claim(c *messenger.RightsChange) *messenger.RightsGrants {
	out := &messenger.RightsGrants{}
	h := l.holder(c, out)
	if h == nil {
		out.Ended = true
		return out
	}
	fresh := c.Sequence > h.sequence
	if fresh {
		h.state(c)
	}
	for _, claim := range c.Claims {
		a := h.account(claim.Workspace)
		if fresh {
			l.slopes[claim.Workspace] += claim.Slope - a.slope()
			a.bound(&messenger.RightsBound{Sequence: c.Sequence, Ceiling: claim.Ceiling, Slope: claim.Slope, RestMs: claim.RestMs}, c.Answered)
		}
		out.Grants = append(out.Grants, l.claim(a, claim, fresh))
	}
	out.Scarce = l.lowAmong(h, c)
	if c.Closing {
		l.end(h, out, func(a *account) int64 { return min(a.spent, a.cap()) })
	}
	return out
}

// slope is what the last claim stated; it grows with the router's demand.
func (a *account) slope() int64 {
	if len(a.bounds) == 0 {
		return 0
	}
	return a.bounds[len(a.bounds)-1].Slope
}

// bound notes what a claim states, and forgets what the router no longer keeps.
func (a *account) bound(b *messenger.RightsBound, answered uint64) {
	for len(a.bounds) > 1 && a.bounds[1].Sequence <= answered {
		a.bounds = a.bounds[1:]
	}
	a.bounds = append(slices.Clone(a.bounds), b)
}

// lowAmong returns the scarce workspaces of a holder that its claims left out: a
// router that nobody asks for one would not hear that others lack what it holds.
func (l *Ledger) lowAmong(h *holder, c *messenger.RightsChange) []string {
	var out []string
	for _, w := range slices.Sorted(maps.Keys(l.low)) {
		named := slices.ContainsFunc(c.Claims, func(x *messenger.RightsClaim) bool { return x.Workspace == w })
		if h.accounts[w] != nil && !named {
			out = append(out, w)
		}
	}
	return out
}

// stated returns the bound that a claim stated, or stated anew, or nil where the
// workspace had none yet.
func (a *account) stated(sequence uint64) *messenger.RightsBound {
	var out *messenger.RightsBound
	for _, b := range a.bounds {
		if b.Sequence <= sequence {
			out = b
		}
	}
	return out
}

// state notes a claim, and forgets those whose bounds the router no longer
// keeps.
func (h *holder) state(c *messenger.RightsChange) {
	h.sequence = c.Sequence
	for len(h.statements) > 1 && h.statements[1].Sequence <= c.Answered {
		h.statements = h.statements[1:]
	}
	h.statements = append(slices.Clone(h.statements), &messenger.RightsStatement{Sequence: c.Sequence, Sent: c.Sent, Binding: c.Binding})
}

func (l *Ledger) holder(c *messenger.RightsChange, out *messenger.RightsGrants) *holder {
	h := l.holders[c.Router]
	if h == nil {
		h = &holder{incarnation: c.Incarnation, accounts: map[string]*account{}}
		l.holders[c.Router] = h
	}
	if slices.Contains(h.ended, c.Incarnation) {
		return nil
	}
	if h.incarnation != c.Incarnation {
		out.EndedAfterMs = endedAfter(h.statements, c.Started)
		l.end(h, out, lost(h.statements, c.Started))
		h.incarnation, h.sequence = c.Incarnation, 0
	}
	return h
}

func (h *holder) account(workspace string) *account {
	a := h.accounts[workspace]
	if a == nil {
		a = &account{}
		h.accounts[workspace] = a
	}
	return a
}

// lost returns what an incarnation may have spent that ended, without a word,
// before its successor started at a moment.
func lost(statements []*messenger.RightsStatement, end *messenger.RightsMoment) func(*account) int64 {
	times := untilEnd(statements, end)
	first := 0
	if n := len(statements); n > 0 && statements[n-1].Binding {
		first = n - 1
	}
	return func(a *account) int64 {
		most := a.spent
		for i, s := range statements {
			if i < first {
				// The router kept to the newest one as well.
				continue
			}
			b := a.stated(s.Sequence)
			if b == nil {
				continue
			}
			if times[i] == unknown {
				return a.cap()
			}
			most = max(most, bound(b.Ceiling, b.Slope, restOf(b.RestMs), times[i]))
		}
		return min(most, a.cap())
	}
}

func (l *Ledger) end(h *holder, out *messenger.RightsGrants, lost func(*account) int64) {
	for w, a := range h.accounts {
		n := lost(a)
		l.held[w] -= a.cap()
		l.slopes[w] -= a.slope()
		l.spent[w] -= a.spent
		l.consumed[w] += n
		l.note(w)
		out.WrittenOff += n - a.spent
		out.Recovered += a.cap() - n
	}
	h.accounts, h.statements = map[string]*account{}, nil
	h.ended = append(h.ended, h.incarnation)
	if len(h.ended) > rememberedEnds {
		h.ended = h.ended[1:]
	}
}

func (l *Ledger) claim(a *account, c *messenger.RightsClaim, fresh bool) *messenger.RightsGrant {
	if c.Returned > a.returned && c.Returned <= a.granted {
		l.held[c.Workspace] -= c.Returned - a.returned
		a.returned = c.Returned
	}
	l.spent[c.Workspace] += max(c.Spent-a.spent, 0)
	a.spent = max(a.spent, c.Spent)
	if fresh {
		// A claim that is committed twice gets the answer that it got before.
		more := l.share(c)
		a.granted += more
		l.held[c.Workspace] += more
	}
	l.note(c.Workspace)
	return &messenger.RightsGrant{
		Workspace: c.Workspace, Granted: a.granted, Left: l.Left(c.Workspace), Scarce: l.scarce(c.Workspace),
	}
}

// scarce reports whether routers must not hold rights far ahead.
func (l *Ledger) scarce(workspace string) bool {
	total := l.totals[workspace]
	return l.Left(workspace) < total/scarcePart || l.unspent(workspace) < total/unspentPart
}

// share is what a claim is granted: all that it wants while the pool is
// large, later a part of what is left by the router's part of the demand, and
// always what a waiting request needs, if the pool has it. Callers are spread by a hash, so
// one router can have most of a workspace's demand.
func (l *Ledger) share(c *messenger.RightsClaim) int64 {
	left := l.Left(c.Workspace)
	fair := left / int64(poolShare*max(len(l.holders), 1))
	if all := l.slopes[c.Workspace]; all > 0 {
		fair = max(fair, int64(float64(left)/poolShare*float64(c.Slope)/float64(all)))
	}
	more := min(c.Wanted, fair)
	if c.Urgent <= left {
		more = max(more, c.Urgent)
	}
	return max(more, 0)
}

// Snapshot writes the ledger into s.
func (l *Ledger) Snapshot(s *messenger.FleetSnapshot) {
	s.Totals = amounts(l.totals)
	s.Consumed = amounts(l.consumed)
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

func amounts(m map[string]int64) []*messenger.PrepaidTotal {
	var out []*messenger.PrepaidTotal
	for _, w := range slices.Sorted(maps.Keys(m)) {
		out = append(out, &messenger.PrepaidTotal{Workspace: w, Tokens: m[w]})
	}
	return out
}

// Restore returns the ledger of a snapshot.
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
			l.held[a.Workspace] += x.cap()
			l.slopes[a.Workspace] += x.slope()
			l.spent[a.Workspace] += x.spent
		}
		l.holders[in.Router] = h
	}
	for w := range l.totals {
		l.note(w)
	}
	return l
}
