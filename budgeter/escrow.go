package budgeter

import (
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// mint creates the rights of a top-up, once for each top-up ID.
func (v *Vault) mint(r *messenger.TopUpRequest) (proto.Message, error) {
	if zone, ok := rattanhoist.TopUpZone(r.TopUpId); !ok || zone != v.zone {
		return nil, ErrWrongZone
	}
	if r.Tokens <= 0 {
		return nil, ErrAmount
	}
	old := &messenger.TopUpRequest{}
	known, err := v.lookup(BucketTopUps, r.TopUpId, old)
	if err != nil {
		return nil, err
	}
	if known {
		if old.Workspace != r.Workspace || old.Tokens != r.Tokens {
			return nil, ErrTopUpReused
		}
		return &messenger.TopUpReply{MintedTokens: old.Tokens, RepeatedRequest: true}, nil
	}
	if err := v.addMinted(r); err != nil {
		return nil, err
	}
	v.storeOnDisk(BucketTopUps, r.TopUpId, r)
	return &messenger.TopUpReply{MintedTokens: r.Tokens}, nil
}

// addMinted adds the rights of a top-up to its book. It freezes them while a
// restore is unverified: the top-up may be the resend of one that the lost disk
// had minted and that was already spent.
func (v *Vault) addMinted(r *messenger.TopUpRequest) error {
	b := v.book(r.Workspace)
	minted, err := b.minted.Add(rattanhoist.Tokens(r.Tokens))
	if err != nil {
		return ErrAmount
	}
	if _, err := minted.Add(b.received); err != nil {
		return ErrAmount
	}
	v.bookForUpdate(r.Workspace)
	b.minted = minted
	v.creditOrFreeze(b, rattanhoist.Tokens(r.Tokens), v.self.Unproved)
	return nil
}

// creditOrFreeze adds rights to the frozen or to the spendable ones.
func (*Vault) creditOrFreeze(b *book, n rattanhoist.Tokens, frozen bool) {
	if frozen {
		b.frozen += n
		return
	}
	b.credit(n)
}

// startTransfer moves up to the wanted number of unspent rights into a transfer
// to the requesting zone. The transfer stays pending until it is confirmed.
func (v *Vault) startTransfer(r *messenger.AskRequest) (proto.Message, error) {
	b := v.book(r.Workspace)
	n := min(max(rattanhoist.Tokens(r.WantTokens), 0), b.unspent)
	if n == 0 || r.Zone == v.zone || r.Zone == "" {
		return &messenger.AskReply{LeftTokens: int64(b.unspent), HeldTokens: int64(b.held(r.Zone))}, nil
	}
	v.bookForUpdate(r.Workspace)
	v.self.LastTransfer++
	v.storeSelf()
	t := &messenger.Transfer{
		// The incarnation keeps the IDs unique even if a lost disk had used the
		// same numbers.
		TransferId: fmt.Sprintf("%s/%d/%d", v.zone, v.self.Incarnation, v.self.LastTransfer),
		Workspace:  r.Workspace, FromZone: v.zone, ToZone: r.Zone, Tokens: int64(n), ToIncarnation: r.VaultIncarnation,
	}
	b.unspent -= n
	b.given += n
	v.pending[t.TransferId] = t
	b.adjustInFlight(t.ToZone, n)
	v.storeResident(BucketTransfers, t.TransferId, t)
	return &messenger.AskReply{Transfer: t, LeftTokens: int64(b.unspent), HeldTokens: int64(b.held(r.Zone))}, nil
}

// receiveTransfers credits every new transfer to this zone and returns the IDs
// of all that are recorded.
func (v *Vault) receiveTransfers(r *messenger.GiveRequest) (proto.Message, error) {
	out := &messenger.GiveReply{}
	for _, t := range r.Transfers {
		if t.ToZone != v.zone {
			continue
		}
		known, err := v.lookup(BucketReceived, t.TransferId, &messenger.Transfer{})
		if err != nil {
			return nil, err
		}
		if !known {
			v.addReceived(t)
		}
		out.AcceptedIds = append(out.AcceptedIds, t.TransferId)
	}
	return out, nil
}

// addReceived adds a transfer to its book. While a restore is unverified, it
// freezes rights that were sent to an earlier incarnation, because the lost
// disk may have received and leased them already.
func (v *Vault) addReceived(t *messenger.Transfer) {
	b := v.bookForUpdate(t.Workspace)
	b.received += rattanhoist.Tokens(t.Tokens)
	v.creditOrFreeze(b, rattanhoist.Tokens(t.Tokens), v.self.Unproved && t.ToIncarnation != v.self.Incarnation)
	v.storeOnDisk(BucketReceived, t.TransferId, t)
}

// confirmTransfers removes transfers that the other zone has recorded.
func (v *Vault) confirmTransfers(e ConfirmTransfers) {
	for _, id := range e.TransferIDs {
		t := v.pending[id]
		if t == nil {
			continue
		}
		delete(v.pending, id)
		v.book(t.Workspace).adjustInFlight(t.ToZone, -rattanhoist.Tokens(t.Tokens))
		v.deleteResident(BucketTransfers, id)
	}
}

// PendingTransfers returns the unconfirmed outgoing transfers, sorted by ID.
func (v *Vault) PendingTransfers() []*messenger.Transfer {
	out := make([]*messenger.Transfer, 0, len(v.pending))
	for _, t := range sortedByKey(v.pending) {
		out = append(out, t)
	}
	return out
}

// Unspent returns the rights of a workspace that can be leased or transferred.
func (v *Vault) Unspent(workspace string) int64 {
	if b := v.books[workspace]; b != nil {
		return int64(b.unspent)
	}
	return 0
}

// InFlight returns the rights of a workspace in unconfirmed outgoing transfers,
// by receiving zone.
func (v *Vault) InFlight(workspace string) map[string]rattanhoist.Tokens {
	b := v.books[workspace]
	if b == nil {
		return nil
	}
	return maps.Clone(b.inFlight)
}
