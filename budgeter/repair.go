package budgeter

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// begin gives the vault a new identity. After a restore the copy may lack
// what the lost disk had answered without its mirror: charges of completed
// answers. Leased rights stay where they are, since routers say themselves
// what they hold; everything unspent is frozen until Prove.
func (v *Vault) begin(e Begin) {
	v.self.Incarnation = e.Incarnation
	v.self.LastTransfer = 0
	if e.Copy != nil {
		v.freeze(e.Copy)
	}
	v.storeSelf()
}

func (v *Vault) freeze(from *messenger.CopyState) {
	v.self.CopiedIncarnation, v.self.CopiedNumber = from.Incarnation, from.Number
	// A copy of a vault that was unproved itself keeps the older proof due,
	// whose solo marks may have been replaced since.
	v.self.RoutersOnly = v.self.Unproved
	if !v.self.Unproved {
		v.self.KnownRouters = nil
		for _, r := range inOrder(v.routers) {
			v.self.KnownRouters = append(v.self.KnownRouters, proto.CloneOf(r))
		}
	}
	v.self.Unproved = true
	for name, b := range v.books {
		if b.unspent > 0 {
			v.touch(name)
			b.frozen += b.unspent
			b.unspent = 0
		}
	}
}

func (v *Vault) known(router string) uint64 {
	for _, r := range v.self.KnownRouters {
		if r.Router == router {
			return r.Incarnation
		}
	}
	return 0
}

// Evidence is what can show that no answer is missing from a copy.
type Evidence struct {
	// Routers are the zone's routers on other VMs than the lost keeper; every
	// one may hold the only solo mark.
	Routers  []string
	Holdings []*messenger.HoldingsReply
	// Keepers are the answers of every keeper that may hold a mark.
	Keepers []*messenger.MarkReply
	// KeepersAsked is how many those are.
	KeepersAsked int
}

// CopyComplete reports whether the copy that the vault was restored from has
// everything that was answered. Before a keeper answers without its mirror it
// leaves a solo mark at one holder at least; so the copy is complete when all
// holders say that they have none of its last commit or later, and none of
// them has lost its memory since.
func (v *Vault) CopyComplete(e Evidence) bool {
	if v.self.RoutersOnly || len(e.Keepers) < e.KeepersAsked || len(e.Routers)+e.KeepersAsked == 0 {
		return false
	}
	for _, m := range e.Keepers {
		if m.Incomplete || v.marked(m.Mark.GetVaultIncarnation(), m.Mark.GetSoloCommit()) {
			return false
		}
	}
	for _, name := range e.Routers {
		i := slices.IndexFunc(e.Holdings, func(h *messenger.HoldingsReply) bool { return h.Router == name })
		if i < 0 || e.Holdings[i].Incarnation != v.known(name) {
			return false
		}
		if v.marked(e.Holdings[i].VaultIncarnation, e.Holdings[i].SoloCommit) {
			return false
		}
	}
	return true
}

func (v *Vault) marked(incarnation, commit uint64) bool {
	return incarnation == v.self.CopiedIncarnation && commit != 0 && commit >= v.self.CopiedNumber
}

// prove takes the routers' own word for what they hold, and ends the freeze
// when nothing can be missing: either the copy is complete, or every router
// that the zone had still runs, so that each keeps the charges which may have
// been on the lost disk only.
func (v *Vault) prove(e Prove) {
	if !v.self.Unproved {
		return
	}
	all := len(e.Routers) > 0
	for _, h := range e.Holdings {
		v.takeHoldings(h)
	}
	for _, name := range e.Routers {
		all = all && v.known(name) != 0 && v.proved[name] == v.known(name)
	}
	if !all && !e.CopyComplete {
		return
	}
	v.self.Unproved, v.self.RoutersOnly, v.self.KnownRouters = false, false, nil
	if !e.CopyComplete {
		v.self.IncompleteBefore = v.self.Incarnation
	}
	v.storeSelf()
	v.unfreeze()
}

func (v *Vault) unfreeze() {
	for name, b := range v.books {
		if b.frozen > 0 {
			v.touch(name)
			b.unspent += b.frozen
			b.frozen = 0
		}
	}
}

func (v *Vault) takeHoldings(h *messenger.HoldingsReply) {
	if v.admit(h.Router, h.Incarnation) != nil || v.proved[h.Router] == h.Incarnation {
		return
	}
	for _, x := range h.Holdings {
		v.takeHolding(h, x)
	}
	for _, c := range h.Charges {
		row := proto.CloneOf(c)
		row.Router, row.Incarnation = h.Router, h.Incarnation
		if v.takeWitnessed(row) != nil {
			return
		}
	}
	v.proved[h.Router] = h.Incarnation
}

// takeHolding moves rights between frozen and leased until the lease says
// what the router says.
func (v *Vault) takeHolding(h *messenger.HoldingsReply, x *messenger.Holding) {
	b := v.touch(x.Workspace)
	l := v.leaseOf(b, h.Router, h.Incarnation)
	before := outstanding(l)
	l.GrantedTokens = max(l.GrantedTokens, x.GrantedTokens)
	l.ReturnedTokens = max(l.ReturnedTokens, x.ReturnedTokens)
	l.Sequence = max(l.Sequence, x.Sequence)
	l.ReturnedTokens = min(l.ReturnedTokens, l.GrantedTokens-l.ChargedTokens)
	moved := outstanding(l) - before
	b.leased += moved
	b.frozen -= rattanhoist.Tokens(moved)
	v.storeLease(l)
}

func (v *Vault) mark(r *messenger.MarkRequest) (proto.Message, error) {
	m := r.Mark
	if m == nil {
		return nil, ErrAmount
	}
	if m.SoloCommit != 0 {
		v.marks[m.Zone] = m
		v.store(BucketMarks, m.Zone, m)
	}
	out := &messenger.MarkReply{Mark: v.marks[m.Zone], Incomplete: v.self.Unproved || v.self.IncompleteBefore != 0}
	return out, nil
}

// SoloMark returns the mark that must be held elsewhere before the commit is
// answered without the mirror. While the vault is unproved the mark speaks of
// the older copy too: it must not replace one that shows that copy's gaps.
func (v *Vault) SoloMark(commit uint64) *messenger.SoloMark {
	m := &messenger.SoloMark{Zone: v.zone, VaultIncarnation: v.self.Incarnation, SoloCommit: commit}
	if v.self.Unproved {
		m.VaultIncarnation, m.SoloCommit = v.self.CopiedIncarnation, math.MaxUint64
	}
	return m
}
