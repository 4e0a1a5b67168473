// Package budgeter is the escrow of prepaid budgets: rights to spend exist
// once, are minted by top-ups, moved between zones by transfers, leased to
// routers and turned into charges.
//
// Vault is the pure state machine of one availability zone; Slice is the
// router's side.
package budgeter

import (
	"cmp"
	"iter"
	"maps"
	"slices"
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
	// ErrRepairing says that the vault's disk was lost and the router has not
	// yet said what it holds; the same request works later.
	ErrRepairing = merry.Sentinel("budget is being repaired; ask again")
	// ErrOutdated says that a zone has sent a later message than this one.
	ErrOutdated = merry.Sentinel("message is older than one that was taken; ask again")
)

// leaseKey names what one incarnation of a router holds of a workspace.
type leaseKey struct {
	router      string
	incarnation uint64
}

// book is one workspace's account in this zone.
//
// Minted + received = unspent + leased + charged + given + frozen + withheld,
// and leased is the sum of what the leases have outstanding. Frozen is
// negative where routers had spent rights whose mint was lost with a disk;
// everything else never is.
type book struct {
	workspace                               string
	minted, received                        rattanhoist.Tokens
	unspent, leased, charged, given, frozen rattanhoist.Tokens
	// Withheld rights may have been spent by a dead router on a lost disk.
	withheld rattanhoist.Tokens
	leases   map[leaseKey]*messenger.LeaseRow
	// UnderWay sums the transfers that a zone has not confirmed; they are part
	// of given.
	underWay map[string]rattanhoist.Tokens
}

func (b *book) balances() bool {
	in := b.minted + b.received
	out := b.unspent + b.leased + b.charged + b.given + b.frozen + b.withheld
	return in == out && min(b.minted, b.received, b.unspent, b.leased, b.charged, b.given, b.withheld) >= 0
}

// credit adds rights that may be spent; a debt is paid first.
func (b *book) credit(n rattanhoist.Tokens) {
	if b.frozen < 0 {
		paid := min(n, -b.frozen)
		b.frozen += paid
		n -= paid
	}
	b.unspent += n
}

// held is what a zone can't be given now and may get later; withheld rights
// it can't. Rights on their way to a third zone count: without them a caller
// would be told that the budget is spent while no zone has them in hand.
func (b *book) held(asking string) rattanhoist.Tokens {
	n := b.leased + max(b.frozen, 0)
	for zone, t := range b.underWay {
		if zone != asking {
			n += t
		}
	}
	return n
}

// move notes a transfer on its way, or with a negative amount its arrival.
func (b *book) move(zone string, n rattanhoist.Tokens) {
	b.underWay[zone] += n
	if b.underWay[zone] == 0 {
		delete(b.underWay, zone)
	}
}

func (b *book) row(zone string) *messenger.Book {
	return &messenger.Book{
		Workspace: b.workspace, Zone: zone,
		MintedTokens: int64(b.minted), ReceivedTokens: int64(b.received),
		UnspentTokens: int64(b.unspent), LeasedTokens: int64(b.leased),
		ChargedTokens: int64(b.charged), GivenTokens: int64(b.given),
		FrozenTokens: int64(b.frozen + b.withheld), WithheldTokens: int64(b.withheld),
	}
}

// Vault holds the rights of one availability zone. It is not safe for
// concurrent use.
type Vault struct {
	zone string
	rows Rows
	self *messenger.VaultRow
	// Books maps workspaces to accounts.
	books map[string]*book
	// Routers maps names to incarnations; fenced < incarnation, and released
	// <= fenced.
	routers map[string]*messenger.RouterRow
	// Pending holds transfers out that the other zone has not confirmed.
	pending map[string]*messenger.Transfer
	// Witnessed holds other zones' charges until they are handed over.
	witnessed map[string]*messenger.Charge
	// Refused maps other zones' routers to the highest incarnation that the
	// vault witnesses no more for.
	refused map[string]uint64
	// Marks maps zones to the latest solo mark of their keeper.
	marks map[string]*messenger.SoloMark
	// Billed holds the requests billed in the step in progress, and billedMs
	// the time of the oldest.
	billed   []string
	billedMs int64
	// Settled maps zones to the time before which they ask for no claim any
	// more; it is heard anew after a start.
	settled map[string]int64
	// PrunedCharges and prunedClaims count since the start.
	prunedCharges, prunedClaims int64
	// NowMs is the time of the step in progress, in Unix milliseconds.
	nowMs int64
	// Proved maps routers to the incarnation whose holdings have been taken
	// since the last start; it matters only while the vault is unproved.
	proved map[string]uint64

	recent recent
	// Changed holds the rows of the step in progress; nil deletes.
	changed map[rowKey][]byte
	dirty   map[*book]bool
	replies []Action
}

// NewVault returns the empty vault of a zone; rows looks up what Restore is
// not given.
func NewVault(zone string, rows Rows) *Vault {
	return &Vault{
		zone: zone, rows: rows, self: &messenger.VaultRow{},
		books:     map[string]*book{},
		routers:   map[string]*messenger.RouterRow{},
		pending:   map[string]*messenger.Transfer{},
		witnessed: map[string]*messenger.Charge{},
		refused:   map[string]uint64{},
		marks:     map[string]*messenger.SoloMark{},
		proved:    map[string]uint64{},
		settled:   map[string]int64{},
		recent:    recent{now: map[rowKey][]byte{}},
		changed:   map[rowKey][]byte{},
		dirty:     map[*book]bool{},
	}
}

// Step handles one event. The rows come before the reply.
func (v *Vault) Step(now time.Time, e Event) []Action {
	v.nowMs = max(now.UnixMilli(), 0)
	v.handle(e)
	v.storeUnclaimed()
	for b := range v.dirty {
		v.storeBook(b)
	}
	actions := make([]Action, 0, len(v.changed)+len(v.replies))
	for k, value := range v.changed {
		actions = append(actions, Write{Bucket: k.bucket, Key: k.key, Value: value})
	}
	slices.SortFunc(actions, func(a, b Action) int {
		x, y := a.(Write), b.(Write)
		return cmp.Or(cmp.Compare(x.Bucket, y.Bucket), cmp.Compare(x.Key, y.Key))
	})
	actions = append(actions, v.replies...)
	clear(v.changed)
	clear(v.dirty)
	v.replies = nil
	return actions
}

// Synced tells the vault that the rows of every step so far are synced.
func (v *Vault) Synced() { v.recent.synced() }

func (v *Vault) handle(e Event) {
	switch e := e.(type) {
	case Mint:
		v.answer(e.Ticket)(v.mint(e.Request))
	case Lease:
		v.answer(e.Ticket)(v.lease(e.Request))
	case Bill:
		v.answer(e.Ticket)(v.bill(e.Request))
	case Return:
		v.answer(e.Ticket)(v.takeBack(e.Request))
	case Ask:
		v.answer(e.Ticket)(v.give(e.Request))
	case Receive:
		v.answer(e.Ticket)(v.receive(e.Request))
	case Confirm:
		v.confirm(e)
	case Register:
		v.answer(e.Ticket)(v.register(e.Request))
	case Fence:
		v.answer(e.Ticket)(v.fence(e.Request))
	case Release:
		v.answer(e.Ticket)(v.release(e))
	default:
		v.handleRepair(e)
	}
}

func (v *Vault) handleRepair(e Event) {
	switch e := e.(type) {
	case Witness:
		v.answer(e.Ticket)(v.witness(e.Request))
	case FenceWitness:
		v.answer(e.Ticket)(v.fenceWitness(e.Request))
	case HandOver:
		v.answer(e.Ticket)(v.handOver(e.Request))
	case HandedOver:
		v.handedOver(e)
	case ClaimBills:
		v.answer(e.Ticket)(v.claimBills(e.Request))
	case BillsClaimed:
		v.billsClaimed(e)
	case Prune:
		v.prune(e)
	case Mark:
		v.answer(e.Ticket)(v.mark(e.Request))
	case Begin:
		v.begin(e)
	case Paired:
		v.self.WitnessIncarnation = max(v.self.WitnessIncarnation, e.MirrorIncarnation)
		v.storeSelf()
	case Prove:
		v.prove(e)
		v.answer(e.Ticket)(proto.CloneOf(v.self), nil)
	}
}

func (v *Vault) answer(t Ticket) func(proto.Message, error) {
	return func(m proto.Message, err error) {
		r := Reply{Ticket: t, Err: err}
		if err == nil {
			r.Message = m
		}
		v.replies = append(v.replies, r)
	}
}

// book returns the account of a workspace, an empty one where none is.
func (v *Vault) book(workspace string) *book {
	b := v.books[workspace]
	if b == nil {
		b = &book{workspace: workspace, leases: map[leaseKey]*messenger.LeaseRow{}, underWay: map[string]rattanhoist.Tokens{}}
		v.books[workspace] = b
	}
	return b
}

// touch returns the account to be changed; its row is written at the end of
// the step.
func (v *Vault) touch(workspace string) *book {
	b := v.book(workspace)
	v.dirty[b] = true
	return b
}

// Incarnation returns the identity of the vault's disk; 0 before Begin.
func (v *Vault) Incarnation() uint64 { return v.self.Incarnation }

// Unproved reports whether rights are frozen after a restore.
func (v *Vault) Unproved() bool { return v.self.Unproved }

// Book returns the account of a workspace.
func (v *Vault) Book(workspace string) *messenger.Book {
	b := v.books[workspace]
	if b == nil {
		return &messenger.Book{Workspace: workspace, Zone: v.zone}
	}
	out := b.row(v.zone)
	for _, n := range b.underWay {
		out.TransferOutTokens += int64(n)
	}
	return out
}

// Totals returns the sums over all workspaces.
func (v *Vault) Totals() *messenger.Book {
	t := &messenger.Book{Zone: v.zone}
	for _, b := range v.books {
		t.MintedTokens += int64(b.minted)
		t.ReceivedTokens += int64(b.received)
		t.UnspentTokens += int64(b.unspent)
		t.LeasedTokens += int64(b.leased)
		t.ChargedTokens += int64(b.charged)
		t.GivenTokens += int64(b.given)
		t.FrozenTokens += int64(b.frozen + b.withheld)
		t.WithheldTokens += int64(b.withheld)
	}
	return t
}

// Charge returns the bill of a request, or nil.
func (v *Vault) Charge(k rattanhoist.RequestKey) (*messenger.Charge, error) {
	c := &messenger.Charge{}
	ok, err := v.find(BucketCharges, k.String(), c)
	if !ok || err != nil {
		return nil, err
	}
	return c, nil
}

// inOrder yields the values by key, so that equal vaults act equally.
func inOrder[T any](m map[string]T) iter.Seq2[string, T] {
	return func(yield func(string, T) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}

// Zone returns the availability zone.
func (v *Vault) Zone() string { return v.zone }
