package measurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

// The experiment measures how fast an accepted change is in force everywhere.
var _ = register(Experiment{
	Name: "spread", Short: "Time from a change to its being in force on 6 and on 340 subscribers",
	Run: runSpread,
})

// The experiment measures how long no change is accepted after failures.
var _ = register(Experiment{
	Name: "spread_outage", Short: "Time without a leader after its death and after a silent cut; elections in calm; restart",
	Run: runSpreadOutage,
})

// The experiment measures what a subscriber costs.
var _ = register(Experiment{
	Name: "spread_cost", Short: "Bytes and processor time for each subscriber, at rest and under changes",
	Run: runSpreadCost,
})

var errNotInForce = errors.New("a subscriber did not reach the version")

func (f *spreadFleet) addresses() []string {
	var out []string
	for _, p := range f.settings.Processes("keeper") {
		out = append(out, p.RPC())
	}
	return out
}

func (f *spreadFleet) follow(ctx context.Context, n int, compile bool, addresses []string) []*standIn {
	out := make([]*standIn, n)
	for i := range out {
		out[i] = &standIn{compile: compile}
		go out[i].run(ctx, fmt.Sprint("node-", i), addresses[i%len(addresses)], f.dialer)
	}
	return out
}

func allAt(ctx context.Context, nodes []*standIn, version uint64) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		if !slices.ContainsFunc(nodes, func(s *standIn) bool { return s.version.Load() < version }) {
			return nil
		}
		time.Sleep(100 * time.Microsecond)
	}
	return errNotInForce
}

func runSpread(ctx context.Context, r *Report) error {
	for _, n := range []int{6, 340} {
		if err := spreadTo(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

func spreadTo(ctx context.Context, r *Report, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, cleanUp, err := newSpreadFleet(ctx)
	if err != nil {
		return err
	}
	defer cleanUp()
	nodes := f.follow(ctx, n, true, f.addresses())
	v, err := f.accept(ctx, "k1")
	if err != nil {
		return err
	}
	if err := allAt(ctx, nodes, v); err != nil {
		return err
	}
	var accepted, inForce []float64
	for range 60 {
		start := time.Now()
		if v, err = f.accept(ctx, "k2"); err != nil {
			return err
		}
		accepted = append(accepted, milliseconds(time.Since(start)))
		if err := allAt(ctx, nodes, v); err != nil {
			return err
		}
		inForce = append(inForce, milliseconds(time.Since(start)))
		time.Sleep(40 * time.Millisecond)
	}
	name := fmt.Sprintf("%d subscribers, 60 changes", n)
	for what, list := range map[string][]float64{"sent to accepted": accepted, "sent to in force on all": inForce} {
		slices.Sort(list)
		r.Figure(name, what+", p50", list[len(list)/2], "ms")
		r.Figure(name, what+", p99", list[len(list)*99/100], "ms")
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

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
func (m bookMachine) Apply(data []byte) any {
	c := &messenger.LogChange{}
	_ = proto.Unmarshal(data, c)
	return m.Decide(c)
}

// Snapshot returns the whole book.
func (m bookMachine) Snapshot() []byte {
	b, _ := m.Book.Snapshot()
	return b
}

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
			d.Row(bucket, key, slices.Clone(value))
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

// costWindow is how long one point of a slope is measured.
const costWindow = 1800 * time.Millisecond

// runSpreadCost measures keepers and stand-ins together, in one process: the
// processor time is that of both ends, an upper bound for either.
func runSpreadCost(ctx context.Context, r *Report) error {
	for _, rate := range []int{0, 4} {
		var cpu, bytes []Point
		for _, n := range []int{0, 114, 228, 342} {
			c, b, err := costOf(ctx, n, rate)
			if err != nil {
				return err
			}
			cpu = append(cpu, Point{X: float64(n), Y: c})
			if n > 0 {
				bytes = append(bytes, Point{X: float64(n), Y: b})
			}
		}
		per := fmt.Sprintf("subscriber at %d changes a second", rate)
		r.Slope("keeper and router", "processor time", "ms a second", per, cpu)
		r.Slope("keeper", "bytes both ways", "bytes a second", per, bytes)
	}
	return nil
}

// costOf returns milliseconds of processor time and bytes, each a second.
func costOf(ctx context.Context, n, rate int) (cpu, bytes float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, cleanUp, err := newSpreadFleet(ctx)
	if err != nil {
		return 0, 0, err
	}
	defer cleanUp()
	var meters []*meter
	var addresses []string
	for _, a := range f.addresses() {
		m, err := newMeter(ctx, a)
		if err != nil {
			return 0, 0, err
		}
		meters = append(meters, m)
		addresses = append(addresses, m.listener.Addr().String())
	}
	nodes := f.follow(ctx, n, false, addresses)
	v, err := f.accept(ctx, "k1")
	if err != nil {
		return 0, 0, err
	}
	if err := allAt(ctx, nodes, v); err != nil {
		return 0, 0, err
	}
	time.Sleep(300 * time.Millisecond)
	sum := func() (out int64) {
		for _, m := range meters {
			out += m.bytes.Load()
		}
		return out
	}
	beforeCPU, beforeBytes, start := processTime(), sum(), time.Now()
	for i := 0; time.Since(start) < costWindow; i++ {
		if rate > 0 {
			if _, err := f.accept(ctx, "k1"); err != nil {
				return 0, 0, err
			}
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / time.Duration(max(rate, 4)))))
	}
	s := time.Since(start).Seconds()
	return milliseconds(processTime()-beforeCPU) / s, float64(sum()-beforeBytes) / s, nil
}

func processTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
