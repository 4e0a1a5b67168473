package replicator

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Buckets of the durable rows.
const (
	bucketEntries  = "log_entries"
	bucketState    = "log_state"
	bucketSnapshot = "log_snapshot"
	keyState       = "state"
	keySnapshot    = "snapshot"
	checksumBytes  = 8
)

// Buckets lists the buckets to restore, in order.
var Buckets = []string{bucketState, bucketSnapshot, bucketEntries}

// Restorer collects the rows of a disk, which Start validates together.
type Restorer struct {
	core     *Core
	state    *messenger.LogState
	snapshot *messenger.LogSnapshot
	entries  map[uint64]*messenger.LogEntry
	// entryIndexes holds the index of every entry row, readable or not.
	entryIndexes []uint64
	rowCount     int
	badRows      []string
}

// NewRestorer returns a restorer for the core.
func (c *Core) NewRestorer() *Restorer {
	return &Restorer{core: c, entries: map[uint64]*messenger.LogEntry{}}
}

// AddRow adds one row.
func (r *Restorer) AddRow(bucket, key string, value []byte) {
	r.rowCount++
	payload, ok := decodeRow(bucket, key, value)
	switch bucket {
	case bucketState:
		r.state = &messenger.LogState{}
		ok = ok && proto.Unmarshal(payload, r.state) == nil
	case bucketSnapshot:
		r.snapshot = &messenger.LogSnapshot{}
		ok = ok && proto.Unmarshal(payload, r.snapshot) == nil
	case bucketEntries:
		r.addEntry(key, payload, ok)
		return
	}
	if !ok {
		r.badRows = append(r.badRows, bucket+"/"+key)
	}
}

func (r *Restorer) addEntry(key string, payload []byte, ok bool) {
	i, err := strconv.ParseUint(key, 10, 64)
	if err != nil {
		r.badRows = append(r.badRows, bucketEntries+"/"+key)
		return
	}
	r.entryIndexes = append(r.entryIndexes, i)
	e := &messenger.LogEntry{}
	if ok && proto.Unmarshal(payload, e) == nil && e.Index == i {
		r.entries[i] = e
	}
}

// Start validates the rows and restores the core's state from them. Entry rows
// beyond the last index of the state row are deleted: the state row is the
// last of every write, so nothing that depends on them was ever sent. Any
// other missing or damaged row is ErrCorrupt. Without rows, Start initializes
// an empty disk with a new incarnation.
func (r *Restorer) Start(now time.Time) ([]Action, error) {
	c := r.core
	c.now = now
	if r.rowCount == 0 {
		c.self.Incarnation = max(c.options.Rand.Uint64(), 1)
		c.stateDirty = true
		c.initializeFounding()
		c.resetElectionTimer()
		return c.takeActions(), nil
	}
	if len(r.badRows) > 0 {
		return nil, merry.Errorf("%w: unreadable rows: %v", ErrCorrupt, r.badRows)
	}
	if r.state == nil {
		return nil, merry.Errorf("%w: the state row is missing", ErrCorrupt)
	}
	if err := r.load(); err != nil {
		return nil, err
	}
	c.restoreFounding(r.state)
	c.setStartupElectionTimer()
	c.applyCommitted()
	return c.takeActions(), nil
}

func (r *Restorer) load() error {
	c, s := r.core, r.state
	c.self.Incarnation, c.deployment, c.term, c.vote = s.Incarnation, s.Deployment, s.Term, memberFromProto(s.VotedFor)
	if err := r.loadSnapshot(); err != nil {
		return err
	}
	for i := c.log.base + 1; i <= s.LastIndex; i++ {
		e := r.entries[i]
		if e == nil {
			return merry.Errorf("%w: entry %d is unreadable, and entries up to %d may have been acknowledged", ErrCorrupt, i, s.LastIndex)
		}
		if e.Term < c.log.lastTerm() || e.Term > s.Term {
			return merry.Errorf("%w: entry %d has term %d after term %d, in term %d", ErrCorrupt, i, e.Term, c.log.lastTerm(), s.Term)
		}
		c.log.entries = append(c.log.entries, e)
	}
	c.log.findVoters()
	c.commit = max(s.CommitIndex, c.log.base)
	if c.commit > c.log.last() {
		return merry.Errorf("%w: commit index %d is beyond the last entry %d", ErrCorrupt, c.commit, c.log.last())
	}
	slices.Sort(r.entryIndexes)
	for _, i := range r.entryIndexes {
		if i <= c.log.base || i > s.LastIndex {
			c.deleteEntryRows(i, i)
		}
	}
	return nil
}

func (r *Restorer) loadSnapshot() error {
	c, s := r.core, r.snapshot
	if s == nil {
		return nil
	}
	if xxhash.Sum64(s.Data) != s.Checksum || s.Term > r.state.Term {
		return merry.Errorf("%w: snapshot %d does not fit its checksum or the state row", ErrCorrupt, s.Index)
	}
	if err := c.options.Machine.Restore(s.Index, s.Data); err != nil {
		return merry.Errorf("%w: snapshot %d: %s", ErrCorrupt, s.Index, err.Error())
	}
	c.log = entryLog{snapshot: s, base: s.Index, baseTerm: s.Term}
	c.applied = s.Index
	return nil
}

func entryKey(i uint64) string { return fmt.Sprintf("%020d", i) }

func (c *Core) writeEntry(e *messenger.LogEntry) {
	c.write(bucketEntries, entryKey(e.Index), e)
	c.stateDirty = true
}

func (c *Core) writeSnapshot() {
	c.write(bucketSnapshot, keySnapshot, c.log.snapshot)
	c.stateDirty = true
}

func (c *Core) deleteEntryRows(from, to uint64) {
	for i := from; i <= to; i++ {
		c.writes = append(c.writes, Write{Bucket: bucketEntries, Key: entryKey(i)})
	}
	c.stateDirty = true
}

func (c *Core) stateRow() Write {
	return encodeRow(bucketState, keyState, &messenger.LogState{
		Deployment: c.deployment, Incarnation: c.self.Incarnation, Term: c.term, VotedFor: c.vote.proto(),
		LastIndex: c.log.last(), CommitIndex: c.commit, FoundingSeeds: c.founding.seeds, AcknowledgedTo: membersToProto(slices.Collect(maps.Keys(c.founding.acknowledgedTo))),
	})
}

func (c *Core) write(bucket, key string, m proto.Message) {
	c.writes = append(c.writes, encodeRow(bucket, key, m))
}

// encodeRow prepends a checksum of the bucket, key and payload to a row. It
// detects rows that are torn or hold an older write at the next start.
func encodeRow(bucket, key string, m proto.Message) Write {
	payload, err := proto.Marshal(m)
	if err != nil {
		// Messages of this package have no required fields and no invalid UTF-8.
		panic(err)
	}
	value := binary.BigEndian.AppendUint64(nil, checksum(bucket, key, payload))
	return Write{Bucket: bucket, Key: key, Value: append(value, payload...)}
}

func decodeRow(bucket, key string, value []byte) ([]byte, bool) {
	if len(value) < checksumBytes {
		return nil, false
	}
	payload := value[checksumBytes:]
	return payload, binary.BigEndian.Uint64(value) == checksum(bucket, key, payload)
}

func checksum(bucket, key string, payload []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(bucket + "\x00" + key + "\x00")
	_, _ = d.Write(payload)
	return d.Sum64()
}
