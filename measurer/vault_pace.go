package measurer

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"rattanhoist.example/rattanhoist/messenger"
)

// The experiment runs a zone's keeper with its mirror and 18 routers' streams
// in one process, at the letter's pace: each request leases, charges and gives
// back, each budget comes once.
var _ = register(Experiment{
	Name: "vault_pace", Short: "A keeper at the letter's pace: commits a second, processor time, time of a charge",
	Run: runVaultPace,
})

const (
	paceRouters = 18
	paceFor     = 5 * time.Second
	// pacedCharge and pacedLease are in tokens.
	pacedCharge, pacedLease = 400, 1000
)

// pacer makes the requests of the routers and notes how long charges took.
type pacer struct {
	mu    sync.Mutex
	times []time.Duration
}

func runVaultPace(ctx context.Context, r *Report) error {
	settings, stop, err := startKeepers(ctx, []string{"a", "b"})
	if err != nil {
		return err
	}
	defer stop()
	first, closeFirst, err := dialKeeper(settings, "measure")
	if err != nil {
		return err
	}
	defer closeFirst()
	if err := fillAll(ctx, first); err != nil {
		return err
	}
	p := &pacer{}
	ctx, cancel := context.WithTimeout(ctx, paceFor)
	defer cancel()
	var g errgroup.Group
	commits, before, start := commitCount(), processorTime(), time.Now()
	for i := range paceRouters {
		name := sampleRouter(i)
		plain, closePlain, err := dialKeeper(settings, name)
		if err != nil {
			return err
		}
		defer closePlain()
		k, closeSpender := messenger.NewSpender(plain, "a")
		defer closeSpender()
		g.Go(func() error { return p.route(ctx, k, name) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	s := time.Since(start).Seconds()
	const name = "18 routers, 300 requests a second"
	r.Figure(name, "commits", (commitCount()-commits)/s, "1/s")
	r.Figure(name, "processor, both keepers and all routers", (processorTime()-before).Seconds()/s*100, "% of a core")
	r.Figure(name, "requests", float64(len(p.times))/s, "1/s")
	slices.Sort(p.times)
	r.Figure(name, "charge, median", milliseconds(p.times[len(p.times)/2]), "ms")
	r.Figure(name, "charge, 99th percentile", milliseconds(p.times[len(p.times)*99/100]), "ms")
	return nil
}

// commitCount returns the commits of both keepers since the process began.
func commitCount() float64 {
	n, _ := strconv.ParseFloat(fmt.Sprint(expvar.Get("budget_vault").(*expvar.Map).Get("commits")), 64)
	return n
}

// route makes requests until ctx ends.
func (p *pacer) route(ctx context.Context, k messenger.BudgetKeeperClient, router string) error {
	var g errgroup.Group
	t := time.NewTicker(time.Duration(float64(time.Second) / Letter.RequestsPerNode()))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-t.C:
		}
		g.Go(func() error { return p.request(context.WithoutCancel(ctx), k, router, paceWorkspace(router, n)) })
	}
}

func paceWorkspace(router string, n int) string { return fmt.Sprintf("%s-%d", router, n) }

// fillAll moves rights of every workspace into the vault.
func fillAll(ctx context.Context, k messenger.BudgetKeeperClient) error {
	give := &messenger.GiveRequest{}
	for i := range paceRouters {
		for n := range int(paceFor.Seconds()*Letter.RequestsPerNode()) + 2 {
			w := paceWorkspace(sampleRouter(i), n)
			give.Transfers = append(give.Transfers, &messenger.Transfer{
				TransferId: "x/1/" + w, Workspace: w, FromZone: "x", ToZone: "a", Tokens: sampleBudget,
			})
		}
	}
	for {
		_, err := k.Give(ctx, give)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// request leases, charges and gives the rest back.
func (p *pacer) request(ctx context.Context, k messenger.BudgetKeeperClient, router, workspace string) error {
	_, err := k.Lease(ctx, &messenger.LeaseRequest{Workspace: workspace, Router: router, Incarnation: 1, Sequence: 1, WantTokens: pacedLease})
	if err != nil {
		return err
	}
	c := vaultCharge(workspace, 0)
	c.RequestId, c.Tokens = uuid.NewString(), pacedCharge
	begun := time.Now()
	out, err := k.Charge(ctx, &messenger.ChargeRequest{Router: router, Incarnation: 1, Zone: "a", Charges: []*messenger.Charge{c}})
	if err != nil {
		return err
	}
	if out.Results[0].State != messenger.ChargeState_CHARGE_STATE_BILLED || !out.TwoDisks {
		return fmt.Errorf("charge of %s: %v", workspace, out)
	}
	p.mu.Lock()
	p.times = append(p.times, time.Since(begun))
	p.mu.Unlock()
	_, err = k.Return(ctx, &messenger.ReturnRequest{Workspace: workspace, Router: router, Incarnation: 1, Sequence: 2, Tokens: pacedLease - pacedCharge})
	return err
}
