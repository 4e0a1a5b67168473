// Package budgeter accounts for prepaid budgets. A right is the permission to
// spend one token. Rights exist once: top-ups mint them, transfers move them
// between zones, leases give them to routers, and requests turn them into
// charges.
//
// Vault is the deterministic state machine of one availability zone; it does no
// I/O of its own except for reading rows. LeasedBudget is the router's part.
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
	// ErrWrongZone is returned for a top-up whose ID names another zone.
	ErrWrongZone = merry.Sentinel("top-up identity names another zone")
	// ErrAmount is returned for an amount that is not positive or out of range.
	ErrAmount = merry.Sentinel("token amount must be positive and in range")
	// ErrTopUpReused is returned for a top-up ID that was used with other
	// contents.
	ErrTopUpReused = merry.Sentinel("top-up identity was used for another top-up")
	// ErrFenced is returned to a router's incarnation that may not spend any
	// more.
	ErrFenced = merry.Sentinel("router incarnation is fenced")
	// ErrCorrupt is returned if stored rows are invalid or contradict each
	// other.
	ErrCorrupt = merry.Sentinel("stored budget rows are corrupt")
	// ErrRepairing is returned while a restored vault waits for the router's
	// report of the rights that it holds. The same request succeeds later.
	ErrRepairing = merry.Sentinel("budget is being repaired; ask again")
	// ErrOutdated is returned if a later message of the same zone was already
	// processed.
	ErrOutdated = merry.Sentinel("message is older than one that was taken; ask again")
)

// leaseKey identifies the lease of a router's incarnation within a book.
type leaseKey struct {
	router      string
	incarnation uint64
}

// book is the account of one workspace in this zone.
//
// Minted + received = unspent + leased + charged + given + frozen + withheld,
// and leased is the sum of the outstanding rights of the leases. Frozen is
// negative if routers spent rights whose mint was lost with a disk; all other
// amounts are never negative.
type book struct {
	workspace                               string
	minted, received                        rattanhoist.Tokens
	unspent, leased, charged, given, frozen rattanhoist.Tokens
	// withheld rights may have been spent by a stopped router whose charges were
	// lost with a disk.
	withheld rattanhoist.Tokens
	leases   map[leaseKey]*messenger.LeaseRow
	// inFlight sums the unconfirmed outgoing transfers by receiving zone. They
	// are part of given.
	inFlight map[string]rattanhoist.Tokens
}

// balances reports whether the amounts of a book add up and are valid.
func (b *book) balances() bool {
	in := b.minted + b.received
	out := b.unspent + b.leased + b.charged + b.given + b.frozen + b.withheld
	return in == out && min(b.minted, b.received, b.unspent, b.leased, b.charged, b.given, b.withheld) >= 0
}

// credit adds spendable rights. A debt (negative frozen) is paid first.
func (b *book) credit(n rattanhoist.Tokens) {
	if b.frozen < 0 {
		paid := min(n, -b.frozen)
		b.frozen += paid
		n -= paid
	}
	b.unspent += n
}

// held returns the rights that the asking zone can't get now but may get later,
// which excludes withheld rights. Rights in flight to a third zone are
// included: otherwise a caller would be told that the budget is exhausted while
// no zone has these rights at its disposal.
func (b *book) held(asking string) rattanhoist.Tokens {
	n := b.leased + max(b.frozen, 0)
	for zone, t := range b.inFlight {
		if zone != asking {
			n += t
		}
	}
	return n
}

// adjustInFlight adds n, which is negative for a confirmed transfer, to the
// rights in flight to a zone.
func (b *book) adjustInFlight(zone string, n rattanhoist.Tokens) {
	b.inFlight[zone] += n
	if b.inFlight[zone] == 0 {
		delete(b.inFlight, zone)
	}
}

// row returns the stored form of a book.
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
	// books maps workspaces to their accounts.
	books map[string]*book
	// routers maps router names to their incarnations. Fenced <= the newest
	// incarnation, and released <= fenced.
	routers map[string]*messenger.RouterRow
	// pending maps IDs to outgoing transfers that the other zone has not
	// confirmed.
	pending map[string]*messenger.Transfer
	// witnessed holds the charges of other zones until they are handed over.
	witnessed map[string]*messenger.Charge
	// witnessFences maps routers of other zones to the highest incarnation whose
	// charges the vault refuses to store.
	witnessFences map[string]uint64
	// marks maps zones to the latest solo mark of their keeper.
	marks map[string]*messenger.SoloMark
	// billedKeys holds the keys of the requests billed in the current step, and
	// oldestBilledMs the time of the oldest of these bills.
	billedKeys     []string
	oldestBilledMs int64
	// settledBeforeMs maps zones to the time before which they request no more
	// claims. It is not stored, so the zones report it again after a start.
	settledBeforeMs map[string]int64
	// prunedCharges and prunedClaims count deletions since the start.
	prunedCharges, prunedClaims int64
	// nowMs is the time of the current step, in Unix milliseconds.
	nowMs int64
	// verified maps routers to the incarnation whose holdings were applied since
	// the last start. It is used only while a restore is unverified.
	verified map[string]uint64

	recent recentRows
	// changedRows holds the rows written by the current step; a nil value
	// deletes a row.
	changedRows map[rowKey][]byte
	dirtyBooks  map[*book]bool
	replies     []Action
}

// NewVault returns the empty vault of a zone. It reads rows of buckets that are
// not resident from rows.
func NewVault(zone string, rows Rows) *Vault {
	return &Vault{
		zone: zone, rows: rows, self: &messenger.VaultRow{},
		books:           map[string]*book{},
		routers:         map[string]*messenger.RouterRow{},
		pending:         map[string]*messenger.Transfer{},
		witnessed:       map[string]*messenger.Charge{},
		witnessFences:   map[string]uint64{},
		marks:           map[string]*messenger.SoloMark{},
		verified:        map[string]uint64{},
		settledBeforeMs: map[string]int64{},
		recent:          recentRows{current: map[rowKey][]byte{}},
		changedRows:     map[rowKey][]byte{},
		dirtyBooks:      map[*book]bool{},
	}
}

// Step handles one event and returns the resulting actions: first the writes,
// then the reply.
func (v *Vault) Step(now time.Time, e Event) []Action {
	v.nowMs = max(now.UnixMilli(), 0)
	v.handle(e)
	v.storeUnclaimed()
	for b := range v.dirtyBooks {
		v.storeBook(b)
	}
	actions := make([]Action, 0, len(v.changedRows)+len(v.replies))
	for k, value := range v.changedRows {
		actions = append(actions, Write{Bucket: k.bucket, Key: k.key, Value: value})
	}
	slices.SortFunc(actions, func(a, b Action) int {
		x, y := a.(Write), b.(Write)
		return cmp.Or(cmp.Compare(x.Bucket, y.Bucket), cmp.Compare(x.Key, y.Key))
	})
	actions = append(actions, v.replies...)
	clear(v.changedRows)
	clear(v.dirtyBooks)
	v.replies = nil
	return actions
}

// Synced tells the vault that the rows of all steps so far are synced.
func (v *Vault) Synced() { v.recent.synced() }

// handle dispatches the events of top-ups, leases, charges and transfers.
func (v *Vault) handle(e Event) {
	switch e := e.(type) {
	case Mint:
		v.replyTo(e.CorrelationID)(v.mint(e.Request))
	case Lease:
		v.replyTo(e.CorrelationID)(v.lease(e.Request))
	case Bill:
		v.replyTo(e.CorrelationID)(v.bill(e.Request))
	case ReturnRights:
		v.replyTo(e.CorrelationID)(v.returnRights(e.Request))
	case RequestTransfer:
		v.replyTo(e.CorrelationID)(v.startTransfer(e.Request))
	case ReceiveTransfers:
		v.replyTo(e.CorrelationID)(v.receiveTransfers(e.Request))
	case ConfirmTransfers:
		v.confirmTransfers(e)
	case Register:
		v.replyTo(e.CorrelationID)(v.register(e.Request))
	case Fence:
		v.replyTo(e.CorrelationID)(v.fence(e.Request))
	case Release:
		v.replyTo(e.CorrelationID)(v.release(e))
	default:
		v.handleMaintenance(e)
	}
}

// handleMaintenance dispatches the events of witnesses, claims, pruning and
// restores.
func (v *Vault) handleMaintenance(e Event) {
	switch e := e.(type) {
	case Witness:
		v.replyTo(e.CorrelationID)(v.storeWitnessed(e.Request))
	case FenceWitness:
		v.replyTo(e.CorrelationID)(v.fenceWitness(e.Request))
	case HandOver:
		v.replyTo(e.CorrelationID)(v.handOver(e.Request))
	case DropWitnessed:
		v.dropWitnessed(e)
	case ClaimBills:
		v.replyTo(e.CorrelationID)(v.claimBills(e.Request))
	case SettleClaims:
		v.settleClaims(e)
	case Prune:
		v.prune(e)
	case RecordSoloMark:
		v.replyTo(e.CorrelationID)(v.recordSoloMark(e.Request))
	case StartIncarnation:
		v.startIncarnation(e)
	case MirrorPaired:
		v.self.WitnessIncarnation = max(v.self.WitnessIncarnation, e.MirrorIncarnation)
		v.storeSelf()
	case VerifyRestore:
		v.verifyRestore(e)
		v.replyTo(e.CorrelationID)(proto.CloneOf(v.self), nil)
	}
}

// replyTo returns a function that adds the reply to an event to the current
// step.
func (v *Vault) replyTo(t CorrelationID) func(proto.Message, error) {
	return func(m proto.Message, err error) {
		r := Reply{CorrelationID: t, Err: err}
		if err == nil {
			r.Message = m
		}
		v.replies = append(v.replies, r)
	}
}

// book returns the account of a workspace and creates an empty one if needed.
func (v *Vault) book(workspace string) *book {
	b := v.books[workspace]
	if b == nil {
		b = &book{workspace: workspace, leases: map[leaseKey]*messenger.LeaseRow{}, inFlight: map[string]rattanhoist.Tokens{}}
		v.books[workspace] = b
	}
	return b
}

// bookForUpdate returns the account of a workspace and has its row written at
// the end of the step.
func (v *Vault) bookForUpdate(workspace string) *book {
	b := v.book(workspace)
	v.dirtyBooks[b] = true
	return b
}

// Incarnation returns the incarnation of the vault's disk, or 0 before
// StartIncarnation.
func (v *Vault) Incarnation() uint64 { return v.self.Incarnation }

// RestoreUnverified reports whether rights are frozen after a restore.
func (v *Vault) RestoreUnverified() bool { return v.self.Unproved }

// Book returns the account of a workspace, including its rights in flight.
func (v *Vault) Book(workspace string) *messenger.Book {
	b := v.books[workspace]
	if b == nil {
		return &messenger.Book{Workspace: workspace, Zone: v.zone}
	}
	out := b.row(v.zone)
	for _, n := range b.inFlight {
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

// Charge returns the bill of a request, or nil if there is none.
func (v *Vault) Charge(k rattanhoist.RequestKey) (*messenger.Charge, error) {
	c := &messenger.Charge{}
	ok, err := v.lookup(BucketCharges, k.String(), c)
	if !ok || err != nil {
		return nil, err
	}
	return c, nil
}

// sortedByKey yields the entries of a map in key order, so that equal vaults
// produce equal actions.
func sortedByKey[T any](m map[string]T) iter.Seq2[string, T] {
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
