// Package claimer decides which attempt may run a request that must run at
// most once. Each keeper durably grants a request to one attempt. An attempt
// may dispatch once the deciding keepers have granted the request: a majority
// of all keepers, or the one named by the caller's ticket.
//
// A grant includes the permission to dispatch. A separate mark before the
// dispatch would cost another round trip, and a crash between mark and
// dispatch would still be ambiguous. An attempt that did not dispatch
// releases its claim.
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
	// BucketClaims maps a Key to its row.
	BucketClaims = "claim_rows"
	BucketStore  = "claim_store"
	// BucketLegacy maps workspace and request id to a row, as earlier
	// versions stored it; see MigrateRow.
	BucketLegacy = "claims"
)

const (
	keyStore = "store"
	keyOpen  = "open"
	// keyFounders lists the disks that were new at the same time as this one.
	keyFounders = "founders"
)

// Retention is how long a claim is kept. A request id that is used again
// later may run again.
const Retention = 24 * time.Hour

// MaxRows limits the claims that a keeper keeps in memory, at about 65 bytes
// each. At the limit new claims are refused, because evicting an old claim
// could let its request run twice.
const MaxRows = 200_000

// ClaimTimeout limits an attempt to claim; later grants do not count. A
// keeper with a new disk waits longer than this before it copies the other
// keepers' rows, so that no attempt can count a grant that was lost with the
// old disk.
const ClaimTimeout = 2 * time.Second

// Event is an input to Core.
type Event interface{ isEvent() }

// Claim requests a grant. Stored is the value last written under the
// request's key, if the core knows the key.
type Claim struct {
	Request *messenger.ClaimRequest
	Stored  []byte
}

// Settle completes or releases a claim. Stored is as in Claim.
type Settle struct {
	Request *messenger.SettleRequest
	Stored  []byte
}

// Open allows a keeper with a new disk to decide claims. Rows are copied from
// other keepers; unfinished ones are marked as lost, because this keeper's
// own vote on them is unknown. Founders are the other disks of a deployment
// whose disks are all new.
type Open struct {
	Rows     []*messenger.ClaimRow
	Founders []string
}

// Tick deletes rows older than the retention.
type Tick struct{}

func (Claim) isEvent()  {}
func (Settle) isEvent() {}
func (Open) isEvent()   {}
func (Tick) isEvent()   {}

// Action is an output of Core that the caller must carry out.
type Action interface{ isAction() }

// Write changes a durable row; a nil value deletes it. All writes of a step
// must be synced before its reply is sent.
type Write struct {
	Bucket string
	Key    string
	Value  []byte
}

// Reply is the answer to the event.
type Reply struct{ Message proto.Message }

func (Write) isAction() {}
func (Reply) isAction() {}

// Core is the state machine of one keeper's claims. It keeps a summary of
// each row in memory; the row itself is on disk only and is passed in with
// the events that need it. Core is not safe for concurrent use.
type Core struct {
	store string
	// open reports whether the keeper may decide claims without a ticket.
	open      bool
	founders  []string
	summaries map[Key]rowSummary
}

// NewCore returns an empty core. Restore loads the rows of an existing disk.
func NewCore() *Core {
	return &Core{summaries: map[Key]rowSummary{}}
}

// Restore loads one stored row. The order of rows does not matter.
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
	c.summaries[keyOf(row)] = summarize(row, value)
	return nil
}

// MigrateRow converts a row from BucketLegacy to BucketClaims.
func (c *Core) MigrateRow(name string, value []byte) ([]Action, error) {
	row := &messenger.ClaimRow{}
	if err := proto.Unmarshal(value, row); err != nil {
		return nil, err
	}
	out := []Action{Write{Bucket: BucketLegacy, Key: name}}
	if !c.hasBetterRow(row) {
		out = append(out, c.write(row))
	}
	return out, nil
}

// IsFounder reports whether the given disk was new at the same time as this
// one, and therefore has lost no votes.
func (c *Core) IsFounder(store string) bool { return slices.Contains(c.founders, store) }

// Store returns the identity of the disk, or "" before SetStore.
func (c *Core) Store() string { return c.store }

// IsOpen reports whether the keeper may decide claims without a ticket.
func (c *Core) IsOpen() bool { return c.open }

// Len returns the number of rows.
func (c *Core) Len() int { return len(c.summaries) }

// SetStore sets the identity of a new disk.
func (c *Core) SetStore(store string) []Action {
	c.store = store
	return []Action{Write{Bucket: BucketStore, Key: keyStore, Value: []byte(store)}}
}

// Step applies an event and returns the actions that it requires.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Claim:
		return c.claim(now, e)
	case Settle:
		return c.settle(now, e)
	case Open:
		return c.startDeciding(now, e)
	case Tick:
		return c.expire(now)
	}
	return nil
}

func verdictReply(v messenger.ClaimVerdict, row *messenger.ClaimRow) Reply {
	return Reply{Message: &messenger.ClaimReply{Verdict: v, Row: row}}
}

func (c *Core) claim(now time.Time, e Claim) []Action {
	r := e.Request
	if r.Store != c.store && (r.Store != "" || !c.open) {
		return []Action{verdictReply(messenger.ClaimVerdict_CLAIM_VERDICT_UNDECIDED, nil)}
	}
	old, known, ok := c.row(KeyOf(r.Workspace, r.RequestId), e.Stored)
	switch {
	case !known:
		return c.grant(now, r)
	case !ok:
		return []Action{verdictReply(messenger.ClaimVerdict_CLAIM_VERDICT_UNDECIDED, nil)}
	case old.Digest != nil && !bytes.Equal(old.Digest, r.Digest):
		return []Action{verdictReply(messenger.ClaimVerdict_CLAIM_VERDICT_REUSED, old)}
	case proto.Equal(old.Holder, r.Holder) && old.State == messenger.ClaimState_CLAIM_STATE_GRANTED:
		return []Action{verdictReply(messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED, old)}
	case old.State == messenger.ClaimState_CLAIM_STATE_RELEASED && !proto.Equal(old.Holder, r.Holder):
		return c.grant(now, r)
	}
	return []Action{verdictReply(messenger.ClaimVerdict_CLAIM_VERDICT_HELD, old)}
}

func (c *Core) grant(now time.Time, r *messenger.ClaimRequest) []Action {
	if len(c.summaries) >= MaxRows {
		return []Action{verdictReply(messenger.ClaimVerdict_CLAIM_VERDICT_UNDECIDED, nil)}
	}
	row := &messenger.ClaimRow{
		Workspace: r.Workspace, RequestId: r.RequestId, Digest: r.Digest, Holder: r.Holder,
		State: messenger.ClaimState_CLAIM_STATE_GRANTED, WrittenAtMs: now.UnixMilli(), DeadlineMs: r.DeadlineMs,
	}
	return []Action{c.write(row), verdictReply(messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED, row)}
}

// settle changes a row only for its holder, because a late message from an
// earlier attempt must not affect the claim of a later one.
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

// settleUnknown stores a settlement that arrived before its claim, so that
// the claim is not granted later to an attempt that has given up.
func (c *Core) settleUnknown(now time.Time, r *messenger.SettleRequest, reply Reply) []Action {
	if len(c.summaries) >= MaxRows {
		return []Action{reply}
	}
	return []Action{c.write(&messenger.ClaimRow{
		Workspace: r.Workspace, RequestId: r.RequestId, Holder: r.Holder,
		State: r.State, AnswerDigest: r.AnswerDigest, WrittenAtMs: now.UnixMilli(),
	}), reply}
}

func (c *Core) startDeciding(now time.Time, o Open) []Action {
	var out []Action
	for _, r := range o.Rows {
		if r.State == messenger.ClaimState_CLAIM_STATE_RELEASED || c.hasBetterRow(r) {
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

// hasBetterRow reports whether the existing row takes precedence over a
// copied one. A release never does: it was received by the new disk, from an
// attempt that may have failed because the request is done elsewhere.
func (c *Core) hasBetterRow(r *messenger.ClaimRow) bool {
	old, known := c.summaries[keyOf(r)]
	return known && rankState(old.state) >= rankState(r.State) && old.state != messenger.ClaimState_CLAIM_STATE_RELEASED
}

func (c *Core) expire(now time.Time) []Action {
	var old []Key
	oldest := now.Add(-Retention).UnixMilli()
	for k, n := range c.summaries {
		if n.writtenAtMS <= oldest {
			old = append(old, k)
		}
	}
	slices.SortFunc(old, func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	var out []Action
	for _, k := range old {
		delete(c.summaries, k)
		out = append(out, Write{Bucket: BucketClaims, Key: k.Row()})
	}
	return append(out, Reply{})
}

func (c *Core) write(row *messenger.ClaimRow) Write {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(row)
	if err != nil {
		// Marshalling fails only on invalid UTF-8, which protobuf rejects
		// when the request is decoded.
		panic(err)
	}
	k := keyOf(row)
	c.summaries[k] = summarize(row, b)
	return Write{Bucket: BucketClaims, Key: k.Row(), Value: append([]byte{}, b...)}
}
