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

// Modes of a copier: whether commits reach the mirror, and so what may be
// answered.
const (
	// ModeStarting: the mirror has never had the whole of this incarnation, so
	// a lost disk could pass for a first start. Nothing is answered.
	ModeStarting = "starting"
	// ModePaired: every answer is on two disks.
	ModePaired = "paired"
	// ModeMarking: the mirror is lost and nobody else knows yet that the copy
	// will fall behind. Nothing is answered.
	ModeMarking = "marking"
	// ModeSolo: answers are on one disk; rights are not given to other zones.
	ModeSolo = "solo"
)

// Events of a copier's life.
const (
	eventCaughtUp = "caught_up"
	eventLost     = "lost"
	eventMarked   = "marked"
)

// logMost bounds the remembered commits by the bytes of their rows; a mirror
// that is further behind gets a whole copy.
const logMost = 8 << 20

// Copier numbers the commits of a vault, remembers the latest ones and
// decides when they may be answered. It is not safe for concurrent use.
type Copier struct {
	life *fsm.FSM
	// State is that of the last commit.
	state *messenger.CopyState
	// Log holds the latest commits without a gap, the last one at the end.
	log      []*messenger.CopyRequest
	logBytes int
	// AtRisk counts commits that were answered from one disk and are not yet
	// on the mirror.
	atRisk uint64
}

// NewCopier returns the copier of a vault whose last commit is state. Only a
// vault that was paired before may go on without its mirror.
func NewCopier(state *messenger.CopyState, pairedBefore bool, changed func(from, to string)) *Copier {
	first := ModeStarting
	if pairedBefore {
		first = ModeMarking
	}
	c := &Copier{state: proto.CloneOf(state)}
	c.life = fsm.NewFSM(first, fsm.Events{
		{Name: eventCaughtUp, Src: []string{ModeStarting, ModeMarking, ModeSolo}, Dst: ModePaired},
		{Name: eventLost, Src: []string{ModePaired}, Dst: ModeMarking},
		{Name: eventMarked, Src: []string{ModeMarking}, Dst: ModeSolo},
	}, fsm.Callbacks{"enter_state": func(_ context.Context, e *fsm.Event) { changed(e.Src, e.Dst) }})
	return c
}

// Mode returns the current mode.
func (c *Copier) Mode() string { return c.life.Current() }

// State returns the state of the last commit.
func (c *Copier) State() *messenger.CopyState { return c.state }

// AtRisk returns how many commits are answered and on one disk only.
func (c *Copier) AtRisk() uint64 { return c.atRisk }

// Prepare numbers the rows of the next commit; the shell writes the new state
// with them and then calls Commit.
func (c *Copier) Prepare(rows []*messenger.CopyRow) *messenger.CopyRequest {
	next := proto.CloneOf(c.state)
	next.Number++
	next.Digest = chain(c.state.Digest, rows)
	return &messenger.CopyRequest{State: next, PreviousDigest: c.state.Digest, Rows: rows}
}

// Commit notes that a prepared commit is synced here, so that the mirror may
// have it: a mirror that is ahead of this disk would restore what a crash took
// back.
func (c *Copier) Commit(r *messenger.CopyRequest) {
	c.state = r.State
	c.remember(r)
	if c.Mode() == ModeSolo {
		c.atRisk++
	}
}

func (c *Copier) remember(r *messenger.CopyRequest) {
	c.log = append(c.log, r)
	c.logBytes += proto.Size(r)
	for c.logBytes > logMost && len(c.log) > 1 {
		c.logBytes -= proto.Size(c.log[0])
		c.log = c.log[1:]
	}
}

// Missing returns the commits that a mirror in the given state lacks; whole
// means that only a whole copy helps.
func (c *Copier) Missing(mirror *messenger.CopyState) (commits []*messenger.CopyRequest, whole bool) {
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

// CaughtUp notes that the mirror has everything up to state, and reports
// whether the vault is paired: a commit may have come in between.
func (c *Copier) CaughtUp(mirror *messenger.CopyState) bool {
	if !proto.Equal(mirror, c.state) {
		return false
	}
	c.atRisk = 0
	c.event(eventCaughtUp)
	return c.Mode() == ModePaired
}

// Lost notes that a commit may not have reached the mirror.
func (c *Copier) Lost() { c.event(eventLost) }

// Marked notes that another node knows that the copy falls behind.
func (c *Copier) Marked() {
	c.event(eventMarked)
	if c.Mode() == ModeSolo && c.atRisk == 0 {
		c.atRisk = 1
	}
}

func (c *Copier) event(name string) {
	if c.life.Can(name) {
		// Can has ruled out every error that these events can give.
		_ = c.life.Event(context.Background(), name)
	}
}

// TakeCopy reports whether a commit follows the copy that a mirror has. After a
// gap, or on another history, the copy would lack commits, and a restore would
// bring back rights that they had moved.
func TakeCopy(have *messenger.CopyState, r *messenger.CopyRequest) bool {
	return have.GetIncarnation() == r.State.Incarnation &&
		have.GetNumber()+1 == r.State.Number &&
		have.GetDigest() == r.PreviousDigest &&
		chain(r.PreviousDigest, r.Rows) == r.State.Digest
}

func chain(previous uint64, rows []*messenger.CopyRow) uint64 {
	d := NewRowDigest()
	d.add(binary.LittleEndian.AppendUint64(nil, previous))
	for _, r := range rows {
		d.Add(r)
	}
	return d.Sum()
}

// RowDigest sums rows in order.
type RowDigest struct{ hash *xxhash.Digest }

// NewRowDigest returns the digest of no rows.
func NewRowDigest() *RowDigest { return &RowDigest{hash: xxhash.New()} }

// Add adds a row.
func (d *RowDigest) Add(r *messenger.CopyRow) {
	d.add([]byte(r.Bucket))
	d.add([]byte(r.Key))
	if r.Value == nil {
		d.add([]byte{0})
		return
	}
	d.add([]byte{1})
	d.add(r.Value)
}

func (d *RowDigest) add(b []byte) {
	_, _ = d.hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(b))))
	_, _ = d.hash.Write(b)
}

// Sum returns the digest so far.
func (d *RowDigest) Sum() uint64 { return d.hash.Sum64() }

// CopyRows turns the writes of steps into the rows of one commit, each row
// once with its last value, in order.
func CopyRows(writes []Write) []*messenger.CopyRow {
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

// NeedsTwoDisks reports whether the answer to an event moves rights to where
// a restored copy would not know of it; it must wait for the mirror.
func NeedsTwoDisks(e Event) bool {
	switch e.(type) {
	case Ask, Receive, FenceWitness, HandOver, ClaimBills:
		return true
	default:
		return false
	}
}
