// Package claimer decides who may run a request that may not be repeated. A
// keeper grants each request to one attempt, durably; an attempt may dispatch
// once the deciding keepers have granted it: a majority of all, or the one
// that the caller's ticket names.
//
// A grant and the leave to dispatch are one step: a separate mark before the
// dispatch would cost another round and still leave the time between mark and
// dispatch in doubt. What a holder did not dispatch it releases.
package claimer

import (
	"bytes"
	"cmp"
	"container/list"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// Buckets of a keeper's store.
const (
	BucketClaims = "claims"
	BucketStore  = "claim_store"
)

const (
	keyStore = "store"
	keyOpen  = "open"
	// keyFounders lists the disks that were new together with this one.
	keyFounders = "founders"
)

// Horizon is how long a claim is remembered: a request id that comes back
// later may run again.
const Horizon = 24 * time.Hour

// MaxRows bounds a keeper's memory of claims, about 400 bytes each; beyond it
// new claims are not granted, because an old one forgotten early could let a
// request run twice.
const MaxRows = 200_000

// ClaimTime bounds an attempt to claim: grants that come later don't count. A
// keeper with a new disk waits longer than this before it copies the others'
// rows, so that no attempt can count a grant that its disk has lost.
const ClaimTime = 2 * time.Second

// Event is what happens to a core.
type Event interface{ isEvent() }

// Claim asks for a grant.
type Claim struct{ Request *messenger.ClaimRequest }

// Settle ends or releases a claim.
type Settle struct{ Request *messenger.SettleRequest }

// Open lets a keeper with a new disk decide again; rows come from the others.
// What they know it takes as lost: its own vote for it is unknown. Founders
// are the other disks of a deployment whose disks are all new.
type Open struct {
	Rows     []*messenger.ClaimRow
	Founders []string
}

// Tick forgets what is older than the horizon.
type Tick struct{}

func (Claim) isEvent()  {}
func (Settle) isEvent() {}
func (Open) isEvent()   {}
func (Tick) isEvent()   {}

// Action is what the shell must do.
type Action interface{ isAction() }

// Write changes a durable row; a nil value deletes it. All writes of a step
// must be synced before its reply leaves.
type Write struct {
	Bucket string
	Key    string
	Value  []byte
}

// Reply answers the event.
type Reply struct{ Message proto.Message }

func (Write) isAction() {}
func (Reply) isAction() {}

// Core is one keeper's memory of claims. It is not safe for concurrent use.
type Core struct {
	store string
	// Open says that the keeper may decide claims without a ticket.
	open     bool
	founders []string
	rows     map[rattanhoist.RequestKey]*list.Element
	// Order lists *messenger.ClaimRow by the time they were written.
	order *list.List
	// Restored says that rows came from the disk, in the order of their keys.
	restored bool
}

// NewCore returns a core on a disk; Restore gives it what the disk holds.
func NewCore() *Core {
	return &Core{rows: map[rattanhoist.RequestKey]*list.Element{}, order: list.New()}
}

// Restore takes one stored row, in any order.
func (c *Core) Restore(bucket, key string, value []byte) error {
	if bucket == BucketStore {
		switch key {
		case keyStore:
			c.store = string(value)
		case keyOpen:
			c.open = true
		case keyFounders:
			c.founders = strings.Fields(string(value))
		}
		return nil
	}
	row := &messenger.ClaimRow{}
	if err := proto.Unmarshal(value, row); err != nil {
		return err
	}
	c.rows[keyOf(row)] = c.order.PushBack(row)
	c.restored = true
	return nil
}

// sort puts restored rows into the order of their times.
func (c *Core) sort() {
	if !c.restored {
		return
	}
	c.restored = false
	rows := c.Rows()
	slices.SortStableFunc(rows, func(a, b *messenger.ClaimRow) int { return cmp.Compare(a.WrittenAtMs, b.WrittenAtMs) })
	c.order.Init()
	for _, r := range rows {
		c.rows[keyOf(r)] = c.order.PushBack(r)
	}
}

// Founded reports whether a disk was new together with this one, and so has
// lost nothing that it voted for.
func (c *Core) Founded(store string) bool { return slices.Contains(c.founders, store) }

// Store returns the identity of the disk, "" before Name.
func (c *Core) Store() string { return c.store }

// IsOpen reports whether the keeper may decide claims without a ticket.
func (c *Core) IsOpen() bool { return c.open }

// Len returns the number of rows.
func (c *Core) Len() int { return len(c.rows) }

// Rows returns all rows; callers must not change them.
func (c *Core) Rows() []*messenger.ClaimRow {
	out := make([]*messenger.ClaimRow, 0, len(c.rows))
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*messenger.ClaimRow))
	}
	return out
}

// Name gives a new disk its identity.
func (c *Core) Name(store string) []Action {
	c.store = store
	return []Action{Write{Bucket: BucketStore, Key: keyStore, Value: []byte(store)}}
}

// Step handles an event.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.sort()
	switch e := e.(type) {
	case Claim:
		return c.claim(now, e.Request)
	case Settle:
		return c.settle(now, e.Request)
	case Open:
		return c.openWith(now, e)
	case Tick:
		return c.tick(now)
	}
	return nil
}

func verdict(v messenger.ClaimVerdict, row *messenger.ClaimRow) Reply {
	return Reply{Message: &messenger.ClaimReply{Verdict: v, Row: row}}
}

func (c *Core) claim(now time.Time, r *messenger.ClaimRequest) []Action {
	if r.Store != c.store && (r.Store != "" || !c.open) {
		return []Action{verdict(messenger.ClaimVerdict_CLAIM_VERDICT_UNDECIDED, nil)}
	}
	old := c.row(r.Workspace, r.RequestId)
	switch {
	case old == nil:
		return c.grant(now, r)
	case old.Digest != nil && !bytes.Equal(old.Digest, r.Digest):
		return []Action{verdict(messenger.ClaimVerdict_CLAIM_VERDICT_REUSED, old)}
	case proto.Equal(old.Holder, r.Holder) && old.State == messenger.ClaimState_CLAIM_STATE_GRANTED:
		return []Action{verdict(messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED, old)}
	case old.State == messenger.ClaimState_CLAIM_STATE_RELEASED && !proto.Equal(old.Holder, r.Holder):
		return c.grant(now, r)
	}
	return []Action{verdict(messenger.ClaimVerdict_CLAIM_VERDICT_HELD, old)}
}

func (c *Core) grant(now time.Time, r *messenger.ClaimRequest) []Action {
	if len(c.rows) >= MaxRows {
		return []Action{verdict(messenger.ClaimVerdict_CLAIM_VERDICT_UNDECIDED, nil)}
	}
	row := &messenger.ClaimRow{
		Workspace: r.Workspace, RequestId: r.RequestId, Digest: r.Digest, Holder: r.Holder,
		State: messenger.ClaimState_CLAIM_STATE_GRANTED, WrittenAtMs: now.UnixMilli(), DeadlineMs: r.DeadlineMs,
	}
	return []Action{c.write(row), verdict(messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED, row)}
}

// settle changes a row only for its holder: a late message of an earlier
// attempt must not touch the claim of a later one.
func (c *Core) settle(now time.Time, r *messenger.SettleRequest) []Action {
	reply := Reply{Message: &messenger.SettleReply{}}
	old := c.row(r.Workspace, r.RequestId)
	if old == nil {
		return c.settleUnknown(now, r, reply)
	}
	if !proto.Equal(old.Holder, r.Holder) || old.State != messenger.ClaimState_CLAIM_STATE_GRANTED {
		return []Action{reply}
	}
	row := proto.Clone(old).(*messenger.ClaimRow)
	row.State, row.AnswerDigest, row.WrittenAtMs = r.State, r.AnswerDigest, now.UnixMilli()
	return []Action{c.write(row), reply}
}

// settleUnknown notes a release that overtook its claim: the claim, when it
// comes, must not be granted to an attempt that has given up.
func (c *Core) settleUnknown(now time.Time, r *messenger.SettleRequest, reply Reply) []Action {
	if len(c.rows) >= MaxRows {
		return []Action{reply}
	}
	return []Action{c.write(&messenger.ClaimRow{
		Workspace: r.Workspace, RequestId: r.RequestId, Holder: r.Holder,
		State: r.State, AnswerDigest: r.AnswerDigest, WrittenAtMs: now.UnixMilli(),
	}), reply}
}

func (c *Core) openWith(now time.Time, o Open) []Action {
	var out []Action
	for _, r := range o.Rows {
		if r.State == messenger.ClaimState_CLAIM_STATE_RELEASED || c.knowsBetter(r) {
			continue
		}
		row := proto.Clone(r).(*messenger.ClaimRow)
		row.WrittenAtMs = now.UnixMilli()
		if row.State != messenger.ClaimState_CLAIM_STATE_DONE {
			row.State = messenger.ClaimState_CLAIM_STATE_LOST
		}
		out = append(out, c.write(row))
	}
	c.open, c.founders = true, o.Founders
	return append(out,
		Write{Bucket: BucketStore, Key: keyOpen, Value: []byte{1}},
		Write{Bucket: BucketStore, Key: keyFounders, Value: []byte(strings.Join(o.Founders, " "))},
		Reply{})
}

// knowsBetter reports whether the row here says more than a copied one. A
// release does not: it came after the disk was new, from an attempt that may
// have found the request done elsewhere.
func (c *Core) knowsBetter(r *messenger.ClaimRow) bool {
	old := c.row(r.Workspace, r.RequestId)
	return old != nil && rank(old.State) >= rank(r.State) && old.State != messenger.ClaimState_CLAIM_STATE_RELEASED
}

func (c *Core) tick(now time.Time) []Action {
	var out []Action
	oldest := now.Add(-Horizon).UnixMilli()
	for e := c.order.Front(); e != nil; e = c.order.Front() {
		row := e.Value.(*messenger.ClaimRow)
		if row.WrittenAtMs > oldest {
			break
		}
		c.order.Remove(e)
		delete(c.rows, keyOf(row))
		out = append(out, Write{Bucket: BucketClaims, Key: keyOf(row).String()})
	}
	return append(out, Reply{})
}

func keyOf(r *messenger.ClaimRow) rattanhoist.RequestKey {
	return rattanhoist.NewRequestKey(r.Workspace, r.RequestId)
}

func (c *Core) row(workspace, id string) *messenger.ClaimRow {
	if e := c.rows[rattanhoist.NewRequestKey(workspace, id)]; e != nil {
		return e.Value.(*messenger.ClaimRow)
	}
	return nil
}

// put replaces a row and keeps the order of times.
func (c *Core) put(row *messenger.ClaimRow) {
	if e := c.rows[keyOf(row)]; e != nil {
		c.order.Remove(e)
	}
	at := c.order.Back()
	for at != nil && at.Value.(*messenger.ClaimRow).WrittenAtMs > row.WrittenAtMs {
		at = at.Prev()
	}
	if at == nil {
		c.rows[keyOf(row)] = c.order.PushFront(row)
		return
	}
	c.rows[keyOf(row)] = c.order.InsertAfter(row, at)
}

func (c *Core) write(row *messenger.ClaimRow) Write {
	c.put(row)
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(row)
	if err != nil {
		// Marshalling fails only on invalid UTF-8, which the wire rejects.
		panic(err)
	}
	return Write{Bucket: BucketClaims, Key: keyOf(row).String(), Value: append([]byte{}, b...)}
}
