// Package budgeter is the escrow of prepaid budgets: rights to spend exist
// once, are minted by top-ups, moved between zones by transfers, leased to
// routers and turned into charges.
//
// Vault is the pure state machine of one availability zone; Slice is the
// router's side.
package budgeter

import (
	"fmt"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// Errors of a vault. Compare with errors.Is.
var (
	// ErrWrongZone says that a top-up's identity names another zone.
	ErrWrongZone = merry.Sentinel("top-up identity names another zone")
	// ErrAmount says that an amount is not positive or does not fit.
	ErrAmount = merry.Sentinel("token amount must be positive and in range")
	// ErrTopUpReused says that a top-up's identity came with other contents.
	ErrTopUpReused = merry.Sentinel("top-up identity was used for another top-up")
	// ErrFenced says that the router's incarnation may not spend any more.
	ErrFenced = merry.Sentinel("router incarnation is fenced")
	// ErrCorrupt says that stored rows contradict each other.
	ErrCorrupt = merry.Sentinel("stored budget rows are corrupt")
)

// Buckets of the vault's rows.
const (
	BucketBooks     = "budget_books"
	BucketTopUps    = "budget_top_ups"
	BucketLeases    = "budget_leases"
	BucketCharges   = "budget_charges"
	BucketTransfers = "budget_transfers"
	BucketReceived  = "budget_received"
	BucketFences    = "budget_fences"
)

// Buckets lists every bucket that Restore must be given.
var Buckets = []string{
	BucketBooks, BucketTopUps, BucketLeases, BucketCharges,
	BucketTransfers, BucketReceived, BucketFences,
}

// lease is what one router holds of one workspace.
type lease struct {
	incarnation rattanhoist.Incarnation
	// Sequence is the last request served; a resend gets lastGrant again.
	sequence  uint64
	lastGrant rattanhoist.Tokens
	// Outstanding is granted and neither charged nor returned; never negative.
	outstanding rattanhoist.Tokens
}

// book is one workspace's account in this zone.
//
// Minted + received = unspent + sum of outstanding + charged + given + frozen.
type book struct {
	minted, received, unspent, charged, given, frozen rattanhoist.Tokens
	leases                                            map[string]*lease
}

// Vault holds the rights of one availability zone. It is not safe for
// concurrent use.
type Vault struct {
	zone  string
	books map[string]*book
	// TopUps maps identities to their amounts.
	topUps map[string]*messenger.TopUpRequest
	// Charges maps workspace/request to the bill.
	charges map[rattanhoist.RequestKey]*messenger.Charge
	// Pending holds transfers out that the other zone has not confirmed.
	pending map[string]*messenger.Transfer
	// Received holds transfers in.
	received map[string]*messenger.Transfer
	// Fenced holds the highest fenced incarnation of each router.
	fenced map[string]rattanhoist.Incarnation
	// NextTransfer numbers transfers out; every number is used once.
	nextTransfer uint64
}

// NewVault returns the empty vault of a zone.
func NewVault(zone string) *Vault {
	return &Vault{
		zone: zone, books: map[string]*book{},
		topUps:   map[string]*messenger.TopUpRequest{},
		charges:  map[rattanhoist.RequestKey]*messenger.Charge{},
		pending:  map[string]*messenger.Transfer{},
		received: map[string]*messenger.Transfer{},
		fenced:   map[string]rattanhoist.Incarnation{},
	}
}

// Step handles one event.
func (v *Vault) Step(_ time.Time, e Event) []Action {
	switch e := e.(type) {
	case Mint:
		return v.mint(e)
	case Lease:
		return v.lease(e)
	case Bill:
		return v.bill(e)
	case Return:
		return v.takeBack(e)
	case Ask:
		return v.give(e)
	case Receive:
		return v.receive(e)
	case Confirm:
		return v.confirm(e)
	case Fence:
		return v.fence(e)
	default:
		return nil
	}
}

func (v *Vault) book(workspace string) *book {
	b := v.books[workspace]
	if b == nil {
		b = &book{leases: map[string]*lease{}}
		v.books[workspace] = b
	}
	return b
}

func (v *Vault) mint(e Mint) []Action {
	r := e.Request
	if zone, ok := rattanhoist.TopUpZone(r.TopUpId); !ok || zone != v.zone {
		return refuse(e.Ticket, ErrWrongZone)
	}
	if r.Tokens <= 0 {
		return refuse(e.Ticket, ErrAmount)
	}
	if old := v.topUps[r.TopUpId]; old != nil {
		if old.Workspace != r.Workspace || old.Tokens != r.Tokens {
			return refuse(e.Ticket, ErrTopUpReused)
		}
		return reply(e.Ticket, &messenger.TopUpReply{MintedTokens: old.Tokens, RepeatedRequest: true})
	}
	b := v.book(r.Workspace)
	minted, err := b.minted.Add(rattanhoist.Tokens(r.Tokens))
	if err != nil {
		return refuse(e.Ticket, ErrAmount)
	}
	b.minted = minted
	b.unspent += rattanhoist.Tokens(r.Tokens)
	v.topUps[r.TopUpId] = r
	return []Action{
		write(BucketTopUps, r.TopUpId, r), v.writeBook(r.Workspace),
		Reply{Ticket: e.Ticket, Message: &messenger.TopUpReply{MintedTokens: r.Tokens}},
	}
}

func (v *Vault) lease(e Lease) []Action {
	r := e.Request
	if rattanhoist.Incarnation(r.Incarnation) <= v.fenced[r.Router] {
		return refuse(e.Ticket, ErrFenced)
	}
	if r.WantTokens < 0 {
		return refuse(e.Ticket, ErrAmount)
	}
	b := v.book(r.Workspace)
	l := b.lease(r.Router, rattanhoist.Incarnation(r.Incarnation))
	if l == nil {
		return refuse(e.Ticket, ErrFenced)
	}
	if r.Sequence <= l.sequence {
		return reply(e.Ticket, v.leaseReply(b, l.repeat(r.Sequence)))
	}
	grant := min(rattanhoist.Tokens(r.WantTokens), b.unspent)
	b.unspent -= grant
	l.outstanding += grant
	l.sequence, l.lastGrant = r.Sequence, grant
	return []Action{
		v.writeLease(r.Workspace, r.Router), v.writeBook(r.Workspace),
		Reply{Ticket: e.Ticket, Message: v.leaseReply(b, grant)},
	}
}

func (*Vault) leaseReply(b *book, grant rattanhoist.Tokens) *messenger.LeaseReply {
	return &messenger.LeaseReply{GrantedTokens: int64(grant), ZoneLeftTokens: int64(b.unspent)}
}

// lease returns the router's lease for its incarnation, or nil when a later
// incarnation has one. A new incarnation inherits nothing: what the old one
// held stays outstanding under its own key until it is fenced.
func (b *book) lease(router string, inc rattanhoist.Incarnation) *lease {
	key := leaseKey(router, inc)
	l := b.leases[key]
	if l == nil {
		l = &lease{incarnation: inc}
		b.leases[key] = l
	}
	return l
}

func leaseKey(router string, inc rattanhoist.Incarnation) string {
	return router + "#" + strconv.FormatUint(uint64(inc), 10)
}

// repeat returns the first answer to a resent request.
func (l *lease) repeat(sequence uint64) rattanhoist.Tokens {
	if sequence == l.sequence {
		return l.lastGrant
	}
	return 0
}

func (v *Vault) bill(e Bill) []Action {
	r := e.Request
	inc := rattanhoist.Incarnation(r.Incarnation)
	out := &messenger.ChargeReply{}
	var actions []Action
	for _, c := range r.Charges {
		result := v.charge(r.Router, inc, c)
		out.Results = append(out.Results, result)
		if result.State == messenger.ChargeState_CHARGE_STATE_BILLED {
			actions = append(actions, v.chargeRows(r.Router, inc, c)...)
		}
	}
	return append(actions, Reply{Ticket: e.Ticket, Message: out})
}

// chargeRows writes the bill that counts, which for a repeated charge is the
// first one, and the accounts that it changed.
func (v *Vault) chargeRows(router string, inc rattanhoist.Incarnation, c *messenger.Charge) []Action {
	first := v.charges[rattanhoist.NewRequestKey(c.Workspace, c.RequestId)]
	rows := []Action{v.writeCharge(first), v.writeBook(c.Workspace)}
	key := leaseKey(router, inc)
	if v.book(c.Workspace).leases[key] != nil {
		rows = append(rows, v.writeLeaseAt(c.Workspace, key))
	}
	return rows
}

// charge bills one request once; a second charge of the same request frees
// what the router had reserved for it.
func (v *Vault) charge(router string, inc rattanhoist.Incarnation, c *messenger.Charge) *messenger.ChargeResult {
	key := rattanhoist.NewRequestKey(c.Workspace, c.RequestId)
	if old := v.charges[key]; old != nil {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_BILLED, BilledTokens: old.Tokens}
	}
	if inc <= v.fenced[router] {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_FENCED}
	}
	b := v.book(c.Workspace)
	l := b.leases[leaseKey(router, inc)]
	if l == nil || c.Tokens < 0 || l.outstanding < rattanhoist.Tokens(c.Tokens) {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_NOT_LEASED}
	}
	l.outstanding -= rattanhoist.Tokens(c.Tokens)
	b.charged += rattanhoist.Tokens(c.Tokens)
	v.charges[key] = c
	return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_BILLED, BilledTokens: c.Tokens}
}

func (v *Vault) takeBack(e Return) []Action {
	r := e.Request
	b := v.book(r.Workspace)
	l := b.leases[leaseKey(r.Router, rattanhoist.Incarnation(r.Incarnation))]
	if l == nil || r.Sequence <= l.sequence {
		return reply(e.Ticket, &messenger.ReturnReply{})
	}
	n := min(max(rattanhoist.Tokens(r.Tokens), 0), l.outstanding)
	l.outstanding -= n
	l.sequence, l.lastGrant = r.Sequence, 0
	b.unspent += n
	return []Action{
		v.writeLeaseAt(r.Workspace, leaseKey(r.Router, l.incarnation)), v.writeBook(r.Workspace),
		Reply{Ticket: e.Ticket, Message: &messenger.ReturnReply{}},
	}
}

func (v *Vault) give(e Ask) []Action {
	r := e.Request
	b := v.book(r.Workspace)
	n := min(max(rattanhoist.Tokens(r.WantTokens), 0), b.unspent)
	if n == 0 {
		return reply(e.Ticket, &messenger.AskReply{LeftTokens: int64(b.unspent)})
	}
	v.nextTransfer++
	t := &messenger.Transfer{
		TransferId: fmt.Sprintf("%s/%d", v.zone, v.nextTransfer),
		Workspace:  r.Workspace, FromZone: v.zone, ToZone: r.Zone, Tokens: int64(n),
	}
	b.unspent -= n
	b.given += n
	v.pending[t.TransferId] = t
	return []Action{
		write(BucketTransfers, t.TransferId, t), v.writeBook(r.Workspace),
		Reply{Ticket: e.Ticket, Message: &messenger.AskReply{Transfer: t, LeftTokens: int64(b.unspent)}},
	}
}

func (v *Vault) receive(e Receive) []Action {
	var actions []Action
	out := &messenger.GiveReply{}
	for _, t := range e.Request.Transfers {
		if t.ToZone != v.zone {
			continue
		}
		out.AcceptedIds = append(out.AcceptedIds, t.TransferId)
		if v.received[t.TransferId] != nil {
			continue
		}
		b := v.book(t.Workspace)
		b.received += rattanhoist.Tokens(t.Tokens)
		b.unspent += rattanhoist.Tokens(t.Tokens)
		v.received[t.TransferId] = t
		actions = append(actions, write(BucketReceived, t.TransferId, t), v.writeBook(t.Workspace))
	}
	return append(actions, Reply{Ticket: e.Ticket, Message: out})
}

func (v *Vault) confirm(e Confirm) []Action {
	var actions []Action
	for _, id := range e.TransferIDs {
		if v.pending[id] == nil {
			continue
		}
		delete(v.pending, id)
		actions = append(actions, v.writeCounter())
		actions = append(actions, Write{Bucket: BucketTransfers, Key: id})
	}
	return actions
}

func (v *Vault) fence(e Fence) []Action {
	r := e.Request
	inc := rattanhoist.Incarnation(r.Incarnation)
	if inc > v.fenced[r.Router] {
		v.fenced[r.Router] = inc
	}
	actions := []Action{write(BucketFences, r.Router, r)}
	var total rattanhoist.Tokens
	for name, b := range v.books {
		for key, l := range b.leases {
			if l.incarnation > inc || key != leaseKey(r.Router, l.incarnation) {
				continue
			}
			total += l.outstanding
			b.unspent += l.outstanding
			delete(b.leases, key)
			actions = append(actions, Write{Bucket: BucketLeases, Key: name + "/" + key}, v.writeBook(name))
		}
	}
	return append(actions, Reply{Ticket: e.Ticket, Message: &messenger.FenceReply{ReturnedTokens: int64(total)}})
}

// Pending returns the transfers that still wait for a confirmation.
func (v *Vault) Pending() []*messenger.Transfer {
	out := make([]*messenger.Transfer, 0, len(v.pending))
	for _, t := range v.pending {
		out = append(out, t)
	}
	return out
}

// Book returns the account of a workspace.
func (v *Vault) Book(workspace string) *messenger.Book {
	out := &messenger.Book{Workspace: workspace, Zone: v.zone}
	b := v.books[workspace]
	if b == nil {
		return out
	}
	out.MintedTokens = int64(b.minted)
	out.ReceivedTokens = int64(b.received)
	out.UnspentTokens = int64(b.unspent)
	out.ChargedTokens = int64(b.charged)
	out.GivenTokens = int64(b.given)
	out.FrozenTokens = int64(b.frozen)
	for _, l := range b.leases {
		out.LeasedTokens += int64(l.outstanding)
	}
	for _, t := range v.pending {
		if t.Workspace == workspace {
			out.TransferOutTokens += t.Tokens
		}
	}
	return out
}

// Charges returns the bills of a workspace, or the one of a request.
func (v *Vault) Charges(workspace, requestID string) []*messenger.Charge {
	if requestID != "" {
		if c := v.charges[rattanhoist.NewRequestKey(workspace, requestID)]; c != nil {
			return []*messenger.Charge{c}
		}
		return nil
	}
	var out []*messenger.Charge
	for k, c := range v.charges {
		if k.Workspace() == workspace {
			out = append(out, c)
		}
	}
	return out
}

func reply(t Ticket, m proto.Message) []Action {
	return []Action{Reply{Ticket: t, Message: m}}
}

func refuse(t Ticket, err error) []Action {
	return []Action{Reply{Ticket: t, Err: err}}
}
