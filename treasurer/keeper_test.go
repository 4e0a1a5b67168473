package treasurer_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/treasurer"
)

var errLost = status.Error(codes.Unavailable, "lost")

// lease is the fake keeper's state of one router incarnation.
type lease struct {
	sequence                   uint64
	granted, last, outstanding int64
}

// fakeKeeper keeps the balances of one workspace and can simulate faults.
type fakeKeeper struct {
	treasurer.Keeper
	mu               sync.Mutex
	unspent          int64
	leases           map[string]*lease
	bills            map[string]*messenger.Charge
	fenced           uint64
	newest           uint64
	twoDisks         bool
	unreachableZones []string
	// unavailable makes every call fail before it is handled. lostReplies is
	// the number of next replies to drop after a call was handled, by call.
	unavailable bool
	lostReplies map[string]int
	// heldElsewhere is the number of tokens held by other routers.
	heldElsewhere int64
	// vault is the vault incarnation in replies; answerDelay delays lease
	// replies.
	vault       uint64
	answerDelay time.Duration
	// recall makes the zone's routers return rights before a lease.
	recall func(incarnation uint64)
	// delay is added to every call; calls counts them by name.
	delay time.Duration
	calls map[string]int
	// batches holds the number of charges in every charge call.
	batches []int
}

func newKeeper(unspent int64) *fakeKeeper {
	return &fakeKeeper{
		unspent: unspent, leases: map[string]*lease{}, bills: map[string]*messenger.Charge{},
		lostReplies: map[string]int{}, calls: map[string]int{}, twoDisks: true,
	}
}

// begin counts a call and locks the keeper. The returned function unlocks it
// and returns the error for a lost reply.
func (k *fakeKeeper) begin(ctx context.Context, name string) (func() error, error) {
	k.mu.Lock()
	delay := k.delay
	k.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	k.mu.Lock()
	k.calls[name]++
	if k.unavailable {
		k.mu.Unlock()
		return nil, errLost
	}
	return func() error {
		defer k.mu.Unlock()
		if k.lostReplies[name] > 0 {
			k.lostReplies[name]--
			return errLost
		}
		return nil
	}, nil
}

func (k *fakeKeeper) Register(ctx context.Context, r *messenger.RegisterRequest, _ ...grpc.CallOption) (*messenger.RegisterReply, error) {
	end, err := k.begin(ctx, "register")
	if err != nil {
		return nil, err
	}
	if r.Incarnation <= k.fenced {
		_ = end()
		return nil, status.Error(codes.FailedPrecondition, "fenced")
	}
	k.newest = max(k.newest, r.Incarnation)
	return &messenger.RegisterReply{}, end()
}

func (k *fakeKeeper) lease(incarnation uint64) *lease {
	key := fmt.Sprint(incarnation)
	if k.leases[key] == nil {
		k.leases[key] = &lease{}
	}
	return k.leases[key]
}

func (k *fakeKeeper) Lease(ctx context.Context, r *messenger.LeaseRequest, _ ...grpc.CallOption) (*messenger.LeaseReply, error) {
	if k.recall != nil {
		k.recall(r.Incarnation)
	}
	end, err := k.begin(ctx, "lease")
	if err != nil {
		return nil, err
	}
	if r.Incarnation <= k.fenced {
		_ = end()
		return nil, status.Error(codes.FailedPrecondition, "fenced")
	}
	l := k.lease(r.Incarnation)
	out := &messenger.LeaseReply{UnreachableZones: k.unreachableZones}
	if r.Sequence > l.sequence {
		n := min(r.WantTokens, k.unspent)
		k.unspent -= n
		l.sequence, l.last = r.Sequence, n
		l.granted += n
		l.outstanding += n
	}
	if r.Sequence == l.sequence {
		out.GrantedTokens = l.last
	}
	out.TotalGrantedTokens, out.ZoneLeftTokens, out.VaultIncarnation = l.granted, k.unspent, k.vault
	out.HeldTokens = k.heldElsewhere
	late := k.answerDelay
	err = end()
	time.Sleep(late)
	return out, err
}

func (k *fakeKeeper) Return(ctx context.Context, r *messenger.ReturnRequest, _ ...grpc.CallOption) (*messenger.ReturnReply, error) {
	end, err := k.begin(ctx, "return")
	if err != nil {
		return nil, err
	}
	if l := k.lease(r.Incarnation); r.Sequence > l.sequence && r.Incarnation > k.fenced {
		l.sequence, l.last = r.Sequence, 0
		l.outstanding -= r.Tokens
		k.unspent += r.Tokens
	}
	return &messenger.ReturnReply{}, end()
}

func (k *fakeKeeper) Charge(ctx context.Context, r *messenger.ChargeRequest, _ ...grpc.CallOption) (*messenger.ChargeReply, error) {
	end, err := k.begin(ctx, "charge")
	if err != nil {
		return nil, err
	}
	k.batches = append(k.batches, len(r.Charges))
	out := &messenger.ChargeReply{TwoDisks: k.twoDisks}
	for _, c := range r.Charges {
		out.Results = append(out.Results, k.bill(r, c))
	}
	return out, end()
}

func (k *fakeKeeper) bill(r *messenger.ChargeRequest, c *messenger.Charge) *messenger.ChargeResult {
	if old := k.bills[c.RequestId]; old != nil {
		out := &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_BILLED, BilledTokens: old.Tokens}
		if old.Incarnation == r.Incarnation {
			out.SpentTokens = old.Tokens
		}
		return out
	}
	if r.Incarnation <= k.fenced {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_FENCED}
	}
	l := k.lease(r.Incarnation)
	if l.outstanding < c.Tokens {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_NOT_LEASED}
	}
	l.outstanding -= c.Tokens
	k.bills[c.RequestId] = &messenger.Charge{Tokens: c.Tokens, Incarnation: r.Incarnation}
	return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_BILLED, BilledTokens: c.Tokens, SpentTokens: c.Tokens}
}

func (k *fakeKeeper) Witness(ctx context.Context, r *messenger.ChargeRequest, _ ...grpc.CallOption) (*messenger.ChargeReply, error) {
	end, err := k.begin(ctx, "witness")
	if err != nil {
		return nil, err
	}
	out := &messenger.ChargeReply{}
	for _, c := range r.Charges {
		k.bills[c.RequestId] = &messenger.Charge{Tokens: c.Tokens, Incarnation: r.Incarnation}
		out.Results = append(out.Results, &messenger.ChargeResult{
			State: messenger.ChargeState_CHARGE_STATE_BILLED, BilledTokens: c.Tokens, SpentTokens: c.Tokens,
		})
	}
	return out, end()
}

// update changes the keeper's state between calls.
func (k *fakeKeeper) update(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
}

// books returns the unspent, leased and charged tokens.
func (k *fakeKeeper) books() (unspent, leased, charged int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.leases {
		leased += l.outstanding
	}
	for _, b := range k.bills {
		charged += b.Tokens
	}
	return k.unspent, leased, charged
}

func (k *fakeKeeper) count(call string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls[call]
}
