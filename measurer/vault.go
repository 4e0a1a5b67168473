package measurer

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/keeper"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

var (
	_ = Register(Experiment{Name: "vault_state", Short: "Memory, disk and mirror bytes of budgets", Run: vaultState})
	_ = Register(Experiment{Name: "vault_charges", Short: "Durable charges a second through real keepers", Run: vaultCharges})
)

const (
	vaultNet = 44
	// chargeFor is how long each load of charges runs.
	chargeFor = 2 * time.Second
)

// vaultState measures the vault without sockets: slopes for the capacity page.
func vaultState(_ context.Context, r *Report) error {
	var books, pairs []Point
	for _, n := range []int{5000, 10000, 20000, 40000} {
		books = append(books, Point{X: float64(n), Y: vaultMemory(n, 0)})
	}
	for _, n := range []int{1, 2, 4, 8} {
		pairs = append(pairs, Point{X: float64(n) * 10000, Y: vaultMemory(10000, n)})
	}
	for _, group := range []int{1, 8, 64, 512} {
		r.Figure(fmt.Sprintf("%d charges in a commit", group), "mirror_bytes_per_charge_with_claim", mirrorBytes(group, true), "bytes")
	}
	r.Slope("keeper", "memory", "bytes", "budget without leases", books)
	r.Slope("keeper", "memory", "bytes", "active (budget, node) pair", pairs)
	for _, group := range []int{1, 8, 64, 512} {
		r.Figure(fmt.Sprintf("%d charges in a commit", group), "mirror_bytes_per_charge", mirrorBytes(group, false), "bytes")
	}
	return vaultDisk(r)
}

// vaultMemory returns the heap of a vault with n budgets, each leased to as
// many routers.
func vaultMemory(n, routers int) float64 {
	return heapBytes(func() any {
		v := newVault(noRows{})
		for i := range n {
			name := fmt.Sprintf("workspace-%06d", i)
			v.Step(time.Time{}, budgeter.Mint{Request: &messenger.TopUpRequest{Workspace: name, TopUpId: "a/" + name, Tokens: 1e6}})
			for k := range routers {
				lease(v, name, fmt.Sprintf("router-%03d", k))
			}
			v.Synced()
		}
		return v
	})
}

func newVault(rows budgeter.Rows) *budgeter.Vault {
	v := budgeter.NewVault("a", rows)
	v.Step(time.Time{}, budgeter.Begin{Incarnation: 1})
	return v
}

func lease(v *budgeter.Vault, workspace, router string) {
	v.Step(time.Time{}, budgeter.Lease{Request: &messenger.LeaseRequest{
		Workspace: workspace, Router: router, Incarnation: 1, Sequence: 1, WantTokens: 1e5,
	}})
}

// vaultCharge is a charge as routers send it, with a random request id.
func vaultCharge(workspace string, n int) *messenger.Charge {
	return &messenger.Charge{
		Workspace: workspace, RequestId: fmt.Sprintf("%08x-0000-4000-8000-%012x", n, n), Tokens: 1,
		Service: "survey-llm", Endpoint: "survey-llm-12", ChargedAtMs: 1764700000000, Zone: "a",
	}
}

func bill(v *budgeter.Vault, c *messenger.Charge) (rows []budgeter.Write) {
	for _, a := range v.Step(time.Time{}, budgeter.Bill{Request: &messenger.ChargeRequest{
		Router: "router-000", Incarnation: 1, Charges: []*messenger.Charge{c},
	}}) {
		if w, ok := a.(budgeter.Write); ok {
			rows = append(rows, w)
		}
	}
	return rows
}

// tenWorkspaces are as many as a deployment of today has.
const tenWorkspaces = 10

func chargedVault(rows budgeter.Rows) *budgeter.Vault {
	v := newVault(rows)
	for i := range tenWorkspaces {
		name := fmt.Sprintf("workspace-%06d", i)
		v.Step(time.Time{}, budgeter.Mint{Request: &messenger.TopUpRequest{Workspace: name, TopUpId: "a/" + name, Tokens: 1e9}})
		v.Step(time.Time{}, budgeter.Lease{Request: &messenger.LeaseRequest{
			Workspace: name, Router: "router-000", Incarnation: 1, Sequence: 1, WantTokens: 1e8,
		}})
	}
	return v
}

// mirrorBytes returns the bytes that go to the mirror for a charge, and, where
// asked so, those of the commit that ends the search for a second bill.
func mirrorBytes(group int, claims bool) float64 {
	v := chargedVault(noRows{})
	c := budgeter.NewCopier(&messenger.CopyState{Zone: "a", Incarnation: 1}, true, func(string, string) {})
	var rows []budgeter.Write
	for i := range group {
		rows = append(rows, bill(v, vaultCharge(fmt.Sprintf("workspace-%06d", i%tenWorkspaces), i))...)
	}
	total := proto.Size(c.Prepare(budgeter.CopyRows(rows)))
	if claims {
		total += proto.Size(c.Prepare(budgeter.CopyRows(claimed(v, rows))))
	}
	return float64(total) / float64(group)
}

// claimed ends the search for second bills of the charges among rows.
func claimed(v *budgeter.Vault, rows []budgeter.Write) (out []budgeter.Write) {
	e := budgeter.BillsClaimed{Counting: map[string][]string{}}
	for _, w := range rows {
		if w.Bucket == budgeter.BucketUnclaimed {
			e.Counting[w.Key] = []string{"a"}
		}
	}
	for _, a := range v.Step(time.Time{}, e) {
		if w, ok := a.(budgeter.Write); ok {
			out = append(out, w)
		}
	}
	return out
}

// vaultDisk fits the file's used bytes by the number of charges.
func vaultDisk(r *Report) error {
	dir, err := os.MkdirTemp("", "rattanhoist-vault-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store, closeStore, err := storer.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = closeStore() }()
	v := chargedVault(store)
	var points []Point
	const step, group = 20000, 500
	for n := 0; n <= 4*step; n += group {
		if n%step == 0 {
			points = append(points, Point{X: float64(n), Y: float64(store.Used())})
		}
		var rows []budgeter.Write
		for i := range group {
			rows = append(rows, bill(v, vaultCharge(fmt.Sprintf("workspace-%06d", i%tenWorkspaces), n+i))...)
		}
		for _, commit := range [][]budgeter.Write{rows, claimed(v, rows)} {
			if err := applyCopy(store, budgeter.CopyRows(commit)); err != nil {
				return err
			}
			v.Synced()
		}
	}
	r.Slope("keeper", "disk", "bytes", "charge", points)
	return nil
}

func applyCopy(s *storer.Store, rows []*messenger.CopyRow) error {
	out := make([]storer.Row, 0, len(rows))
	for _, x := range rows {
		out = append(out, storer.Row{Bucket: x.Bucket, Key: x.Key, Value: x.Value})
	}
	return s.Apply(out)
}

// vaultCharges sends charges to a keeper whose mirror is another keeper, all
// of this process, over loopback.
func vaultCharges(ctx context.Context, r *Report) error {
	for _, x := range []struct {
		name              string
		zones             []string
		callers, together int
	}{
		{"one disk, one charge in a commit", []string{"a"}, 1, 1},
		{"one disk, group commit of 256 callers", []string{"a"}, 256, 1},
		{"two disks, one charge in a commit", []string{"a", "b"}, 1, 1},
		{"two disks, group commit of 256 callers", []string{"a", "b"}, 256, 1},
		{"two disks, 16 callers with 64 charges each", []string{"a", "b"}, 16, 64},
	} {
		rate, err := chargeRate(ctx, x.zones, x.callers, x.together)
		if err != nil {
			return fmt.Errorf("%s: %w", x.name, err)
		}
		r.Figure(x.name, "durable_charges", rate, "1/s")
	}
	return nil
}

func chargeRate(ctx context.Context, zones []string, callers, together int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, stop, err := startKeepers(ctx, zones)
	if err != nil {
		return 0, err
	}
	defer stop()
	const workspace = "workspace-000000"
	want := &messenger.LeaseRequest{Workspace: workspace, Router: "router-000", Incarnation: 1, Sequence: 1, WantTokens: 1e11}
	if err := fill(ctx, client, workspace, want); err != nil {
		return 0, err
	}
	var sent, number atomic.Int64
	end := time.Now().Add(chargeFor)
	var g errgroup.Group
	for range callers {
		g.Go(func() error {
			for time.Now().Before(end) {
				m := &messenger.ChargeRequest{Router: "router-000", Incarnation: 1}
				for range together {
					m.Charges = append(m.Charges, vaultCharge(workspace, int(number.Add(1))))
				}
				out, err := client.Charge(ctx, m)
				if err != nil {
					return err
				}
				if out.TwoDisks != (len(zones) > 1) && len(zones) > 1 {
					return fmt.Errorf("a charge is on one disk only")
				}
				sent.Add(int64(together))
			}
			return nil
		})
	}
	err = g.Wait()
	return float64(sent.Load()) / chargeFor.Seconds(), err
}

// fill moves rights into the vault as another zone would, since minting asks
// the configuration for the workspace.
func fill(ctx context.Context, client messenger.BudgetKeeperClient, workspace string, want *messenger.LeaseRequest) error {
	give := &messenger.GiveRequest{Transfers: []*messenger.Transfer{{
		TransferId: "x/1/1", Workspace: workspace, FromZone: "x", ToZone: "a", Tokens: 1e12,
	}}}
	for {
		_, err := client.Give(ctx, give)
		if err == nil {
			_, err = client.Lease(ctx, want)
		}
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

func startKeepers(ctx context.Context, zones []string) (messenger.BudgetKeeperClient, func(), error) {
	dir, err := os.MkdirTemp("", "rattanhoist-vault-")
	if err != nil {
		return nil, nil, err
	}
	s, err := vaultSettings(dir, zones)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	var cleanUps []func()
	stop := func() {
		cancel()
		running.Wait()
		for _, f := range cleanUps {
			f()
		}
		_ = os.RemoveAll(dir)
	}
	for _, p := range s.Processes(loader.KindKeeper) {
		k, cleanUp, err := keeper.New(s, p, zap.NewNop())
		if err != nil {
			stop()
			return nil, nil, err
		}
		cleanUps = append(cleanUps, cleanUp)
		running.Go(func() { _ = k.Run(ctx) })
	}
	conn, err := messenger.NewDialer("measure", messenger.RoleMember, s.DeploymentKey()).Dial(s.Processes(loader.KindKeeper)[0].RPC())
	if err != nil {
		stop()
		return nil, nil, err
	}
	cleanUps = append(cleanUps, func() { _ = conn.Close() })
	return messenger.NewBudgetKeeperClient(conn), stop, nil
}

func vaultSettings(dir string, zones []string) (*loader.Settings, error) {
	var b strings.Builder
	b.WriteString("[deployment]\nname = measure\nkey_file = a.key\noperator_key_file = b.key\nendpoint_key_file = c.key\n")
	for i, z := range zones {
		fmt.Fprintf(&b, "[keeper %s-keeper]\nzone = %s\nrpc = 127.%d.%d.1:7071\ndata_dir = %s\n", z, z, vaultNet, i+1, filepath.Join(dir, z))
	}
	files := map[string]string{"rattanhoist.ini": b.String()}
	for _, k := range []string{"a", "b", "c"} {
		files[k+".key"] = "key-of-a-measured-deployment-" + k
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return loader.Load(filepath.Join(dir, "rattanhoist.ini"))
}
