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

// lease is what the fake keeper knows of one router's incarnation.
type lease struct {
	sequence           uint64
	granted, last, out int64
}

// fakeKeeper is a flat book for one workspace, with faults.
type fakeKeeper struct {
	treasurer.Keeper
	mu       sync.Mutex
	unspent  int64
	leases   map[string]*lease
	bills    map[string]*messenger.Charge
	fenced   uint64
	newest   uint64
	twoDisks bool
	silent   []string
	// Away makes every call fail before it is carried out; Lose drops the
	// next answers of a call after it was.
	away bool
	lose map[string]int
	// Held is what other routers hold.
	held int64
	// Vault is the incarnation in answers; AnswerDelay holds leases' answers
	// back.
	vault       uint64
	answerDelay time.Duration
	// Recall has the routers of the zone return rights before a lease.
	recall func(incarnation uint64)
	// Delay is added to every call, Calls counts them.
	delay time.Duration
	calls map[string]int
	// Batches holds the size of every charge call.
	batches []int
}

func newKeeper(unspent int64) *fakeKeeper {
	return &fakeKeeper{
		unspent: unspent, leases: map[string]*lease{}, bills: map[string]*messenger.Charge{},
		lose: map[string]int{}, calls: map[string]int{}, twoDisks: true,
	}
}

// begin books a call; the returned function says what becomes of its answer.
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
	if k.away {
		k.mu.Unlock()
		return nil, errLost
	}
	return func() error {
		defer k.mu.Unlock()
		if k.lose[name] > 0 {
			k.lose[name]--
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
	out := &messenger.LeaseReply{UnreachableZones: k.silent}
	if r.Sequence > l.sequence {
		n := min(r.WantTokens, k.unspent)
		k.unspent -= n
		l.sequence, l.last = r.Sequence, n
		l.granted += n
		l.out += n
	}
	if r.Sequence == l.sequence {
		out.GrantedTokens = l.last
	}
	out.TotalGrantedTokens, out.ZoneLeftTokens, out.VaultIncarnation = l.granted, k.unspent, k.vault
	out.HeldTokens = k.held
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
		l.out -= r.Tokens
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
	if l.out < c.Tokens {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_NOT_LEASED}
	}
	l.out -= c.Tokens
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

// set changes the keeper between calls.
func (k *fakeKeeper) set(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
}

// books returns what is unspent, leased and charged.
func (k *fakeKeeper) books() (unspent, leased, charged int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.leases {
		leased += l.out
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
