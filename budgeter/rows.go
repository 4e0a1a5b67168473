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

// ResidentBuckets lists the buckets whose rows are kept in memory; Restore must
// get all of them. Rows of the other buckets are read from disk when needed.
var ResidentBuckets = []string{
	BucketVault, BucketBooks, BucketLeases, BucketTransfers,
	BucketRouters, BucketWitnessed, BucketRefused, BucketMarks,
}

// vaultKey is the key of the only row of BucketVault.
const vaultKey = "vault"

// Rows reads synced rows. For a missing row it returns nil without an error.
type Rows interface {
	Get(bucket, key string) ([]byte, error)
}

// rowKey identifies a row.
type rowKey struct{ bucket, key string }

// maxRecentRows is the number of rows at which a generation of recent rows is
// replaced.
const maxRecentRows = 4096

// recentRows holds recently written rows, so that a step sees rows that are not
// synced yet. Its size is bounded by two generations. A row is dropped only
// after Synced was called at least once since it was written.
type recentRows struct {
	current, previous map[rowKey][]byte
}

func (r *recentRows) put(k rowKey, value []byte) { r.current[k] = value }

// get returns a row and whether it was written recently; the value of a deleted
// row is nil.
func (r *recentRows) get(k rowKey) ([]byte, bool) {
	if b, ok := r.current[k]; ok {
		return b, true
	}
	b, ok := r.previous[k]
	return b, ok
}

// synced starts a new generation if the current one is full.
func (r *recentRows) synced() {
	if len(r.current) >= maxRecentRows {
		r.previous, r.current = r.current, make(map[rowKey][]byte, maxRecentRows)
	}
}

// lookup reads a row of a bucket that is not resident into m and reports
// whether the row exists.
func (v *Vault) lookup(bucket, key string, m proto.Message) (bool, error) {
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

// storeOnDisk writes a row of a bucket that is not resident.
func (v *Vault) storeOnDisk(bucket, key string, m proto.Message) {
	b := encode(m)
	v.recent.put(rowKey{bucket, key}, b)
	v.changedRows[rowKey{bucket, key}] = b
}

// storeResident writes a row of a resident bucket.
func (v *Vault) storeResident(bucket, key string, m proto.Message) {
	v.changedRows[rowKey{bucket, key}] = encode(m)
}

// deleteOnDisk deletes a row of a bucket that is not resident.
func (v *Vault) deleteOnDisk(bucket, key string) {
	v.recent.put(rowKey{bucket, key}, nil)
	v.deleteResident(bucket, key)
}

// deleteResident deletes a row of a resident bucket.
func (v *Vault) deleteResident(bucket, key string) { v.changedRows[rowKey{bucket, key}] = nil }

// encode returns the deterministic encoding of a message, never nil.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshalling fails only on invalid UTF-8, which is rejected when
		// messages are received.
		panic(err)
	}
	if b == nil {
		b = []byte{}
	}
	return b
}

func (v *Vault) storeSelf() { v.storeResident(BucketVault, vaultKey, v.self) }

func (v *Vault) storeBook(b *book) { v.storeResident(BucketBooks, b.workspace, b.row(v.zone)) }

func (v *Vault) storeLease(l *messenger.LeaseRow) {
	v.storeResident(BucketLeases, leaseRowKey(l), l)
}

// leaseRowKey returns the key of a lease in BucketLeases.
func leaseRowKey(l *messenger.LeaseRow) string {
	return l.Workspace + "/" + incarnationKey(l.Router, l.Incarnation)
}

// Restore loads one stored row. The shell passes it every row of
// ResidentBuckets and then calls Check.
func (v *Vault) Restore(bucket, key string, value []byte) error {
	switch bucket {
	case BucketVault:
		return decodeRow(value, &messenger.VaultRow{}, func(m *messenger.VaultRow) { v.self = m })
	case BucketBooks:
		return decodeRow(value, &messenger.Book{}, v.restoreBook)
	case BucketLeases:
		return decodeRow(value, &messenger.LeaseRow{}, v.restoreLease)
	case BucketTransfers:
		return decodeRow(value, &messenger.Transfer{}, func(m *messenger.Transfer) {
			v.pending[m.TransferId] = m
			v.book(m.Workspace).adjustInFlight(m.ToZone, rattanhoist.Tokens(m.Tokens))
		})
	case BucketRouters:
		return decodeRow(value, &messenger.RouterRow{}, func(m *messenger.RouterRow) { v.routers[m.Router] = m })
	case BucketWitnessed:
		return decodeRow(value, &messenger.Charge{}, func(m *messenger.Charge) { v.witnessed[witnessKey(m)] = m })
	case BucketRefused:
		return decodeRow(value, &messenger.FenceWitnessRequest{}, func(m *messenger.FenceWitnessRequest) { v.witnessFences[key] = m.Incarnation })
	case BucketMarks:
		return decodeRow(value, &messenger.SoloMark{}, func(m *messenger.SoloMark) { v.marks[m.Zone] = m })
	default:
		return nil
	}
}

// decodeRow decodes a row into m and passes it to f.
func decodeRow[M proto.Message](value []byte, m M, f func(M)) error {
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

// Check verifies that every book balances and that its leases add up. Torn or
// mixed rows could otherwise grant rights that nobody has paid for.
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
