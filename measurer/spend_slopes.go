package measurer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rattanhoist.example/rattanhoist/messenger"
)

// The experiment measures what a charge and a lease cost on a router's stream,
// and in calls of their own, at the pace of one router at the letter's size:
// a process that sleeps between two messages pays more for each.
var _ = register(Experiment{
	Name: "spends", Short: "A charge and a lease on a router's stream: bytes both ways, processor time of both sides",
	Run: runSpendSlopes,
})

const (
	// spendFor is how long each size is measured, after spendWarmUp.
	spendFor    = 2 * time.Second
	spendWarmUp = 300 * time.Millisecond
)

// spendSink answers as a keeper whose answers need no work.
type spendSink struct {
	messenger.UnimplementedBudgetKeeperServer
}

func (s spendSink) Spend(stream messenger.BudgetKeeper_SpendServer) error {
	return messenger.ServeSpend(s, stream)
}

func (spendSink) Charge(_ context.Context, r *messenger.ChargeRequest) (*messenger.ChargeReply, error) {
	out := &messenger.ChargeReply{TwoDisks: true}
	for _, c := range r.Charges {
		out.Results = append(out.Results, &messenger.ChargeResult{
			State: messenger.ChargeState_CHARGE_STATE_BILLED, BilledTokens: c.Tokens, SpentTokens: c.Tokens,
		})
	}
	return out, nil
}

func (spendSink) Lease(_ context.Context, r *messenger.LeaseRequest) (*messenger.LeaseReply, error) {
	return &messenger.LeaseReply{
		GrantedTokens: r.WantTokens, ZoneLeftTokens: sampleBudget, TotalGrantedTokens: r.WantTokens, VaultIncarnation: 1_790_000_000_000_000_000,
	}, nil
}

// spendCalls are the two calls that each request may make.
var spendCalls = map[string]func(context.Context, messenger.BudgetKeeperClient, int) error{
	"charge": func(ctx context.Context, k messenger.BudgetKeeperClient, router int) error {
		r := &messenger.ChargeRequest{Router: sampleRouter(router), Incarnation: sampleIncarnation, Zone: sampleZone}
		r.Charges = []*messenger.Charge{sampleCharge(router)}
		_, err := k.Charge(ctx, r)
		return err
	},
	"lease": func(ctx context.Context, k messenger.BudgetKeeperClient, router int) error {
		_, err := k.Lease(ctx, &messenger.LeaseRequest{
			Workspace: sampleWorkspaceName(router), Router: sampleRouter(router), Incarnation: sampleIncarnation,
			Sequence: 7, WantTokens: 4000, DemandTokensPerSecond: 400,
		})
		return err
	},
}

const sampleIncarnation = 1_790_000_000_000_000_000

func runSpendSlopes(ctx context.Context, r *Report) error {
	for _, call := range []string{"charge", "lease"} {
		for _, way := range []string{"on the stream", "in a call of its own"} {
			var seconds, sent []Point
			for _, routers := range sizes(9, 18, 36, 72) {
				s, b, n, err := costOfSpends(ctx, routers, way == "on the stream", spendCalls[call])
				if err != nil {
					return err
				}
				seconds = append(seconds, Point{X: n, Y: s})
				sent = append(sent, Point{X: n, Y: b})
			}
			per := fmt.Sprintf("%s %s", call, way)
			r.Slope("keeper and router", "processor", "s", per, seconds)
			r.Slope("keeper and router", "bytes", "B", per, sent)
		}
	}
	return nil
}

// costOfSpends has routers call at the letter's pace and returns processor
// seconds, bytes both ways and calls.
func costOfSpends(ctx context.Context, routers int, stream bool, call func(context.Context, messenger.BudgetKeeperClient, int) error) (seconds, sent, n float64, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, 0, err
	}
	var bytes, calls atomic.Int64
	server := messenger.NewServer(messenger.Keys{messenger.RoleMember: sampleKey})
	messenger.RegisterBudgetKeeperServer(server, spendSink{})
	go func() { _ = server.Serve(countedListener{Listener: l, bytes: &bytes}) }()
	defer server.Stop()
	ctx, cancel := context.WithTimeout(ctx, spendWarmUp+spendFor)
	defer cancel()
	var g errgroup.Group
	for i := range routers {
		conn, err := messenger.NewDialer(sampleRouter(i), messenger.RoleMember, sampleKey).Dial(l.Addr().String())
		if err != nil {
			return 0, 0, 0, err
		}
		defer func() { _ = conn.Close() }()
		k := messenger.NewBudgetKeeperClient(conn)
		if stream {
			s, closeSpender := messenger.NewSpender(k, sampleZone)
			defer closeSpender()
			k = s
		}
		g.Go(func() error {
			return spendAtPace(ctx, &calls, i, func() error { return call(context.WithoutCancel(ctx), k, i) })
		})
	}
	time.Sleep(spendWarmUp)
	before, beforeBytes, beforeCalls := processorTime(), bytes.Load(), calls.Load()
	err = g.Wait()
	return (processorTime() - before).Seconds(), float64(bytes.Load() - beforeBytes), float64(calls.Load() - beforeCalls), err
}

// spendAtPace calls until ctx ends, as often as a router has requests.
func spendAtPace(ctx context.Context, calls *atomic.Int64, router int, call func() error) error {
	every := time.Duration(float64(time.Second) / Letter.RequestsPerNode())
	// Routers call out of step.
	time.Sleep(every * time.Duration(router%10) / 10)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if err := call(); err != nil {
			return err
		}
		calls.Add(1)
	}
}
