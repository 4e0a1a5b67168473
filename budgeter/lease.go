package budgeter

import (
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// incarnationKey returns the part of a row key that identifies a router's
// incarnation.
func incarnationKey(router string, incarnation uint64) string {
	return router + "#" + strconv.FormatUint(incarnation, 10)
}

// outstanding returns the rights of a lease that were granted and neither
// charged nor returned.
func outstanding(l *messenger.LeaseRow) rattanhoist.Tokens {
	return rattanhoist.Tokens(l.GrantedTokens - l.ReturnedTokens - l.ChargedTokens)
}

// admitIncarnation registers an incarnation if it is the newest of its router,
// and returns ErrFenced if it may not spend any more.
func (v *Vault) admitIncarnation(router string, incarnation uint64) error {
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
	// Earlier incarnations have either ended or are suspended; a suspended one
	// gets ErrFenced when it continues.
	r.Incarnation, r.Fenced = incarnation, max(r.Fenced, r.Incarnation)
	v.storeResident(BucketRouters, router, r)
	return nil
}

// isFenced reports whether an incarnation of a router is fenced.
func (v *Vault) isFenced(router string, incarnation uint64) bool {
	r := v.routers[router]
	return r != nil && incarnation <= r.Fenced
}

// awaitsHoldings reports whether a restored vault still waits for the router's
// report of the rights that it holds.
func (v *Vault) awaitsHoldings(router string, incarnation uint64) bool {
	return v.self.Unproved && v.verified[router] != incarnation
}

// register admits an incarnation of a router.
func (v *Vault) register(r *messenger.RegisterRequest) (proto.Message, error) {
	if err := v.admitIncarnation(r.Router, r.Incarnation); err != nil {
		return nil, err
	}
	return &messenger.RegisterReply{VaultIncarnation: v.self.Incarnation, OldestChargeMs: v.self.OldestChargeMs}, nil
}

// lease grants up to the wanted number of unspent rights to a router.
func (v *Vault) lease(r *messenger.LeaseRequest) (proto.Message, error) {
	if r.WantTokens < 0 {
		return nil, ErrAmount
	}
	if err := v.admitIncarnation(r.Router, r.Incarnation); err != nil {
		return nil, err
	}
	if v.awaitsHoldings(r.Router, r.Incarnation) {
		return nil, ErrRepairing
	}
	b := v.bookForUpdate(r.Workspace)
	l := v.ensureLease(b, r.Router, r.Incarnation)
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

// leaseReply returns the answer to a lease request. A resent request gets its
// first answer.
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

// ensureLease returns the lease of an incarnation and creates it if needed. A
// new incarnation inherits no rights: those of the old one stay outstanding
// under its own key until they are released.
func (v *Vault) ensureLease(b *book, router string, incarnation uint64) *messenger.LeaseRow {
	k := leaseKey{router, incarnation}
	l := b.leases[k]
	if l == nil {
		l = &messenger.LeaseRow{Workspace: b.workspace, Router: router, Incarnation: incarnation, WitnessIncarnation: v.self.WitnessIncarnation}
		b.leases[k] = l
	}
	return l
}

// returnRights moves unspent rights of a lease back to the vault.
func (v *Vault) returnRights(r *messenger.ReturnRequest) (proto.Message, error) {
	if v.awaitsHoldings(r.Router, r.Incarnation) {
		return nil, ErrRepairing
	}
	if v.isFenced(r.Router, r.Incarnation) {
		return nil, ErrFenced
	}
	l := v.book(r.Workspace).leases[leaseKey{r.Router, r.Incarnation}]
	if l == nil || r.Sequence <= l.Sequence {
		return &messenger.ReturnReply{}, nil
	}
	b := v.bookForUpdate(r.Workspace)
	n := min(max(rattanhoist.Tokens(r.Tokens), 0), outstanding(l))
	l.ReturnedTokens += int64(n)
	l.Sequence, l.LastGrantTokens = r.Sequence, 0
	b.leased -= n
	b.credit(n)
	v.storeLease(l)
	return &messenger.ReturnReply{}, nil
}

// fence refuses the router's incarnations from now on. The Release event
// returns their unspent rights.
func (v *Vault) fence(r *messenger.FenceRequest) (proto.Message, error) {
	row := v.routers[r.Router]
	if row == nil {
		row = &messenger.RouterRow{Router: r.Router}
		v.routers[r.Router] = row
	}
	if r.Incarnation > row.Fenced {
		row.Fenced = r.Incarnation
		row.Incarnation = max(row.Incarnation, r.Incarnation)
		v.storeResident(BucketRouters, r.Router, row)
	}
	return &messenger.FenceReply{}, nil
}

// UnreleasedRouters returns the routers with fenced incarnations whose unspent
// rights can be returned only after the witness has fenced them too.
func (v *Vault) UnreleasedRouters() []*messenger.RouterRow {
	var out []*messenger.RouterRow
	for _, r := range sortedByKey(v.routers) {
		if r.Released < r.Fenced {
			out = append(out, r)
		}
	}
	return out
}

// release bills the charges that the witness had stored and returns the
// remaining rights of every fenced incarnation. If the witness may have lost
// charges, the remaining rights are withheld because they may have been spent.
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
	v.storeResident(BucketRouters, r.Router, r)
	return &messenger.FenceReply{ReturnedTokens: int64(total)}, nil
}

// endLease deletes a lease and returns the number of its outstanding rights.
// They are withheld if charges may be lost, and credited otherwise.
func (v *Vault) endLease(b *book, l *messenger.LeaseRow, lost bool) rattanhoist.Tokens {
	v.bookForUpdate(b.workspace)
	n := outstanding(l)
	b.leased -= n
	if lost {
		b.withheld += n
	} else {
		v.creditOrFreeze(b, n, v.self.Unproved)
	}
	delete(b.leases, leaseKey{l.Router, l.Incarnation})
	v.deleteResident(BucketLeases, leaseRowKey(l))
	return n
}

// UnfencedIncarnation returns the newest incarnation of a router, or 0 if it is
// fenced.
func (v *Vault) UnfencedIncarnation(router string) uint64 {
	r := v.routers[router]
	if r == nil || r.Incarnation <= r.Fenced {
		return 0
	}
	return r.Incarnation
}

// RoutersWithLeases returns the sorted names of the routers that hold rights of
// a workspace.
func (v *Vault) RoutersWithLeases(workspace string) []string {
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

// RouterCount returns the number of routers that have ever registered or were
// fenced here. It exceeds the number of the zone's routers if some were removed
// from the settings.
func (v *Vault) RouterCount() int { return len(v.routers) }
