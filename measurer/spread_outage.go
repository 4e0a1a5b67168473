package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

// The experiment measures how long no change is accepted after failures.
var _ = register(Experiment{
	Name: "spread_outage", Short: "Time without a leader after its death and after a silent cut; elections in calm; restart",
	Run: runSpreadOutage,
})

func runSpreadOutage(ctx context.Context, r *Report) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, cleanUp, err := newSpreadFleet(ctx)
	if err != nil {
		return err
	}
	defer cleanUp()
	before := f.counters("k1").Term
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, err := f.accept(ctx, "k3"); err != nil {
			return err
		}
	}
	r.Figure("4 s in calm", "elections", float64(f.counters("k1").Term-before), "")
	kill := func(l, _, _ string) { f.keepers[l].stop() }
	revive := func(l, _, _ string) error { return f.start(ctx, l) }
	if err := f.outages(ctx, r, "leader stops", kill, revive); err != nil {
		return err
	}
	cut := func(l, a, b string) { f.cut("cut", l, a); f.cut("cut", l, b) }
	heal := func(l, a, b string) error { f.cut("heal", l, a); f.cut("heal", l, b); return nil }
	if err := f.outages(ctx, r, "leader silently cut off", cut, heal); err != nil {
		return err
	}
	return restartTime(ctx, r)
}

func (f *spreadFleet) outages(ctx context.Context, r *Report, name string, breakIt func(l, a, b string), mend func(l, a, b string) error) error {
	var times []float64
	for range 5 {
		l, err := f.leader(ctx)
		if err != nil {
			return err
		}
		var rest []string
		for k := range f.keepers {
			if k != l {
				rest = append(rest, k)
			}
		}
		slices.Sort(rest)
		start := time.Now()
		breakIt(l, rest[0], rest[1])
		if _, err := f.accept(ctx, rest[0]); err != nil {
			return err
		}
		times = append(times, milliseconds(time.Since(start)))
		if err := mend(l, rest[0], rest[1]); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond)
	}
	slices.Sort(times)
	r.Figure(name+", 5 times", "until a change is accepted, median", times[2], "ms")
	r.Figure(name+", 5 times", "until a change is accepted, largest", times[4], "ms")
	return nil
}

// bookMachine applies entries as a keeper does.
type bookMachine struct{ *configurer.Book }

// Apply takes a change in.
func (m bookMachine) Apply(_ uint64, data []byte) any {
	c := &messenger.LogChange{}
	_ = proto.Unmarshal(data, c)
	return m.Decide(c)
}

// Snapshot returns the whole book.
func (m bookMachine) Snapshot() []byte {
	b, _ := m.Book.Snapshot()
	return b
}

// Restore replaces the book by a snapshot.
func (m bookMachine) Restore(_ uint64, b []byte) error { return m.Book.Restore(b) }

// restartTime times a log's start from a disk with 10,000 changes.
func restartTime(ctx context.Context, r *Report) error {
	dir, err := os.MkdirTemp("", "rattanhoist-restart-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := fillLog(ctx, dir); err != nil {
		return err
	}
	start := time.Now()
	store, closeStore, err := storer.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = closeStore() }()
	b := configurer.NewBook()
	if _, err := openLog(store, b); err != nil {
		return err
	}
	if b.Version() != 10000 {
		return fmt.Errorf("restart knows version %d, want 10000", b.Version())
	}
	r.Figure("10,000 changes on disk", "restart to the latest version", milliseconds(time.Since(start)), "ms")
	return nil
}

func openLog(store *storer.Store, b *configurer.Book) (*replicator.Core, error) {
	c := replicator.NewCore(replicator.Options{
		Name: "k", Voters: 1, Timing: replicator.DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 2)), Machine: bookMachine{b},
	})
	d := c.NewRestorer()
	for _, bucket := range replicator.Buckets {
		if err := store.Each(bucket, func(key string, value []byte) error {
			d.AddRow(bucket, key, slices.Clone(value))
			return nil
		}); err != nil {
			return nil, err
		}
	}
	actions, err := d.Start(time.Now())
	if err != nil {
		return nil, err
	}
	return c, applyRows(store, actions)
}

func applyRows(store *storer.Store, actions []replicator.Action) error {
	var rows []storer.Row
	for _, a := range actions {
		if w, ok := a.(replicator.Write); ok {
			rows = append(rows, storer.Row(w))
		}
	}
	return store.Apply(rows)
}

// fillLog writes 10,000 changes, 500 in one sync.
func fillLog(ctx context.Context, dir string) error {
	store, closeStore, err := storer.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = closeStore() }()
	b := configurer.NewBook()
	c, err := openLog(store, b)
	if err != nil {
		return err
	}
	now := time.Now()
	var actions []replicator.Action
	for !c.Ready() && ctx.Err() == nil {
		now = now.Add(100 * time.Millisecond)
		actions = append(actions, c.Step(now, replicator.Tick{})...)
	}
	for i := range 10000 {
		data, err := proto.Marshal(&messenger.LogChange{Change: &messenger.Change{ChangeId: fmt.Sprint("change-", i), BaseVersion: uint64(i), Edits: spreadEdits(i)}})
		if err != nil {
			return err
		}
		actions = append(actions, c.Step(now, replicator.Propose{Ticket: replicator.Ticket(i + 1), Data: data})...)
		if i%500 == 499 {
			if err := applyRows(store, actions); err != nil {
				return err
			}
			actions = nil
		}
	}
	return applyRows(store, actions)
}
