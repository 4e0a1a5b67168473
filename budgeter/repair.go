package budgeter

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// startIncarnation gives the vault a new incarnation. After a restore, the copy
// may lack commits that the lost disk had answered without its mirror, such as
// charges of completed answers. Leased rights stay leased, because the routers
// report what they hold. All unspent rights are frozen until verifyRestore
// succeeds.
func (v *Vault) startIncarnation(e StartIncarnation) {
	v.self.Incarnation = e.Incarnation
	v.self.LastTransfer = 0
	if e.Copy != nil {
		v.freezeUnspent(e.Copy)
	}
	v.storeSelf()
}

// freezeUnspent marks the restore as unverified and freezes the unspent rights
// of all books.
func (v *Vault) freezeUnspent(from *messenger.CopyState) {
	v.self.CopiedIncarnation, v.self.CopiedNumber = from.Incarnation, from.Number
	// If the copied vault was itself unverified, the routers known at the first
	// restore must still report. The solo marks of that restore may have been
	// replaced since, so they prove nothing.
	v.self.RoutersOnly = v.self.Unproved
	if !v.self.Unproved {
		v.self.KnownRouters = nil
		for _, r := range sortedByKey(v.routers) {
			v.self.KnownRouters = append(v.self.KnownRouters, proto.CloneOf(r))
		}
	}
	v.self.Unproved = true
	for name, b := range v.books {
		if b.unspent > 0 {
			v.bookForUpdate(name)
			b.frozen += b.unspent
			b.unspent = 0
		}
	}
}

// knownIncarnation returns the incarnation of a router at the time of the
// restored copy, or 0.
func (v *Vault) knownIncarnation(router string) uint64 {
	for _, r := range v.self.KnownRouters {
		if r.Router == router {
			return r.Incarnation
		}
	}
	return 0
}

// Evidence holds the reports that can show that the copy lacks no answered
// commit.
type Evidence struct {
	// Routers are the zone's routers on other VMs than the lost keeper. Each of
	// them may hold the only solo mark.
	Routers  []string
	Holdings []*messenger.HoldingsReply
	// Keepers are the answers of the keepers that may hold a solo mark.
	Keepers []*messenger.MarkReply
	// KeepersAsked is the number of keepers that may hold a solo mark.
	KeepersAsked int
}

// CopyComplete reports whether the copy that the vault was restored from
// contains every answered commit. Before a keeper answers without its mirror,
// it stores a solo mark at one other node at least. So the copy is complete if
// all possible holders report no mark for its last commit or a later one, and
// none of them has restarted without its data since.
func (v *Vault) CopyComplete(e Evidence) bool {
	if v.self.RoutersOnly || len(e.Keepers) < e.KeepersAsked || len(e.Routers)+e.KeepersAsked == 0 {
		return false
	}
	for _, m := range e.Keepers {
		if m.Incomplete || v.atOrBeforeSoloMark(m.Mark.GetVaultIncarnation(), m.Mark.GetSoloCommit()) {
			return false
		}
	}
	for _, name := range e.Routers {
		i := slices.IndexFunc(e.Holdings, func(h *messenger.HoldingsReply) bool { return h.Router == name })
		if i < 0 || e.Holdings[i].Incarnation != v.knownIncarnation(name) {
			return false
		}
		if v.atOrBeforeSoloMark(e.Holdings[i].VaultIncarnation, e.Holdings[i].SoloCommit) {
			return false
		}
	}
	return true
}

// atOrBeforeSoloMark reports whether a solo mark shows that the copy may lack
// answered commits: its commit is the last one of the copy or a later one.
func (v *Vault) atOrBeforeSoloMark(incarnation, commit uint64) bool {
	return incarnation == v.self.CopiedIncarnation && commit != 0 && commit >= v.self.CopiedNumber
}

// verifyRestore applies the routers' reports of the rights that they hold. It
// ends the freeze if no answered commit can be missing: either the copy is
// complete, or every router that the zone had is still running and so still has
// the charges that may have been on the lost disk only.
func (v *Vault) verifyRestore(e VerifyRestore) {
	if !v.self.Unproved {
		return
	}
	all := len(e.Routers) > 0
	for _, h := range e.Holdings {
		v.applyHoldings(h)
	}
	for _, name := range e.Routers {
		all = all && v.knownIncarnation(name) != 0 && v.verified[name] == v.knownIncarnation(name)
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

// unfreeze makes the frozen rights of all books spendable.
func (v *Vault) unfreeze() {
	for name, b := range v.books {
		if b.frozen > 0 {
			v.bookForUpdate(name)
			b.unspent += b.frozen
			b.frozen = 0
		}
	}
}

// applyHoldings applies the leases and the charges that a router reports, once
// for each incarnation.
func (v *Vault) applyHoldings(h *messenger.HoldingsReply) {
	if v.admitIncarnation(h.Router, h.Incarnation) != nil || v.verified[h.Router] == h.Incarnation {
		return
	}
	for _, x := range h.Holdings {
		v.applyHolding(h, x)
	}
	for _, c := range h.Charges {
		row := proto.CloneOf(c)
		row.Router, row.Incarnation = h.Router, h.Incarnation
		if v.chargeWitnessed(row) != nil {
			return
		}
	}
	v.verified[h.Router] = h.Incarnation
}

// applyHolding moves rights between frozen and leased until the lease equals
// the router's report.
func (v *Vault) applyHolding(h *messenger.HoldingsReply, x *messenger.Holding) {
	b := v.bookForUpdate(x.Workspace)
	l := v.ensureLease(b, h.Router, h.Incarnation)
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

// recordSoloMark stores the solo mark of another keeper, if it has a commit
// number, and returns the stored one.
func (v *Vault) recordSoloMark(r *messenger.MarkRequest) (proto.Message, error) {
	m := r.Mark
	if m == nil {
		return nil, ErrAmount
	}
	if m.SoloCommit != 0 {
		v.marks[m.Zone] = m
		v.storeResident(BucketMarks, m.Zone, m)
	}
	out := &messenger.MarkReply{Mark: v.marks[m.Zone], Incomplete: v.self.Unproved || v.self.IncompleteBefore != 0}
	return out, nil
}

// SoloMark returns the mark that another node must store before a commit is
// answered without the mirror. It says that the mirror's copy lacks commits
// from this one on. While a restore is unverified, the mark refers to the
// restored copy instead, because it must not replace a mark that shows gaps in
// that copy.
func (v *Vault) SoloMark(commit uint64) *messenger.SoloMark {
	m := &messenger.SoloMark{Zone: v.zone, VaultIncarnation: v.self.Incarnation, SoloCommit: commit}
	if v.self.Unproved {
		m.VaultIncarnation, m.SoloCommit = v.self.CopiedIncarnation, math.MaxUint64
	}
	return m
}
