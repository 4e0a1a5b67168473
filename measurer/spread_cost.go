package measurer

import (
	"context"
	"fmt"
	"time"
)

// The experiment measures what a subscriber costs.
var _ = register(Experiment{
	Name: "spread_cost", Short: "Bytes and processor time for each subscriber, at rest and under changes",
	Run: runSpreadCost,
})

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
	beforeCPU, beforeBytes, start := processorTime(), meteredBytes(meters), time.Now()
	if err := f.acceptAtRate(ctx, rate); err != nil {
		return 0, 0, err
	}
	s := time.Since(start).Seconds()
	return milliseconds(processorTime()-beforeCPU) / s, float64(meteredBytes(meters)-beforeBytes) / s, nil
}

func meteredBytes(meters []*meter) (sum int64) {
	for _, m := range meters {
		sum += m.bytes.Load()
	}
	return sum
}

// acceptAtRate has changes accepted for costWindow, at a rate a second; 0
// only waits.
func (f *spreadFleet) acceptAtRate(ctx context.Context, rate int) error {
	start := time.Now()
	for i := 0; time.Since(start) < costWindow; i++ {
		if rate > 0 {
			if _, err := f.accept(ctx, "k1"); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / time.Duration(max(rate, 4)))))
	}
	return nil
}
