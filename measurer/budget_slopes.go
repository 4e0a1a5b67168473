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

// Sizes of the slopes: pairs of a workspace and a router with traffic.
const (
	pairRequestEvery = 2 * time.Second
	pairRunTime      = 2 * time.Minute
	pairWorst        = 1400
	pairCost         = 900
)

var (
	memoryPairs  = []int{2000, 4000, 8000, 16000}
	networkPairs = []int{100, 200, 400, 800}
)

// SpendingSlopes is the name of the experiment on the cost of one active pair
// of a workspace and a router.
var SpendingSlopes = Register(Experiment{
	Name: "spending_slopes", Short: "memory and network of a router's slices",
	Run: runSpendingSlopes,
})

func runSpendingSlopes(_ context.Context, r *Report) error {
	var memory, bytes []Point
	for _, n := range memoryPairs {
		held, err := pairMemory(n)
		if err != nil {
			return err
		}
		memory = append(memory, Point{X: float64(n), Y: held})
	}
	for _, n := range networkPairs {
		bytes = append(bytes, Point{X: float64(n), Y: pairNetwork(n)})
	}
	r.Slope("router", "spending_memory", "bytes", "active (budget, node) pair", memory)
	r.Slope("router", "lease_network", "bytes/s", "active (budget, node) pair at 0.5 requests/s", bytes)
	return nil
}

// generousKeeper grants all that is asked for.
type generousKeeper struct{ treasurer.Keeper }

// Register implements treasurer.Keeper.
func (generousKeeper) Register(context.Context, *messenger.RegisterRequest, ...grpc.CallOption) (*messenger.RegisterReply, error) {
	return &messenger.RegisterReply{}, nil
}

// Lease implements treasurer.Keeper.
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
		p := &pairLoad{clock: clock, bytes: &bytes, account: treasurer.NewAccount(fmt.Sprintf("workspace-%d", i), &policy, clock.now, treasurer.Rest{})}
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
	p.clock.every(treasurer.DefaultPolicy().TickEvery, func() bool { p.step(treasurer.Tick{}); return true })
}

func (p *pairLoad) request() {
	s := p.account.Slice()
	if !s.Reserve(pairWorst) {
		p.step(treasurer.Need{Tokens: pairWorst, Waiting: pairWorst, GiveUp: p.clock.now})
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
