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

	"rattanhoist.example/rattanhoist/keeper"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register(Experiment{Name: "vault_charges", Short: "Durable charges a second through real keepers", Run: vaultCharges})

const (
	vaultNet = 44
	// chargeFor is how long each load of charges runs.
	chargeFor = 2 * time.Second
)

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
	s, stop, err := startKeepers(ctx, zones)
	if err != nil {
		return 0, err
	}
	defer stop()
	client, closeClient, err := dialKeeper(s, "measure")
	if err != nil {
		return 0, err
	}
	defer closeClient()
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

func startKeepers(ctx context.Context, zones []string) (*loader.Settings, func(), error) {
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
	return s, stop, nil
}

// dialKeeper returns a node's connection to the first keeper.
func dialKeeper(s *loader.Settings, node string) (messenger.BudgetKeeperClient, func(), error) {
	conn, err := messenger.NewDialer(node, messenger.RoleMember, s.DeploymentKey()).Dial(s.Processes(loader.KindKeeper)[0].RPC())
	if err != nil {
		return nil, nil, err
	}
	return messenger.NewBudgetKeeperClient(conn), func() { _ = conn.Close() }, nil
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
