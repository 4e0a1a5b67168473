package measurer

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// The experiment measures what budgets cost a keeper and a router, without the
// disk and the network.
var _ = register(Experiment{
	Name: "budget_slopes", Short: "Budgets: memory of keeper and router, processor time and bytes of charges and leases",
	Run: runBudgetSlopes,
})

const (
	sampleZone = "zone-01"
	// sampleBudget is large enough for every case.
	sampleBudget = 1_000_000_000
)

// noRows is the disk of a vault that has just started empty.
type noRows struct{}

func (noRows) Get(string, string) ([]byte, error) { return nil, nil }

func sampleRouter(i int) string        { return fmt.Sprintf("%s-router-%02d", sampleZone, i) }
func sampleWorkspaceName(i int) string { return fmt.Sprintf("workspace-%06d", i) }

// rowBench is a vault whose rows are counted and dropped.
type rowBench struct {
	vault *budgeter.Vault
	bytes int
}

func newRowBench() *rowBench { return &rowBench{vault: budgeter.NewVault(sampleZone, noRows{})} }

func (b *rowBench) step(e budgeter.Event) {
	for _, a := range b.vault.Step(time.Time{}, e) {
		if w, ok := a.(budgeter.Write); ok {
			b.bytes += len(w.Key) + len(w.Value)
		}
	}
	b.vault.Synced()
}

func (b *rowBench) mint(workspace int) {
	b.step(budgeter.Mint{Request: &messenger.TopUpRequest{
		Workspace: sampleWorkspaceName(workspace), TopUpId: fmt.Sprintf("%s/receipt-%d", sampleZone, workspace), Tokens: sampleBudget,
	}})
}

func (b *rowBench) lease(workspace, router int, sequence uint64) {
	b.step(budgeter.Lease{Request: &messenger.LeaseRequest{
		Workspace: sampleWorkspaceName(workspace), Router: sampleRouter(router), Incarnation: 1, Sequence: sequence, WantTokens: 100_000,
	}})
}

func sampleCharge(i int) *messenger.Charge {
	return &messenger.Charge{
		Workspace: sampleWorkspaceName(0), RequestId: fmt.Sprintf("0b54a3a6-6c1f-4e0a-9d7e-%012d", i), Tokens: 400,
		Service: "service-01", Endpoint: "service-01-worker-0001", ChargedAtMs: 1_790_000_000_000, Zone: sampleZone,
	}
}

func sampleCharges(from, n int) *messenger.ChargeRequest {
	r := &messenger.ChargeRequest{Router: sampleRouter(0), Incarnation: 1, Zone: sampleZone}
	for i := range n {
		r.Charges = append(r.Charges, sampleCharge(from+i))
	}
	return r
}

func runBudgetSlopes(_ context.Context, r *Report) error {
	xs := sizes(1000, 5000, 10000, 35000)
	r.Slope("keeper", "memory", "B", "budget", sweep(xs, func(n int) float64 {
		return heapBytes(func() any {
			b := newRowBench()
			for i := range n {
				b.mint(i)
			}
			return b
		})
	}))
	r.Slope("keeper", "memory", "B", "lease", sweep(xs, memoryOfLeases))
	if err := pairSlopes(r); err != nil {
		return err
	}
	r.Slope("keeper", "lease_processor", "s", "lease", sweep(sizes(5000, 10000, 20000, 40000), costOfLeases))
	r.Slope("keeper", "charge_processor", "s", "charge", sweep(sizes(5000, 10000, 20000, 40000), func(n int) float64 {
		s, _ := costOfCharges(n)
		return s
	}))
	r.Slope("keeper", "charge_rows", "B", "charge", sweep(sizes(1000, 5000, 10000), func(n int) float64 {
		_, bytes := costOfCharges(n)
		return bytes
	}))
	r.Slope("router", "charge_message", "B", "charge", sweep(sizes(1, 16, 64, 256), func(n int) float64 {
		return float64(proto.Size(sampleCharges(0, n)))
	}))
	return nil
}

// pairSlopes measures what a budget with traffic costs a router.
func pairSlopes(r *Report) error {
	var failed error
	r.Slope("router", "memory", "B", "active budget", sweep(sizes(2000, 4000, 8000, 16000), func(n int) float64 {
		held, err := pairMemory(n)
		failed = cmp.Or(failed, err)
		return held
	}))
	r.Slope("router", "lease_network", "B/s", "active budget at 0.5 requests/s", sweep(sizes(100, 200, 400, 800), pairNetwork))
	return failed
}

func memoryOfLeases(n int) float64 {
	const routers = 5
	b := newRowBench()
	for i := range n / routers {
		b.mint(i)
	}
	return heapBytes(func() any {
		for i := range n {
			b.lease(i/routers, i%routers, 1)
		}
		return b
	})
}

func costOfLeases(n int) float64 {
	b := newRowBench()
	b.mint(0)
	return processorSeconds(func() {
		for i := range n {
			b.lease(0, 0, uint64(i+1))
		}
	})
}

// costOfCharges bills n charges in batches as a router sends them; it returns
// processor seconds and the bytes of the rows.
func costOfCharges(n int) (seconds, bytes float64) {
	const batch = 16
	b := newRowBench()
	b.mint(0)
	b.step(budgeter.Lease{Request: &messenger.LeaseRequest{
		Workspace: sampleWorkspaceName(0), Router: sampleRouter(0), Incarnation: 1, Sequence: 1, WantTokens: sampleBudget,
	}})
	b.bytes = 0
	seconds = processorSeconds(func() {
		for i := 0; i < n; i += batch {
			b.step(budgeter.Bill{Request: sampleCharges(i, min(batch, n-i))})
		}
	})
	return seconds, float64(b.bytes)
}
