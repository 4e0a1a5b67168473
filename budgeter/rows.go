package budgeter

import (
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// Buckets of the vault's rows.
const (
	BucketVault     = "budget_vault"
	BucketBooks     = "budget_books"
	BucketTopUps    = "budget_top_ups"
	BucketLeases    = "budget_leases"
	BucketCharges   = "budget_charges"
	BucketTransfers = "budget_transfers"
	BucketReceived  = "budget_received"
	BucketRouters   = "budget_routers"
	BucketWitnessed = "budget_witnessed"
	BucketRefused   = "budget_refused"
	BucketMarks     = "budget_marks"
	BucketUnclaimed = "budget_unclaimed"
	BucketClaimed   = "budget_claimed"
	BucketPruned    = "budget_pruned"
)

// Buckets lists every bucket of a vault, for copies.
var Buckets = []string{
	BucketVault, BucketBooks, BucketTopUps, BucketLeases, BucketCharges, BucketTransfers,
	BucketReceived, BucketRouters, BucketWitnessed, BucketRefused, BucketMarks, BucketUnclaimed, BucketClaimed,
	BucketPruned,
}

// Resident lists the buckets that Restore must be given; the rows of the
// others are looked up when needed.
var Resident = []string{
	BucketVault, BucketBooks, BucketLeases, BucketTransfers,
	BucketRouters, BucketWitnessed, BucketRefused, BucketMarks,
}

// vaultKey is the key of the only row of BucketVault.
const vaultKey = "vault"

// Rows looks up synced rows. A missing row is nil without an error.
type Rows interface {
	Get(bucket, key string) ([]byte, error)
}

// rowKey names a row.
type rowKey struct{ bucket, key string }

// recentMost is how many rows one generation of recent rows holds.
const recentMost = 4096

// recent holds the rows that were written lately, so that a step sees rows
// which are not synced yet. Two generations bound it: a row is dropped only
// after Synced has been called since it was written.
type recent struct {
	now, before map[rowKey][]byte
}

func (r *recent) put(k rowKey, value []byte) { r.now[k] = value }

func (r *recent) get(k rowKey) ([]byte, bool) {
	if b, ok := r.now[k]; ok {
		return b, true
	}
	b, ok := r.before[k]
	return b, ok
}

func (r *recent) synced() {
	if len(r.now) >= recentMost {
		r.before, r.now = r.now, make(map[rowKey][]byte, recentMost)
	}
}

// find reads a row of a bucket that is not resident into m.
func (v *Vault) find(bucket, key string, m proto.Message) (bool, error) {
	b, ok := v.recent.get(rowKey{bucket, key})
	if !ok {
		var err error
		if b, err = v.rows.Get(bucket, key); err != nil {
			return false, err
		}
	}
	if b == nil {
		return false, nil
	}
	if err := proto.Unmarshal(b, m); err != nil {
		return false, ErrCorrupt
	}
	return true, nil
}

// put writes a row that is looked up later.
func (v *Vault) put(bucket, key string, m proto.Message) {
	b := encode(m)
	v.recent.put(rowKey{bucket, key}, b)
	v.changed[rowKey{bucket, key}] = b
}

// store writes a row of a resident bucket.
func (v *Vault) store(bucket, key string, m proto.Message) {
	v.changed[rowKey{bucket, key}] = encode(m)
}

// drop deletes a row that is looked up.
func (v *Vault) drop(bucket, key string) {
	v.recent.put(rowKey{bucket, key}, nil)
	v.remove(bucket, key)
}

func (v *Vault) remove(bucket, key string) { v.changed[rowKey{bucket, key}] = nil }

func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshalling fails only on invalid UTF-8, which the wire rejects.
		panic(err)
	}
	if b == nil {
		b = []byte{}
	}
	return b
}

func (v *Vault) storeSelf() { v.store(BucketVault, vaultKey, v.self) }

func (v *Vault) storeBook(b *book) { v.store(BucketBooks, b.workspace, b.row(v.zone)) }

func (v *Vault) storeLease(l *messenger.LeaseRow) {
	v.store(BucketLeases, leaseRowKey(l), l)
}

func leaseRowKey(l *messenger.LeaseRow) string {
	return l.Workspace + "/" + incarnationKey(l.Router, l.Incarnation)
}

// Restore takes one stored row; the shell gives it every row of Resident and
// then calls Check.
func (v *Vault) Restore(bucket, key string, value []byte) error {
	switch bucket {
	case BucketVault:
		return into(value, &messenger.VaultRow{}, func(m *messenger.VaultRow) { v.self = m })
	case BucketBooks:
		return into(value, &messenger.Book{}, v.restoreBook)
	case BucketLeases:
		return into(value, &messenger.LeaseRow{}, v.restoreLease)
	case BucketTransfers:
		return into(value, &messenger.Transfer{}, func(m *messenger.Transfer) {
			v.pending[m.TransferId] = m
			v.book(m.Workspace).move(m.ToZone, rattanhoist.Tokens(m.Tokens))
		})
	case BucketRouters:
		return into(value, &messenger.RouterRow{}, func(m *messenger.RouterRow) { v.routers[m.Router] = m })
	case BucketWitnessed:
		return into(value, &messenger.Charge{}, func(m *messenger.Charge) { v.witnessed[witnessKey(m)] = m })
	case BucketRefused:
		return into(value, &messenger.FenceWitnessRequest{}, func(m *messenger.FenceWitnessRequest) { v.refused[key] = m.Incarnation })
	case BucketMarks:
		return into(value, &messenger.SoloMark{}, func(m *messenger.SoloMark) { v.marks[m.Zone] = m })
	default:
		return nil
	}
}

func into[M proto.Message](value []byte, m M, f func(M)) error {
	if err := proto.Unmarshal(value, m); err != nil {
		return ErrCorrupt
	}
	f(m)
	return nil
}

func (v *Vault) restoreBook(m *messenger.Book) {
	b := v.book(m.Workspace)
	b.minted = rattanhoist.Tokens(m.MintedTokens)
	b.received = rattanhoist.Tokens(m.ReceivedTokens)
	b.unspent = rattanhoist.Tokens(m.UnspentTokens)
	b.leased = rattanhoist.Tokens(m.LeasedTokens)
	b.charged = rattanhoist.Tokens(m.ChargedTokens)
	b.given = rattanhoist.Tokens(m.GivenTokens)
	b.withheld = rattanhoist.Tokens(m.WithheldTokens)
	b.frozen = rattanhoist.Tokens(m.FrozenTokens) - b.withheld
}

func (v *Vault) restoreLease(m *messenger.LeaseRow) {
	v.book(m.Workspace).leases[leaseKey{m.Router, m.Incarnation}] = m
}

// Check verifies that every book balances and that its leases add up. Rows
// that were torn or mixed would otherwise grant rights that nobody paid for.
func (v *Vault) Check() error {
	for _, b := range v.books {
		var leased rattanhoist.Tokens
		for _, l := range b.leases {
			leased += outstanding(l)
			if outstanding(l) < 0 {
				return ErrCorrupt
			}
		}
		if leased != b.leased || !b.balances() {
			return ErrCorrupt
		}
	}
	return nil
}
