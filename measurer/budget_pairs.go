package measurer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/treasurer"
)

// Traffic of one pair of a workspace and a router.
const (
	pairRequestEvery = 2 * time.Second
	pairRunTime      = 2 * time.Minute
	pairWorst        = 1400
	pairCost         = 900
)

// generousKeeper grants all that is asked for.
type generousKeeper struct{ treasurer.Keeper }

// Register accepts every router.
func (generousKeeper) Register(context.Context, *messenger.RegisterRequest, ...grpc.CallOption) (*messenger.RegisterReply, error) {
	return &messenger.RegisterReply{}, nil
}

// Lease grants what the router wants.
func (generousKeeper) Lease(_ context.Context, r *messenger.LeaseRequest, _ ...grpc.CallOption) (*messenger.LeaseReply, error) {
	return &messenger.LeaseReply{GrantedTokens: r.WantTokens, TotalGrantedTokens: r.WantTokens, ZoneLeftTokens: 1 << 40}, nil
}

// pairMemory returns the heap that n active workspaces take at a router.
func pairMemory(n int) (float64, error) {
	before := liveBytes()
	t, end := treasurer.New(treasurer.Options{Router: "r", Zone: "z", Incarnation: 1, Keeper: generousKeeper{}, Policy: treasurer.DefaultPolicy()})
	defer end()
	for i := range n {
		held, err := t.Reserve(context.Background(), fmt.Sprintf("workspace-%d", i), pairWorst)
		if err != nil {
			return 0, err
		}
		held.Release()
	}
	return liveBytes() - before, nil
}

// pairNetwork returns the bytes a second of leases and returns of n pairs
// with steady traffic, without the transport's frames.
func pairNetwork(n int) float64 {
	clock := newVirtualClock()
	policy := treasurer.DefaultPolicy()
	var bytes int64
	for i := range n {
		p := &pairLoad{clock: clock, bytes: &bytes, account: treasurer.NewAccount(fmt.Sprintf("workspace-%d", i), &policy, clock.now, treasurer.Totals{})}
		clock.after(time.Duration(i)*pairRequestEvery/time.Duration(n), p.start)
	}
	clock.runUntil(clock.now.Add(pairRunTime))
	return float64(bytes) / pairRunTime.Seconds()
}

// pairLoad is one account with steady traffic before a generous keeper.
type pairLoad struct {
	clock   *virtualClock
	account *treasurer.Account
	bytes   *int64
}

func (p *pairLoad) start() {
	p.clock.every(pairRequestEvery, func() bool { p.request(); return true })
	p.clock.every(treasurer.DefaultPolicy().TickInterval, func() bool { p.step(treasurer.Tick{}); return true })
}

func (p *pairLoad) request() {
	s := p.account.Slice()
	if !s.Reserve(pairWorst) {
		p.step(treasurer.Need{Tokens: pairWorst, Waiting: pairWorst, Deadline: p.clock.now})
		s.Reserve(pairWorst)
	}
	p.clock.after(time.Second, func() { s.Settle(pairWorst, pairCost) })
}

func (p *pairLoad) step(e treasurer.Event) {
	for _, a := range p.account.Step(p.clock.now, e) {
		switch a := a.(type) {
		case treasurer.SendLease:
			q := &messenger.LeaseRequest{
				Workspace: p.account.Workspace(), Router: "osu-hall-1", Incarnation: uint64(p.clock.now.UnixNano()),
				Sequence: a.Sequence, WantTokens: int64(a.Want), DemandTokensPerSecond: a.Demand,
			}
			r := &messenger.LeaseReply{GrantedTokens: q.WantTokens, ZoneLeftTokens: 1 << 30, TotalGrantedTokens: int64(p.account.Slice().Granted() + a.Want)}
			*p.bytes += int64(proto.Size(q) + proto.Size(r))
			p.step(treasurer.Leased{Sequence: a.Sequence, Reply: r})
		case treasurer.SendReturn:
			*p.bytes += int64(proto.Size(&messenger.ReturnRequest{Workspace: p.account.Workspace(), Router: "osu-hall-1", Sequence: a.Sequence, Tokens: int64(a.Tokens)}))
			p.step(treasurer.Returned{Sequence: a.Sequence})
		}
	}
}
