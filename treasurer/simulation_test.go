package treasurer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/treasurer"
)

// simulation connects an account and an outbox to a simple model of the
// keeper. Messages may be lost, repeated, delayed and reordered.
type simulation struct {
	now     time.Time
	policy  treasurer.Policy
	account *treasurer.Account
	outbox  *treasurer.Outbox
	// calls and replies wait for delivery.
	calls []any
	// lateCalls holds calls that timed out and may still be delivered.
	lateCalls []any
	replies   []func()
	// unspent, lease and bills are the state of the model keeper.
	unspent int64
	lease   lease
	bills   map[string]int64
	// completed holds the requests whose answer was completed.
	completed map[string]bool
	reserved  map[string]rattanhoist.Tokens
	next      int
}

const initialTokens = 5000

func newSimulation() *simulation {
	w := &simulation{
		now: time.Unix(1_000_000, 0), policy: treasurer.DefaultPolicy(), unspent: initialTokens,
		bills: map[string]int64{}, completed: map[string]bool{}, reserved: map[string]rattanhoist.Tokens{},
	}
	w.account = treasurer.NewAccount("w", &w.policy, w.now, treasurer.Totals{})
	w.outbox = treasurer.NewOutbox(&w.policy)
	return w
}

func (w *simulation) step(e treasurer.Event) {
	for _, a := range w.account.Step(w.now, e) {
		switch a.(type) {
		case treasurer.SendLease, treasurer.SendReturn:
			w.calls = append(w.calls, a)
		}
	}
}

func (w *simulation) send(sends []treasurer.Send) {
	for _, s := range sends {
		w.calls = append(w.calls, s)
	}
}

// request reserves tokens for a new request, or leases rights if the slice
// holds too few.
func (w *simulation) request(n int64) {
	if !w.account.Slice().Reserve(rattanhoist.Tokens(n)) {
		w.step(treasurer.Need{Tokens: rattanhoist.Tokens(n), Waiting: rattanhoist.Tokens(n), Deadline: w.now})
		return
	}
	w.next++
	w.reserved[fmt.Sprint(w.next)] = rattanhoist.Tokens(n)
}

// finish charges a running request for part of its reservation.
func (w *simulation) finish(id string, percent int64) {
	cost := int64(w.reserved[id]) * percent / 100
	sends, ok := w.outbox.Add(w.now, &messenger.Charge{Workspace: "w", RequestId: id, Tokens: cost})
	if !ok {
		return
	}
	w.account.Slice().Settle(w.reserved[id]-rattanhoist.Tokens(cost), 0)
	w.reserved[id] = rattanhoist.Tokens(cost)
	w.send(sends)
}

// handleCall makes the keeper handle a call and queues its reply.
func (w *simulation) handleCall(c any) {
	switch c := c.(type) {
	case treasurer.SendLease:
		if c.Sequence > w.lease.sequence {
			n := min(int64(c.Want), w.unspent)
			w.unspent -= n
			w.lease.granted += n
			w.lease.outstanding += n
			w.lease.sequence, w.lease.last = c.Sequence, n
		}
		r := &messenger.LeaseReply{TotalGrantedTokens: w.lease.granted, ZoneLeftTokens: w.unspent}
		if c.Sequence == w.lease.sequence {
			r.GrantedTokens = w.lease.last
		}
		w.replies = append(w.replies, func() { w.step(treasurer.Leased{Sequence: c.Sequence, Reply: r}) })
	case treasurer.SendReturn:
		if c.Sequence > w.lease.sequence {
			w.lease.sequence, w.lease.last = c.Sequence, 0
			w.lease.outstanding -= int64(c.Tokens)
			w.unspent += int64(c.Tokens)
		}
		w.replies = append(w.replies, func() { w.step(treasurer.Returned{Sequence: c.Sequence}) })
	case treasurer.Send:
		w.handleCharges(c)
	}
}

func (w *simulation) handleCharges(s treasurer.Send) {
	r := &messenger.ChargeReply{TwoDisks: s.Target == treasurer.OwnKeeper}
	for _, c := range s.Charges() {
		out := &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_BILLED, BilledTokens: c.Tokens, SpentTokens: c.Tokens}
		if _, known := w.bills[c.RequestId]; !known && s.Target == treasurer.OwnKeeper {
			if w.lease.outstanding < c.Tokens {
				out.State = messenger.ChargeState_CHARGE_STATE_NOT_LEASED
			} else {
				w.lease.outstanding -= c.Tokens
				w.bills[c.RequestId] = c.Tokens
			}
		}
		r.Results = append(r.Results, out)
	}
	w.replies = append(w.replies, func() { w.answered(s, r) })
}

func (w *simulation) answered(s treasurer.Send, r *messenger.ChargeReply) {
	known, more := w.outbox.ApplyReply(w.now, s, r)
	for _, o := range known {
		id := o.Key.RequestID()
		if o.State != messenger.ChargeState_CHARGE_STATE_BILLED {
			panic("charge refused: " + o.State.String())
		}
		if !w.completed[id] {
			w.completed[id] = true
			w.account.Slice().Settle(w.reserved[id], o.Spent)
			delete(w.reserved, id)
		}
	}
	w.send(more)
}

// callFailed ends a call without an answer. The keeper has handled it only if
// it was delivered before.
func (w *simulation) callFailed(c any) {
	switch c := c.(type) {
	case treasurer.SendLease:
		w.step(treasurer.CallFailed{Sequence: c.Sequence})
	case treasurer.SendReturn:
		w.step(treasurer.CallFailed{Sequence: c.Sequence})
	case treasurer.Send:
		w.answered(c, nil)
	}
}

func (w *simulation) tick(d time.Duration) {
	w.now = w.now.Add(d)
	w.step(treasurer.Tick{})
	w.send(w.outbox.Tick(w.now))
}

func removeAt[T any](from *[]T, i int) T {
	x := (*from)[i]
	*from = append((*from)[:i:i], (*from)[i+1:]...)
	return x
}

// deliverAll delivers every message until nothing is pending.
func (w *simulation) deliverAll() {
	for range 400 {
		for len(w.calls) > 0 {
			w.handleCall(removeAt(&w.calls, 0))
		}
		for len(w.replies) > 0 {
			removeAt(&w.replies, 0)()
		}
		w.tick(500 * time.Millisecond)
	}
}

// After every step the router may not spend more than its keeper has leased
// to it. After all messages are delivered, the router's and the keeper's
// balances must agree.
func TestRightsAreConservedUnderMessageFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		some := func(n int) bool { return n > 0 }
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) { w.request(rapid.Int64Range(1, 900).Draw(t, "tokens")) },
			"finish": func(t *rapid.T) {
				for id := range w.reserved {
					if id == fmt.Sprint(rapid.IntRange(1, w.next).Draw(t, "id")) && !w.outbox.Has(rattanhoist.NewRequestKey("w", id)) {
						w.finish(id, rapid.Int64Range(0, 100).Draw(t, "percent"))
						return
					}
				}
			},
			"tick": func(t *rapid.T) { w.tick(time.Duration(rapid.Int64Range(1, 40_000).Draw(t, "ms")) * time.Millisecond) },
			"recall": func(t *rapid.T) {
				w.step(treasurer.Recall{Tokens: rattanhoist.Tokens(rapid.Int64Range(1, 3000).Draw(t, "tokens"))})
			},
			"deliver": func(t *rapid.T) {
				if some(len(w.calls)) {
					w.handleCall(removeAt(&w.calls, rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")))
				}
			},
			"time_out": func(t *rapid.T) {
				if some(len(w.calls)) {
					c := w.calls[rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")]
					switch rapid.SampledFrom([]string{"lost", "answer lost", "late"}).Draw(t, "fate") {
					case "answer lost":
						w.handleCallLoseReply(c)
					case "late":
						w.lateCalls = append(w.lateCalls, c)
					}
					w.drop(c)
					w.callFailed(c)
				}
			},
			"late": func(t *rapid.T) {
				if some(len(w.lateCalls)) {
					w.handleCallLoseReply(removeAt(&w.lateCalls, rapid.IntRange(0, len(w.lateCalls)-1).Draw(t, "call")))
				}
			},
			"answer": func(t *rapid.T) {
				if some(len(w.replies)) {
					removeAt(&w.replies, rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply"))()
				}
			},
			"": func(t *rapid.T) {
				s := w.account.Slice()
				if held := s.Granted() - s.Withdrawn() - s.Spent(); int64(held) > w.lease.outstanding+w.billedUnsettled() {
					t.Fatalf("the router may spend %d, the keeper has leased %d", held, w.lease.outstanding)
				}
			},
		})
		w.deliverAll()
		w.checkBalances(t)
	})
}

func (w *simulation) handleCallLoseReply(c any) {
	w.handleCall(c)
	w.replies = w.replies[:len(w.replies)-1]
}

// drop removes a call that timed out, so that it is not delivered.
func (w *simulation) drop(c any) {
	for i, x := range w.calls {
		if sameCall(x, c) {
			removeAt(&w.calls, i)
			return
		}
	}
}

func sameCall(a, b any) bool {
	x, ok := a.(treasurer.Send)
	y, also := b.(treasurer.Send)
	if ok || also {
		return ok && also && x.Target == y.Target && x.Charges()[0] == y.Charges()[0]
	}
	return a == b
}

// billedUnsettled returns the tokens that the keeper has billed and the
// router still counts as held.
func (w *simulation) billedUnsettled() int64 {
	var n int64
	for id, tokens := range w.bills {
		if !w.completed[id] {
			n += tokens
		}
	}
	return n
}

func (w *simulation) checkBalances(t *rapid.T) {
	s := w.account.Slice()
	var charged int64
	for _, n := range w.bills {
		charged += n
	}
	if w.unspent+w.lease.outstanding+charged != initialTokens {
		t.Fatalf("unspent %d + leased %d + charged %d is not %d", w.unspent, w.lease.outstanding, charged, initialTokens)
	}
	if held := int64(s.Available() + s.Reserved()); held != w.lease.outstanding {
		t.Fatalf("the router holds %d, the keeper has leased %d", held, w.lease.outstanding)
	}
	for id := range w.completed {
		if _, ok := w.bills[id]; !ok {
			t.Fatalf("request %s was answered and not billed", id)
		}
	}
}
