package budgeter

import (
	"context"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/looplab/fsm"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Modes of a Copier. They say whether commits reach the mirror and which
// answers are allowed.
const (
	// ModeStarting: the mirror has never had a complete copy of this
	// incarnation, so a lost disk could be mistaken for a first start. No
	// answers are sent.
	ModeStarting = "starting"
	// ModePaired: every answer is stored on two disks.
	ModePaired = "paired"
	// ModeMarking: the mirror is unreachable and no other node knows yet that
	// the copy will fall behind. No answers are sent.
	ModeMarking = "marking"
	// ModeSolo: answers are stored on one disk. Rights are not transferred to
	// other zones.
	ModeSolo = "solo"
)

// Events that change the mode of a Copier.
const (
	eventCaughtUp = "caught_up"
	eventLost     = "lost"
	eventMarked   = "marked"
)

// maxLogBytes bounds the size of the retained commits. A mirror that is further
// behind gets a complete copy.
const maxLogBytes = 8 << 20

// Copier numbers the commits of a vault, retains the latest ones for the mirror
// and decides when they may be answered. It is not safe for concurrent use.
type Copier struct {
	modes *fsm.FSM
	// state is the state of the last commit.
	state *messenger.CopyState
	// log holds the latest commits without gaps, in ascending order.
	log      []*messenger.CopyRequest
	logBytes int
	// unmirrored counts commits that were answered from one disk and are not on
	// the mirror yet.
	unmirrored uint64
}

// NewCopier returns the copier of a vault whose last commit is state. Only a
// vault that was paired before may continue without its mirror. The function
// changed is called after each change of the mode.
func NewCopier(state *messenger.CopyState, pairedBefore bool, changed func(from, to string)) *Copier {
	first := ModeStarting
	if pairedBefore {
		first = ModeMarking
	}
	c := &Copier{state: proto.CloneOf(state)}
	c.modes = fsm.NewFSM(first, fsm.Events{
		{Name: eventCaughtUp, Src: []string{ModeStarting, ModeMarking, ModeSolo}, Dst: ModePaired},
		{Name: eventLost, Src: []string{ModePaired}, Dst: ModeMarking},
		{Name: eventMarked, Src: []string{ModeMarking}, Dst: ModeSolo},
	}, fsm.Callbacks{"enter_state": func(_ context.Context, e *fsm.Event) { changed(e.Src, e.Dst) }})
	return c
}

// Mode returns the current mode.
func (c *Copier) Mode() string { return c.modes.Current() }

// State returns the state of the last commit.
func (c *Copier) State() *messenger.CopyState { return c.state }

// UnmirroredCommits returns the number of commits that were answered and are
// stored on one disk only.
func (c *Copier) UnmirroredCommits() uint64 { return c.unmirrored }

// Prepare numbers the rows of the next commit. The shell writes the new state
// together with the rows and then calls Commit.
func (c *Copier) Prepare(rows []*messenger.CopyRow) *messenger.CopyRequest {
	next := proto.CloneOf(c.state)
	next.Number++
	next.Digest = chainDigest(c.state.Digest, rows)
	return &messenger.CopyRequest{State: next, PreviousDigest: c.state.Digest, Rows: rows}
}

// Commit records that a prepared commit is synced to the local disk, so that it
// may be sent to the mirror. A mirror that is ahead of the local disk would
// restore commits that a crash has undone.
func (c *Copier) Commit(r *messenger.CopyRequest) {
	c.state = r.State
	c.appendLog(r)
	if c.Mode() == ModeSolo {
		c.unmirrored++
	}
}

// appendLog retains a commit and drops the oldest ones beyond maxLogBytes.
func (c *Copier) appendLog(r *messenger.CopyRequest) {
	c.log = append(c.log, r)
	c.logBytes += proto.Size(r)
	for c.logBytes > maxLogBytes && len(c.log) > 1 {
		c.logBytes -= proto.Size(c.log[0])
		c.log = c.log[1:]
	}
}

// MissingCommits returns the commits that a mirror in the given state lacks. If
// whole is true, the mirror needs a complete copy instead.
func (c *Copier) MissingCommits(mirror *messenger.CopyState) (commits []*messenger.CopyRequest, whole bool) {
	if proto.Equal(mirror, c.state) {
		return nil, false
	}
	if mirror.GetIncarnation() != c.state.Incarnation {
		return nil, true
	}
	i := slices.IndexFunc(c.log, func(r *messenger.CopyRequest) bool { return r.State.Number == mirror.GetNumber()+1 })
	if i < 0 || c.log[i].PreviousDigest != mirror.GetDigest() {
		return nil, true
	}
	return c.log[i:], false
}

// MirrorCaughtUp records that the mirror has all commits up to a state. It
// reports whether the vault is paired now, which fails if another commit was
// made in the meantime.
func (c *Copier) MirrorCaughtUp(mirror *messenger.CopyState) bool {
	if !proto.Equal(mirror, c.state) {
		return false
	}
	c.unmirrored = 0
	c.fire(eventCaughtUp)
	return c.Mode() == ModePaired
}

// MirrorLost records that a commit may not have reached the mirror.
func (c *Copier) MirrorLost() { c.fire(eventLost) }

// SoloMarkStored records that another node knows that the copy will fall
// behind.
func (c *Copier) SoloMarkStored() {
	c.fire(eventMarked)
	if c.Mode() == ModeSolo && c.unmirrored == 0 {
		c.unmirrored = 1
	}
}

// fire applies an event if the current mode allows it.
func (c *Copier) fire(name string) {
	if c.modes.Can(name) {
		// Can has excluded every error that these events can return.
		_ = c.modes.Event(context.Background(), name)
	}
}

// FollowsCopy reports whether a commit directly follows the state of a mirror's
// copy. After a gap, or with another history, the copy would lack commits, and
// a restore would bring back rights that those commits had moved.
func FollowsCopy(have *messenger.CopyState, r *messenger.CopyRequest) bool {
	return have.GetIncarnation() == r.State.Incarnation &&
		have.GetNumber()+1 == r.State.Number &&
		have.GetDigest() == r.PreviousDigest &&
		chainDigest(r.PreviousDigest, r.Rows) == r.State.Digest
}

// chainDigest returns the digest of a commit's rows, chained to the digest of
// the previous commit.
func chainDigest(previous uint64, rows []*messenger.CopyRow) uint64 {
	d := NewRowDigest()
	d.addBytes(binary.LittleEndian.AppendUint64(nil, previous))
	for _, r := range rows {
		d.Add(r)
	}
	return d.Sum()
}

// RowDigest computes a digest of a sequence of rows; their order matters.
type RowDigest struct{ hash *xxhash.Digest }

// NewRowDigest returns the digest of an empty sequence.
func NewRowDigest() *RowDigest { return &RowDigest{hash: xxhash.New()} }

// Add appends a row to the sequence.
func (d *RowDigest) Add(r *messenger.CopyRow) {
	d.addBytes([]byte(r.Bucket))
	d.addBytes([]byte(r.Key))
	if r.Value == nil {
		d.addBytes([]byte{0})
		return
	}
	d.addBytes([]byte{1})
	d.addBytes(r.Value)
}

// addBytes hashes a byte string with its length, so that adjacent strings can't
// be confused.
func (d *RowDigest) addBytes(b []byte) {
	_, _ = d.hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(b))))
	_, _ = d.hash.Write(b)
}

// Sum returns the digest of the rows added so far.
func (d *RowDigest) Sum() uint64 { return d.hash.Sum64() }

// MergeWrites merges the writes of several steps into the rows of one commit.
// Each row appears once with its last value, sorted by bucket and key.
func MergeWrites(writes []Write) []*messenger.CopyRow {
	last := make(map[rowKey]int, len(writes))
	for i, w := range writes {
		last[rowKey{w.Bucket, w.Key}] = i
	}
	out := make([]*messenger.CopyRow, 0, len(last))
	for i, w := range writes {
		if last[rowKey{w.Bucket, w.Key}] == i {
			out = append(out, &messenger.CopyRow{Bucket: w.Bucket, Key: w.Key, Value: w.Value})
		}
	}
	slices.SortFunc(out, func(a, b *messenger.CopyRow) int {
		if n := strings.Compare(a.Bucket, b.Bucket); n != 0 {
			return n
		}
		return strings.Compare(a.Key, b.Key)
	})
	return out
}

// NeedsTwoDisks reports whether the answer to an event must wait for the
// mirror. Such an answer moves rights or charges to a place that a vault
// restored from an older copy would not know of.
func NeedsTwoDisks(e Event) bool {
	switch e.(type) {
	case RequestTransfer, ReceiveTransfers, FenceWitness, HandOver, ClaimBills:
		return true
	default:
		return false
	}
}
