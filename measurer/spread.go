package measurer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// The experiment measures how fast an accepted change is in force everywhere.
var _ = register(Experiment{
	Name: "spread", Short: "Time from a change to its being in force on 6 and on 340 subscribers",
	Run: runSpread,
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
