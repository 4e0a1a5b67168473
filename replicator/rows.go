package replicator

import (
	"encoding/binary"
	"fmt"
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

// Restorer gathers the rows of a disk until Start checks them as a whole.
type Restorer struct {
	core     *Core
	state    *messenger.LogState
	snapshot *messenger.LogSnapshot
	entries  map[uint64]*messenger.LogEntry
	// Keys holds the index of every entry row, readable or not.
	keys []uint64
	rows int
	bad  []string
}

// NewRestorer returns a restorer of the core's rows.
func (c *Core) NewRestorer() *Restorer {
	return &Restorer{core: c, entries: map[uint64]*messenger.LogEntry{}}
}

// Row takes one row in.
func (r *Restorer) Row(bucket, key string, value []byte) {
	r.rows++
	payload, ok := unframe(bucket, key, value)
	switch bucket {
	case bucketState:
		r.state = &messenger.LogState{}
		ok = ok && proto.Unmarshal(payload, r.state) == nil
	case bucketSnapshot:
		r.snapshot = &messenger.LogSnapshot{}
		ok = ok && proto.Unmarshal(payload, r.snapshot) == nil
	case bucketEntries:
		r.entry(key, payload, ok)
		return
	}
	if !ok {
		r.bad = append(r.bad, bucket+"/"+key)
	}
}

func (r *Restorer) entry(key string, payload []byte, ok bool) {
	i, err := strconv.ParseUint(key, 10, 64)
	if err != nil {
		r.bad = append(r.bad, bucketEntries+"/"+key)
		return
	}
	r.keys = append(r.keys, i)
	e := &messenger.LogEntry{}
	if ok && proto.Unmarshal(payload, e) == nil && e.Index == i {
		r.entries[i] = e
	}
}

// Start checks the rows and brings the core to the state that they hold. Rows
// beyond the last index of the state row are cut: the state row is the last
// of every write, so nothing that depends on them was ever sent. Anything
// else that is missing or damaged is ErrCorrupt.
func (r *Restorer) Start(now time.Time) ([]Action, error) {
	c := r.core
	c.now = now
	if r.rows == 0 {
		c.self.Incarnation = max(c.options.Rand.Uint64(), 1)
		c.dirty = true
		c.restTimer()
		return c.take(), nil
	}
	if len(r.bad) > 0 {
		return nil, merry.Errorf("%w: unreadable rows: %v", ErrCorrupt, r.bad)
	}
	if r.state == nil {
		return nil, merry.Errorf("%w: the state row is missing", ErrCorrupt)
	}
	if err := r.load(); err != nil {
		return nil, err
	}
	c.startTimer()
	c.applyCommitted()
	return c.take(), nil
}

func (r *Restorer) load() error {
	c, s := r.core, r.state
	c.self.Incarnation, c.deployment, c.term, c.vote = s.Incarnation, s.Deployment, s.Term, memberOf(s.VotedFor)
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
	slices.Sort(r.keys)
	for _, i := range r.keys {
		if i <= c.log.base || i > s.LastIndex {
			c.dropEntries(i, i)
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
	if err := c.options.Machine.Restore(s.Data); err != nil {
		return merry.Errorf("%w: snapshot %d: %s", ErrCorrupt, s.Index, err.Error())
	}
	c.log = entryLog{snapshot: s, base: s.Index, baseTerm: s.Term}
	c.applied = s.Index
	return nil
}

func entryKey(i uint64) string { return fmt.Sprintf("%020d", i) }

func (c *Core) writeEntry(e *messenger.LogEntry) {
	c.write(bucketEntries, entryKey(e.Index), e)
	c.dirty = true
}

func (c *Core) writeSnapshot() {
	c.write(bucketSnapshot, keySnapshot, c.log.snapshot)
	c.dirty = true
}

func (c *Core) dropEntries(from, to uint64) {
	for i := from; i <= to; i++ {
		c.writes = append(c.writes, Write{Bucket: bucketEntries, Key: entryKey(i)})
	}
	c.dirty = true
}

func (c *Core) stateRow() Write {
	return frame(bucketState, keyState, &messenger.LogState{
		Deployment: c.deployment, Incarnation: c.self.Incarnation, Term: c.term, VotedFor: c.vote.proto(),
		LastIndex: c.log.last(), CommitIndex: c.commit,
	})
}

func (c *Core) write(bucket, key string, m proto.Message) {
	c.writes = append(c.writes, frame(bucket, key, m))
}

// frame puts a checksum over place and payload before a row: a row that was
// torn or that holds an older write is found out at the next start.
func frame(bucket, key string, m proto.Message) Write {
	payload, err := proto.Marshal(m)
	if err != nil {
		// Messages of this package have no required fields or bad strings.
		panic(err)
	}
	value := binary.BigEndian.AppendUint64(nil, checksum(bucket, key, payload))
	return Write{Bucket: bucket, Key: key, Value: append(value, payload...)}
}

func unframe(bucket, key string, value []byte) ([]byte, bool) {
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
