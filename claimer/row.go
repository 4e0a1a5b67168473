package claimer

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Key is 128 bits of the SHA-256 of a workspace and a request id. Callers
// choose ids: two requests with one key can be neither found nor met.
type Key [16]byte

// KeyOf returns a request's key.
func KeyOf(workspace, requestID string) Key {
	b := binary.AppendUvarint(nil, uint64(len(workspace)))
	b = append(b, workspace...)
	b = append(b, requestID...)
	sum := sha256.Sum256(b)
	return Key(sum[:])
}

func keyOf(r *messenger.ClaimRow) Key { return KeyOf(r.Workspace, r.RequestId) }

// Row returns the key of the request's row in BucketClaims.
func (k Key) Row() string { return string(k[:]) }

// note is what the core remembers of a row. It holds no pointers, so that the
// collector passes over all of them.
type note struct {
	// WrittenAtMS is the row's, in milliseconds since the Unix epoch.
	writtenAtMS int64
	state       messenger.ClaimState
	// Check tells the row from every other that the key has had.
	check uint32
}

func noteOf(row *messenger.ClaimRow, value []byte) note {
	return note{writtenAtMS: row.WrittenAtMs, state: row.State, check: uint32(xxhash.Sum64(value))}
}

// Knows reports whether a request has a row. An event of one that has none
// needs nothing stored.
func (c *Core) Knows(k Key) bool {
	_, known := c.notes[k]
	return known
}

// Matches reports whether a stored value is what was last written under a key
// that the core knows. One that is not, stale or damaged, would let a claim be
// granted that another attempt holds: the core decides nothing by it.
func (c *Core) Matches(k Key, stored []byte) bool {
	_, known, ok := c.row(k, stored)
	return known && ok
}

// row returns the stored row, whether the core knows the key, and whether the
// row is the one that it knows.
func (c *Core) row(k Key, stored []byte) (_ *messenger.ClaimRow, known, ok bool) {
	n, known := c.notes[k]
	if !known {
		return nil, false, false
	}
	row := &messenger.ClaimRow{}
	if proto.Unmarshal(stored, row) != nil || keyOf(row) != k || noteOf(row, stored) != n {
		return nil, true, false
	}
	return row, true, true
}
