package measurer

import (
	"context"
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

var _ = register(Experiment{Name: "vault_state", Short: "Disk and mirror bytes of charges", Run: vaultState})

// vaultState measures what a charge takes on the way to both disks, without
// sockets.
func vaultState(_ context.Context, r *Report) error {
	for _, group := range []int{1, 8, 64, 512} {
		caseName := fmt.Sprintf("%d charges in a commit", group)
		r.Figure(caseName, "mirror_bytes_per_charge", mirrorBytes(group, false), "bytes")
		r.Figure(caseName, "mirror_bytes_per_charge_with_claim", mirrorBytes(group, true), "bytes")
	}
	return vaultDisk(r)
}

func newVault(rows budgeter.Rows) *budgeter.Vault {
	v := budgeter.NewVault("a", rows)
	v.Step(time.Time{}, budgeter.StartIncarnation{Incarnation: 1})
	return v
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
	total := proto.Size(c.Prepare(budgeter.MergeWrites(rows)))
	if claims {
		total += proto.Size(c.Prepare(budgeter.MergeWrites(claimed(v, rows))))
	}
	return float64(total) / float64(group)
}

// claimed ends the search for second bills of the charges among rows.
func claimed(v *budgeter.Vault, rows []budgeter.Write) (out []budgeter.Write) {
	e := budgeter.SettleClaims{Counting: map[string][]string{}}
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
			points = append(points, Point{X: float64(n), Y: float64(store.UsedBytes())})
		}
		var rows []budgeter.Write
		for i := range group {
			rows = append(rows, bill(v, vaultCharge(fmt.Sprintf("workspace-%06d", i%tenWorkspaces), n+i))...)
		}
		for _, commit := range [][]budgeter.Write{rows, claimed(v, rows)} {
			if err := applyCopy(store, budgeter.MergeWrites(commit)); err != nil {
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
