package budgeter

import (
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

func incarnationKey(router string, incarnation uint64) string {
	return router + "#" + strconv.FormatUint(incarnation, 10)
}

// outstanding is what a lease has granted and neither charged nor returned.
func outstanding(l *messenger.LeaseRow) rattanhoist.Tokens {
	return rattanhoist.Tokens(l.GrantedTokens - l.ReturnedTokens - l.ChargedTokens)
}

// admit registers an incarnation that is the newest of its router, and
// refuses one that may not spend any more.
func (v *Vault) admit(router string, incarnation uint64) error {
	r := v.routers[router]
	if r == nil {
		r = &messenger.RouterRow{Router: router}
		v.routers[router] = r
	}
	if incarnation <= r.Fenced || incarnation < r.Incarnation {
		return ErrFenced
	}
	if incarnation == r.Incarnation {
		return nil
	}
	// The earlier incarnations have ended, or a frozen one will find itself
	// fenced when it goes on.
	r.Incarnation, r.Fenced = incarnation, max(r.Fenced, r.Incarnation)
	v.store(BucketRouters, router, r)
	return nil
}

func (v *Vault) fencedOut(router string, incarnation uint64) bool {
	r := v.routers[router]
	return r != nil && incarnation <= r.Fenced
}

// unheard reports whether a restore still waits for what the router holds.
func (v *Vault) unheard(router string, incarnation uint64) bool {
	return v.self.Unproved && v.proved[router] != incarnation
}

func (v *Vault) register(r *messenger.RegisterRequest) (proto.Message, error) {
	if err := v.admit(r.Router, r.Incarnation); err != nil {
		return nil, err
	}
	return &messenger.RegisterReply{VaultIncarnation: v.self.Incarnation, OldestChargeMs: v.self.OldestChargeMs}, nil
}

func (v *Vault) lease(r *messenger.LeaseRequest) (proto.Message, error) {
	if r.WantTokens < 0 {
		return nil, ErrAmount
	}
	if err := v.admit(r.Router, r.Incarnation); err != nil {
		return nil, err
	}
	if v.unheard(r.Router, r.Incarnation) {
		return nil, ErrRepairing
	}
	b := v.touch(r.Workspace)
	l := v.leaseOf(b, r.Router, r.Incarnation)
	if r.Sequence <= l.Sequence {
		return v.leaseReply(b, l, r.Sequence), nil
	}
	grant := min(rattanhoist.Tokens(r.WantTokens), b.unspent)
	b.unspent -= grant
	b.leased += grant
	l.GrantedTokens += int64(grant)
	l.Sequence, l.LastGrantTokens = r.Sequence, int64(grant)
	v.storeLease(l)
	return v.leaseReply(b, l, r.Sequence), nil
}

// leaseReply gives a resent request its first answer.
func (v *Vault) leaseReply(b *book, l *messenger.LeaseRow, sequence uint64) *messenger.LeaseReply {
	out := &messenger.LeaseReply{
		ZoneLeftTokens: int64(b.unspent), TotalGrantedTokens: l.GrantedTokens, VaultIncarnation: v.self.Incarnation,
		HeldTokens: int64(b.held(v.zone) - outstanding(l)),
	}
	if sequence == l.Sequence {
		out.GrantedTokens = l.LastGrantTokens
	}
	return out
}

// leaseOf returns the lease of an incarnation. A new one inherits nothing:
// what the old one held stays outstanding under its own key until its release.
func (v *Vault) leaseOf(b *book, router string, incarnation uint64) *messenger.LeaseRow {
	k := leaseKey{router, incarnation}
	l := b.leases[k]
	if l == nil {
		l = &messenger.LeaseRow{Workspace: b.workspace, Router: router, Incarnation: incarnation, WitnessIncarnation: v.self.WitnessIncarnation}
		b.leases[k] = l
	}
	return l
}

func (v *Vault) takeBack(r *messenger.ReturnRequest) (proto.Message, error) {
	if v.unheard(r.Router, r.Incarnation) {
		return nil, ErrRepairing
	}
	if v.fencedOut(r.Router, r.Incarnation) {
		return nil, ErrFenced
	}
	l := v.book(r.Workspace).leases[leaseKey{r.Router, r.Incarnation}]
	if l == nil || r.Sequence <= l.Sequence {
		return &messenger.ReturnReply{}, nil
	}
	b := v.touch(r.Workspace)
	n := min(max(rattanhoist.Tokens(r.Tokens), 0), outstanding(l))
	l.ReturnedTokens += int64(n)
	l.Sequence, l.LastGrantTokens = r.Sequence, 0
	b.leased -= n
	b.credit(n)
	v.storeLease(l)
	return &messenger.ReturnReply{}, nil
}

// fence refuses the incarnations from now on; Release returns what is left.
func (v *Vault) fence(r *messenger.FenceRequest) (proto.Message, error) {
	row := v.routers[r.Router]
	if row == nil {
		row = &messenger.RouterRow{Router: r.Router}
		v.routers[r.Router] = row
	}
	if r.Incarnation > row.Fenced {
		row.Fenced = r.Incarnation
		row.Incarnation = max(row.Incarnation, r.Incarnation)
		v.store(BucketRouters, r.Router, row)
	}
	return &messenger.FenceReply{}, nil
}

// Fencing returns the routers that have incarnations whose remainder waits
// for the witness.
func (v *Vault) Fencing() []*messenger.RouterRow {
	var out []*messenger.RouterRow
	for _, r := range inOrder(v.routers) {
		if r.Released < r.Fenced {
			out = append(out, r)
		}
	}
	return out
}

// release bills what the witness had stored and returns the rest of every
// fenced incarnation. A witness that may have lost charges proves nothing:
// the remainder is withheld.
func (v *Vault) release(e Release) (proto.Message, error) {
	r := v.routers[e.Router]
	upTo := e.Incarnation
	if r == nil || upTo > r.Fenced || r.Released >= upTo {
		return &messenger.FenceReply{}, nil
	}
	if err := v.billWitnessed(e.Witness.Charges); err != nil {
		return nil, err
	}
	var total rattanhoist.Tokens
	for _, b := range v.books {
		for k, l := range b.leases {
			if k.router == e.Router && k.incarnation <= upTo {
				total += v.endLease(b, l, l.WitnessIncarnation < e.Witness.IncompleteBefore)
			}
		}
	}
	r.Released = upTo
	v.store(BucketRouters, r.Router, r)
	return &messenger.FenceReply{ReturnedTokens: int64(total)}, nil
}

func (v *Vault) endLease(b *book, l *messenger.LeaseRow, lost bool) rattanhoist.Tokens {
	v.touch(b.workspace)
	n := outstanding(l)
	b.leased -= n
	if lost {
		b.withheld += n
	} else {
		v.addRights(b, n, v.self.Unproved)
	}
	delete(b.leases, leaseKey{l.Router, l.Incarnation})
	v.remove(BucketLeases, leaseRowKey(l))
	return n
}

// Unfenced returns the newest incarnation of a router that is not fenced, or
// 0.
func (v *Vault) Unfenced(router string) uint64 {
	r := v.routers[router]
	if r == nil || r.Incarnation <= r.Fenced {
		return 0
	}
	return r.Incarnation
}

// Lessees returns the routers that hold rights of a workspace.
func (v *Vault) Lessees(workspace string) []string {
	b := v.books[workspace]
	if b == nil {
		return nil
	}
	var out []string
	for k, l := range b.leases {
		if outstanding(l) > 0 {
			out = append(out, k.router)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Routers returns how many routers have leased rights here, ever: more than the
// zone has where some were taken out of the settings.
func (v *Vault) Routers() int { return len(v.routers) }
