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
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Buckets of a keeper's store.
const (
	// BucketClaims holds the rows by their Key.
	BucketClaims = "claim_rows"
	BucketStore  = "claim_store"
	// BucketNamed held the rows by workspace and request id; see Move.
	BucketNamed = "claims"
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

// MaxRows bounds a keeper's memory of claims, about 65 bytes each; beyond it
// new claims are not granted, because an old one forgotten early could let a
// request run twice.
const MaxRows = 200_000

// ClaimTime bounds an attempt to claim: grants that come later don't count. A
// keeper with a new disk waits longer than this before it copies the others'
// rows, so that no attempt can count a grant that its disk has lost.
const ClaimTime = 2 * time.Second

// Event is what happens to a core.
type Event interface{ isEvent() }

// Claim asks for a grant. Stored is what was last written under the request's
// key, where the core knows the key.
type Claim struct {
	Request *messenger.ClaimRequest
	Stored  []byte
}

// Settle ends or releases a claim. Stored is as in Claim.
type Settle struct {
	Request *messenger.SettleRequest
	Stored  []byte
}

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

// Core is one keeper's memory of claims: of each row a note, while the row
// itself is on disk alone and comes back with the events that need it. It is
// not safe for concurrent use.
type Core struct {
	store string
	// Open says that the keeper may decide claims without a ticket.
	open     bool
	founders []string
	notes    map[Key]note
}

// NewCore returns a core on a disk; Restore gives it what the disk holds.
func NewCore() *Core {
	return &Core{notes: map[Key]note{}}
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
	c.notes[keyOf(row)] = noteOf(row, value)
	return nil
}

// Move takes a row that was stored by its name, and has it stored by its key.
func (c *Core) Move(name string, value []byte) ([]Action, error) {
	row := &messenger.ClaimRow{}
	if err := proto.Unmarshal(value, row); err != nil {
		return nil, err
	}
	out := []Action{Write{Bucket: BucketNamed, Key: name}}
	if !c.knowsBetter(row) {
		out = append(out, c.write(row))
	}
	return out, nil
}

// Founded reports whether a disk was new together with this one, and so has
// lost nothing that it voted for.
func (c *Core) Founded(store string) bool { return slices.Contains(c.founders, store) }

// Store returns the identity of the disk, "" before Name.
func (c *Core) Store() string { return c.store }

// IsOpen reports whether the keeper may decide claims without a ticket.
func (c *Core) IsOpen() bool { return c.open }

// Len returns the number of rows.
func (c *Core) Len() int { return len(c.notes) }

// Name gives a new disk its identity.
func (c *Core) Name(store string) []Action {
	c.store = store
	return []Action{Write{Bucket: BucketStore, Key: keyStore, Value: []byte(store)}}
}

// Step handles an event.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Claim:
		return c.claim(now, e)
	case Settle:
		return c.settle(now, e)
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

func (c *Core) claim(now time.Time, e Claim) []Action {
	r := e.Request
	if r.Store != c.store && (r.Store != "" || !c.open) {
		return []Action{verdict(messenger.ClaimVerdict_CLAIM_VERDICT_UNDECIDED, nil)}
	}
	old, known, ok := c.row(KeyOf(r.Workspace, r.RequestId), e.Stored)
	switch {
	case !known:
		return c.grant(now, r)
	case !ok:
		return []Action{verdict(messenger.ClaimVerdict_CLAIM_VERDICT_UNDECIDED, nil)}
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
	if len(c.notes) >= MaxRows {
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
func (c *Core) settle(now time.Time, e Settle) []Action {
	r, reply := e.Request, Reply{Message: &messenger.SettleReply{}}
	row, known, ok := c.row(KeyOf(r.Workspace, r.RequestId), e.Stored)
	if !known {
		return c.settleUnknown(now, r, reply)
	}
	if !ok || !proto.Equal(row.Holder, r.Holder) || row.State != messenger.ClaimState_CLAIM_STATE_GRANTED {
		return []Action{reply}
	}
	row.State, row.AnswerDigest, row.WrittenAtMs = r.State, r.AnswerDigest, now.UnixMilli()
	return []Action{c.write(row), reply}
}

// settleUnknown notes a release that overtook its claim: the claim, when it
// comes, must not be granted to an attempt that has given up.
func (c *Core) settleUnknown(now time.Time, r *messenger.SettleRequest, reply Reply) []Action {
	if len(c.notes) >= MaxRows {
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
	old, known := c.notes[keyOf(r)]
	return known && rank(old.state) >= rank(r.State) && old.state != messenger.ClaimState_CLAIM_STATE_RELEASED
}

func (c *Core) tick(now time.Time) []Action {
	var old []Key
	oldest := now.Add(-Horizon).UnixMilli()
	for k, n := range c.notes {
		if n.writtenAtMS <= oldest {
			old = append(old, k)
		}
	}
	slices.SortFunc(old, func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	var out []Action
	for _, k := range old {
		delete(c.notes, k)
		out = append(out, Write{Bucket: BucketClaims, Key: k.Row()})
	}
	return append(out, Reply{})
}

func (c *Core) write(row *messenger.ClaimRow) Write {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(row)
	if err != nil {
		// Marshalling fails only on invalid UTF-8, which the wire rejects.
		panic(err)
	}
	k := keyOf(row)
	c.notes[k] = noteOf(row, b)
	return Write{Bucket: BucketClaims, Key: k.Row(), Value: append([]byte{}, b...)}
}
