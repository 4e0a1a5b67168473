package budgeter

import (
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

func (v *Vault) mint(r *messenger.TopUpRequest) (proto.Message, error) {
	if zone, ok := rattanhoist.TopUpZone(r.TopUpId); !ok || zone != v.zone {
		return nil, ErrWrongZone
	}
	if r.Tokens <= 0 {
		return nil, ErrAmount
	}
	old := &messenger.TopUpRequest{}
	known, err := v.find(BucketTopUps, r.TopUpId, old)
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
	v.put(BucketTopUps, r.TopUpId, r)
	return &messenger.TopUpReply{MintedTokens: r.Tokens}, nil
}

// addMinted freezes the rights while it is unknown what a lost disk had
// answered: the top-up may be the resend of one that was minted and spent.
func (v *Vault) addMinted(r *messenger.TopUpRequest) error {
	b := v.book(r.Workspace)
	minted, err := b.minted.Add(rattanhoist.Tokens(r.Tokens))
	if err != nil {
		return ErrAmount
	}
	if _, err := minted.Add(b.received); err != nil {
		return ErrAmount
	}
	v.touch(r.Workspace)
	b.minted = minted
	v.addRights(b, rattanhoist.Tokens(r.Tokens), v.self.Unproved)
	return nil
}

func (*Vault) addRights(b *book, n rattanhoist.Tokens, frozen bool) {
	if frozen {
		b.frozen += n
		return
	}
	b.credit(n)
}

func (v *Vault) give(r *messenger.AskRequest) (proto.Message, error) {
	b := v.book(r.Workspace)
	n := min(max(rattanhoist.Tokens(r.WantTokens), 0), b.unspent)
	if n == 0 || r.Zone == v.zone || r.Zone == "" {
		return &messenger.AskReply{LeftTokens: int64(b.unspent), HeldTokens: int64(b.held(r.Zone))}, nil
	}
	v.touch(r.Workspace)
	v.self.LastTransfer++
	v.storeSelf()
	t := &messenger.Transfer{
		// The incarnation keeps numbers apart that a lost disk had used.
		TransferId: fmt.Sprintf("%s/%d/%d", v.zone, v.self.Incarnation, v.self.LastTransfer),
		Workspace:  r.Workspace, FromZone: v.zone, ToZone: r.Zone, Tokens: int64(n), ToIncarnation: r.VaultIncarnation,
	}
	b.unspent -= n
	b.given += n
	v.pending[t.TransferId] = t
	b.move(t.ToZone, n)
	v.store(BucketTransfers, t.TransferId, t)
	return &messenger.AskReply{Transfer: t, LeftTokens: int64(b.unspent), HeldTokens: int64(b.held(r.Zone))}, nil
}

func (v *Vault) receive(r *messenger.GiveRequest) (proto.Message, error) {
	out := &messenger.GiveReply{}
	for _, t := range r.Transfers {
		if t.ToZone != v.zone {
			continue
		}
		known, err := v.find(BucketReceived, t.TransferId, &messenger.Transfer{})
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

// addReceived freezes rights that were given to a lost disk, which may have
// received and leased them before.
func (v *Vault) addReceived(t *messenger.Transfer) {
	b := v.touch(t.Workspace)
	b.received += rattanhoist.Tokens(t.Tokens)
	v.addRights(b, rattanhoist.Tokens(t.Tokens), v.self.Unproved && t.ToIncarnation != v.self.Incarnation)
	v.put(BucketReceived, t.TransferId, t)
}

func (v *Vault) confirm(e Confirm) {
	for _, id := range e.TransferIDs {
		t := v.pending[id]
		if t == nil {
			continue
		}
		delete(v.pending, id)
		v.book(t.Workspace).move(t.ToZone, -rattanhoist.Tokens(t.Tokens))
		v.remove(BucketTransfers, id)
	}
}

// Pending returns the transfers that still wait for a confirmation.
func (v *Vault) Pending() []*messenger.Transfer {
	out := make([]*messenger.Transfer, 0, len(v.pending))
	for _, t := range inOrder(v.pending) {
		out = append(out, t)
	}
	return out
}

// Unspent returns the rights of a workspace that may be leased or given.
func (v *Vault) Unspent(workspace string) int64 {
	if b := v.books[workspace]; b != nil {
		return int64(b.unspent)
	}
	return 0
}

// UnderWay returns the rights of a workspace that are on their way, by zone.
func (v *Vault) UnderWay(workspace string) map[string]rattanhoist.Tokens {
	b := v.books[workspace]
	if b == nil {
		return nil
	}
	return maps.Clone(b.underWay)
}
