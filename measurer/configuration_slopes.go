package measurer

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
)

// The experiment measures what the configuration costs a router.
var _ = register(Experiment{
	Name: "configuration", Short: "Configuration at a router: memory, processor time of a change, bytes",
	Run: runConfigurationSlopes,
})

func sampleWorkspace(i int) *messenger.Workspace {
	hash := make([]byte, 32)
	copy(hash, fmt.Sprintf("%032d", i))
	return &messenger.Workspace{
		Name: fmt.Sprintf("workspace-%06d", i), KeyHashes: [][]byte{hash},
		Labels: map[string]string{"tier": fmt.Sprintf("tier-%d", i%4), "region": fmt.Sprintf("region-%d", i%7)},
	}
}

func sampleChange(i int, base uint64) *messenger.Change {
	return &messenger.Change{
		ChangeId: fmt.Sprintf("5d43bf48-4d42-43d4-84fd-%012d", i), BaseVersion: base, Author: "operator",
		Edits: []*messenger.Edit{{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: sampleWorkspace(i)}}},
	}
}

// sampleConfiguration has n workspaces, and the services and statements of
// the letter's 15 models.
func sampleConfiguration(n int) *messenger.Configuration {
	c := &messenger.Configuration{Version: uint64(n)}
	for i := range n {
		c.Workspaces = append(c.Workspaces, sampleWorkspace(i))
	}
	for i := range int(Letter.Models) {
		name := fmt.Sprintf("service-%02d", i)
		c.Services = append(c.Services, &messenger.Service{
			Name: name, Kind: messenger.ServiceKind_SERVICE_KIND_MODEL, Models: []string{"model-" + name}, MaxAnswerTokens: 4096,
		})
		c.Statements = append(c.Statements, &messenger.Statement{
			Name: name, Workspaces: "tier=tier-1", Services: "name=" + name, Endpoints: "tier=standard",
		})
	}
	return c
}

// ownLabels gives each workspace a label that no other has, as an operator may
// who notes the customer's number.
func ownLabels(c *messenger.Configuration) *messenger.Configuration {
	for _, w := range c.Workspaces {
		w.Labels["customer"] = w.Name
	}
	return c
}

// routersCopy is what a router keeps: the copy that it follows and the index
// of the version in force.
type routersCopy struct {
	book     *configurer.Copy
	snapshot *configurer.Snapshot
}

func newRoutersCopy(m *messenger.Configuration) *routersCopy {
	b := configurer.NewCopy()
	b.Load(m)
	return &routersCopy{book: b, snapshot: b.Snapshot()}
}

func runConfigurationSlopes(_ context.Context, r *Report) error {
	xs := sizes(2000, 5000, 10000, 20000, 42000)
	r.Slope("router", "memory", "B", "workspace", sweep(xs, func(n int) float64 {
		return heapBytes(func() any { return newRoutersCopy(sampleConfiguration(n)) })
	}))
	r.Slope("router", "processor_per_change", "s", "workspace", sweep(xs, costOfChange))
	r.Slope("router", "own_labels_memory", "B", "workspace", sweep(xs, func(n int) float64 {
		return heapBytes(func() any { return newRoutersCopy(ownLabels(sampleConfiguration(n))) })
	}))
	r.Slope("router", "processor_after_restart", "s", "workspace", sweep(xs, costOfLoad))
	r.Slope("router", "update_bytes", "B", "change", sweep(sizes(1, 10, 50, 100), func(n int) float64 {
		u := &messenger.Update{Version: uint64(n), Digest: 1 << 63, Confirmed: true}
		for i := range n {
			u.Changes = append(u.Changes, sampleChange(i, uint64(i)))
		}
		return float64(proto.Size(u))
	}))
	r.Slope("router", "whole_copy_bytes", "B", "workspace", sweep(xs, func(n int) float64 {
		return float64(proto.Size(sampleConfiguration(n)))
	}))
	return nil
}

// costOfChange is the processor time from the arrival of one change to the
// new snapshot, averaged over many.
func costOfChange(n int) float64 {
	const changes = 200
	c := newRoutersCopy(sampleConfiguration(n))
	s := processorSeconds(func() {
		for i := range changes {
			c.book.Apply(sampleChange(n+i, c.book.Version()))
			c.snapshot = c.book.Snapshot()
		}
	})
	return s / changes
}

// costOfLoad is the processor time from the arrival of a whole configuration
// to its snapshot.
func costOfLoad(n int) float64 {
	const loads = 3
	m := sampleConfiguration(n)
	return processorSeconds(func() {
		for range loads {
			_ = newRoutersCopy(m)
		}
	}) / loads
}
