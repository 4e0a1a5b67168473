package measurer

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/picker"
)

// The experiment measures what choosing among endpoints costs a router.
var _ = register(Experiment{
	Name: "picker_slopes", Short: "Picks and admission at a router: processor time and memory by endpoints and waiting requests",
	Run: runPickerSlopes,
})

var pickStart = time.Unix(1_000_000, 0)

// pickSet returns a router's record of n endpoints and one table of them.
func pickSet(n int) (*picker.Ledger, *picker.Set) {
	l := picker.NewLedger(pickStart.Add(-time.Minute))
	return l, l.NewSet("llm", "zone-0", time.Hour, pickStart, pickEndpoints(n))
}

func pickEndpoints(n int) []*rattanhoist.Endpoint {
	es := make([]*rattanhoist.Endpoint, 0, n)
	for i := range n {
		es = append(es, rattanhoist.NewEndpoint(rattanhoist.EndpointFields{
			Name: fmt.Sprintf("worker-%05d", i), Service: "llm", Zone: zoneName(i), Incarnation: 1,
			Capacity: fleetCapacity, Load: int64(i % fleetCapacity), AnnouncedAt: pickStart,
		}))
	}
	return es
}

func runPickerSlopes(_ context.Context, r *Report) error {
	r.Slope("router", "pick_processor", "s", "endpoint", sweep(sizes(12, 216, 1000, 2000, 4100), pickSeconds))
	r.Slope("router", "table_processor", "s", "endpoint", sweep(sizes(216, 1000, 2000, 4100), tableSeconds))
	r.Slope("router", "refresh_processor", "s", "endpoint", sweep(sizes(216, 1000, 2000, 4100), refreshSeconds))
	r.Slope("router", "record_memory", "B", "endpoint", sweep(sizes(500, 1000, 2000, 4100), func(n int) float64 {
		es := pickEndpoints(n)
		defer runtime.KeepAlive(es)
		return heapBytes(func() any {
			l := picker.NewLedger(pickStart)
			for _, e := range es {
				l.Stats(e)
			}
			return l
		})
	}))
	r.Slope("router", "table_memory", "B", "endpoint and group of statements", sweep(sizes(500, 1000, 2000, 4100), func(n int) float64 {
		es := pickEndpoints(n)
		l := picker.NewLedger(pickStart)
		l.NewSet("llm", "zone-0", time.Hour, pickStart, es)
		defer runtime.KeepAlive(l)
		return heapBytes(func() any { return l.NewSet("llm", "zone-0", time.Hour, pickStart, es) })
	}))
	r.Slope("router", "admission_processor", "s", "waiting request", sweep(sizes(1, 64, 128, 256), admissionSeconds))
	return nil
}

// pickSeconds is the processor time of one pick by the product's own picker.
func pickSeconds(n int) float64 {
	const picks = 200_000
	_, s := pickSet(n)
	p, _ := picker.New(picker.Deadline)
	q := picker.Query{Now: pickStart, Deadline: pickStart.Add(20 * time.Second), PromptTokens: promptLength, MaxAnswer: meanAnswer}
	return processorSeconds(func() {
		for i := range picks {
			q.Seed, q.Prefix = uint64(i), uint64(i%fleetPrefixes)+1
			p.Pick(q, s)
		}
	}) / picks
}

// tableSeconds is the processor time of building one table.
func tableSeconds(n int) float64 {
	const rounds = 20
	es := pickEndpoints(n)
	l := picker.NewLedger(pickStart)
	return processorSeconds(func() {
		for range rounds {
			l.NewSet("llm", "zone-0", time.Hour, pickStart, es)
		}
	}) / rounds
}

// refreshSeconds is the processor time of noting all load reports once.
func refreshSeconds(n int) float64 {
	const rounds = 200
	_, s := pickSet(n)
	return processorSeconds(func() {
		for range rounds {
			s.Refresh()
		}
	}) / rounds
}

// admissionSeconds is the processor time of an arrival and an end while n
// requests wait.
func admissionSeconds(n int) float64 {
	const rounds = 5000
	s, _ := admitter.New(admitter.None)
	q := admitter.NewQueue(admitter.Bounds{MaxWaiting: n + 1, Workspace: n + 1}, s)
	id := uint64(0)
	arrive := func() {
		id++
		q.Step(0, admitter.Event{Kind: admitter.Arrive, InFlight: 1, Limit: 1, Request: admitter.Request{
			ID: id, Workspace: workspaceNames[id%fleetWorkspaces], Deadline: time.Hour + time.Duration(id), Tokens: meanAnswer, Service: time.Second,
		}})
	}
	for range n {
		arrive()
	}
	return processorSeconds(func() {
		for range rounds {
			arrive()
			q.Step(0, admitter.Event{Kind: admitter.Tick, Limit: 1})
		}
	}) / rounds
}
