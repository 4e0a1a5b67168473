package claimer

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Key is the first 128 bits of the SHA-256 of a workspace and a request id.
// Callers choose request ids, so a cryptographic hash is needed: neither
// deliberate nor accidental collisions are feasible.
type Key [16]byte

// KeyOf returns the key of a request.
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

// rowSummary is the part of a row that the core keeps in memory. It contains
// no pointers, so the garbage collector does not scan the summaries.
type rowSummary struct {
	// writtenAtMS is the row's write time in milliseconds since the Unix
	// epoch.
	writtenAtMS int64
	state       messenger.ClaimState
	// checksum distinguishes the row from earlier rows under the same key.
	checksum uint32
}

func summarize(row *messenger.ClaimRow, value []byte) rowSummary {
	return rowSummary{writtenAtMS: row.WrittenAtMs, state: row.State, checksum: uint32(xxhash.Sum64(value))}
}

// Knows reports whether a request has a row. Events of requests without one
// need no stored value.
func (c *Core) Knows(k Key) bool {
	_, known := c.summaries[k]
	return known
}

// Matches reports whether a stored value is the one last written under a
// known key. A stale or damaged value could cause a claim to be granted that
// another attempt holds, so the core decides nothing from it.
func (c *Core) Matches(k Key, stored []byte) bool {
	_, known, ok := c.row(k, stored)
	return known && ok
}

// row decodes a stored row. It also returns whether the core knows the key,
// and whether the row matches the core's summary.
func (c *Core) row(k Key, stored []byte) (_ *messenger.ClaimRow, known, ok bool) {
	n, known := c.summaries[k]
	if !known {
		return nil, false, false
	}
	row := &messenger.ClaimRow{}
	if proto.Unmarshal(stored, row) != nil || keyOf(row) != k || summarize(row, stored) != n {
		return nil, true, false
	}
	return row, true, true
}
