package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/picker"
)

// The experiment compares the pickers and the limits under load and faults.
var _ = register(Experiment{
	Name: "pickers", Short: "Pickers and limits under overload, a slow endpoint, late and lost reports",
	Run: runPickers,
})

// Length of a run and the seeds whose results are pooled.
const (
	fleetWarm = 20 * time.Second
	fleetTime = 100 * time.Second
)

var fleetSeeds = []uint64{1, 2, 3}

// fleetScene is one condition under which all pickers run.
type fleetScene struct {
	name string
	load float64
	edit func(*fleetCase)
}

var fleetScenes = []fleetScene{
	{"load 0.7", 0.7, nil},
	{"load 1.0", 1.0, nil},
	{"load 1.5", 1.5, nil},
	{"load 3.0", 3.0, nil},
	{"load 0.7, one endpoint 10x slower", 0.7, func(c *fleetCase) { c.slow = 10 }},
	{"load 1.0, one endpoint 10x slower", 1.0, func(c *fleetCase) { c.slow = 10 }},
	{"load 0.9, one endpoint 10x slower", 0.9, func(c *fleetCase) { c.slow = 10 }},
	{"load 1.0 of the rest, one endpoint 10x slower", 1.0, loadOfTheRest},
	{"load 0.7, one endpoint fails all", 0.7, func(c *fleetCase) { c.broken = true }},
	{"load 1.0, reports 2 s late", 1.0, func(c *fleetCase) { c.reportLag = 2 * time.Second }},
	{"load 1.5, reports 2 s late", 1.5, func(c *fleetCase) { c.reportLag = 2 * time.Second }},
	{"load 1.0, half the cache events lost", 1.0, func(c *fleetCase) { c.eventLoss = 0.5 }},
}

// loadOfTheRest makes an endpoint slow and scales the load to what the
// endpoints can do then.
func loadOfTheRest(c *fleetCase) {
	c.slow = 10
	if c.engines != smallService {
		c.load *= (float64(c.engines) - 1 + 1/c.slow) / float64(c.engines)
	}
}

// fleetPolicy is one choice of plug-ins to compare.
type fleetPolicy struct {
	name, picker, shedder string
	unlimited, oracle     bool
}

// fleetPolicies lists each picker without limits, each under the product's
// limits, the product's picker under the other shedders, and an oracle: the
// product's picker without limits where nothing is hidden from it. It shows
// what the endpoints' capacity and the order of priorities leave to gain.
func fleetPolicies() []fleetPolicy {
	names := []string{picker.RoundRobin, picker.LeastOutstanding, picker.TwoChoices, picker.Deadline}
	var p []fleetPolicy
	for _, n := range names {
		p = append(p, fleetPolicy{name: n + " alone", picker: n, shedder: admitter.None, unlimited: true})
	}
	for _, n := range names {
		p = append(p, fleetPolicy{name: n, picker: n, shedder: admitter.Deadline})
	}
	return append(
		p,
		fleetPolicy{name: "deadline+none", picker: picker.Deadline, shedder: admitter.None},
		fleetPolicy{name: "deadline+loss", picker: picker.Deadline, shedder: admitter.Loss},
		fleetPolicy{name: "oracle", picker: picker.Deadline, shedder: admitter.None, unlimited: true, oracle: true},
	)
}

// fleetWorkers bounds the runs at once.
const fleetWorkers = 4

func runPickers(ctx context.Context, r *Report) error {
	policies := fleetPolicies()
	results := make([]*fleetResult, len(fleetScenes)*len(policies))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(fleetWorkers)
	for i := range results {
		g.Go(func() error {
			results[i] = measureFleet(fleetScenes[i/len(policies)], policies[i%len(policies)])
			return ctx.Err()
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for i, f := range results {
		reportFleet(r, fleetScenes[i/len(policies)].name+": "+policies[i%len(policies)].name, f)
	}
	return nil
}

// measureFleet pools the runs of all seeds. The two services of a deployment
// have endpoints and queues of their own, so each is a run of its own.
func measureFleet(s fleetScene, p fleetPolicy) *fleetResult {
	sum := &fleetResult{}
	for _, seed := range fleetSeeds {
		for _, engines := range []int{12, 3} {
			c := fleetCase{
				picker: p.picker, shedder: p.shedder, unlimited: p.unlimited, oracle: p.oracle, load: s.load, engines: engines,
				slow: 1, reportLag: 50 * time.Millisecond, seed: seed, warm: fleetWarm, until: fleetTime,
			}
			if s.edit != nil {
				s.edit(&c)
			}
			if engines == smallService {
				c.slow, c.broken = 1, false
			}
			sum.add(runFleet(c))
		}
	}
	return sum
}

// smallService is the size of the service that keeps all its endpoints well.
const smallService = 3

func (a *fleetResult) add(b *fleetResult) {
	a.offered += b.offered
	a.met += b.met
	a.late += b.late
	a.refused += b.refused
	a.expired += b.expired
	a.failed += b.failed
	a.falseRefused += b.falseRefused
	a.runs += b.runs
	a.dispatched += b.dispatched
	a.useful += b.useful
	a.wasted += b.wasted
	a.hits += b.hits
	a.starts += b.starts
	a.first = append(a.first, b.first...)
	a.end = append(a.end, b.end...)
}

func reportFleet(r *Report, caseName string, f *fleetResult) {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(f.offered, 1)) }
	r.Figure(caseName, "deadlines_met", share(f.met), "% of offered")
	r.Figure(caseName, "late", share(f.late), "% of offered")
	r.Figure(caseName, "refused", share(f.refused+f.expired), "% of offered")
	r.Figure(caseName, "failed", share(f.failed), "% of offered")
	r.Figure(caseName, "false_refusals", share(f.falseRefused), "% of offered")
	reportTimes(r, caseName, "first_token", f.first)
	reportTimes(r, caseName, "end", f.end)
	r.Figure(caseName, "wasted_tokens", 100*f.wasted/max(f.wasted+f.useful, 1), "% of generated")
	r.Figure(caseName, "runs_per_request", float64(f.runs)/float64(max(f.dispatched, 1)), "runs")
	seconds := (fleetTime - fleetWarm).Seconds() * float64(len(fleetSeeds))
	r.Figure(caseName, "useful_work", f.useful/seconds, "tokens/s")
	r.Figure(caseName, "prefix_hits", 100*float64(f.hits)/float64(max(f.starts, 1)), "% of runs")
}

func reportTimes(r *Report, caseName, metric string, times []time.Duration) {
	h := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for _, t := range times {
		_ = h.RecordValue(t.Microseconds())
	}
	for _, p := range []float64{50, 95, 99} {
		r.Figure(caseName, fmt.Sprintf("%s_p%.0f", metric, p), float64(h.ValueAtQuantile(p))/1e3, "ms")
	}
}
