package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/picker"
	"rattanhoist.example/rattanhoist/recorder"
	"rattanhoist.example/rattanhoist/tracer"
)

func (r *Router) pickerName(name string) string {
	if name == "" {
		return r.settings.Policy().Picker()
	}
	return name
}

func pickReason(picker string, c picker.Candidate) string {
	return fmt.Sprintf("%s: %d of this router's requests there, load %d of %d", picker, c.InFlight, c.Endpoint.Load(), c.Endpoint.Capacity())
}

func (r *Router) picker(name string) picker.Picker {
	name = r.pickerName(name)
	p, ok := r.pickers.Load(name)
	if !ok {
		made, _ := picker.New(name)
		p, _ = r.pickers.LoadOrStore(name, made)
	}
	return p.(picker.Picker)
}

func (r *Router) inFlightAt(endpoint string) *atomic.Int64 {
	n, ok := r.inFlight.Load(endpoint)
	if !ok {
		n, _ = r.inFlight.LoadOrStore(endpoint, &atomic.Int64{})
	}
	return n.(*atomic.Int64)
}

// pick returns an endpoint that may serve the request and is not in tried.
func (r *Router) pick(ctx context.Context, q *request, tried map[string]bool) (*rattanhoist.Endpoint, error) {
	now := time.Now()
	allowed := r.snapshot.Load().Allowed(q.workspace, q.service)
	var c []picker.Candidate
	for _, e := range r.tracker.Table().Service(q.service.Name) {
		if r.tracker.Usable(e, now) && !tried[e.Name()] && allowed(e) {
			c = append(c, picker.Candidate{Endpoint: e, InFlight: r.inFlightAt(e.Name()).Load()})
		}
	}
	_, span := tracer.Begin(ctx, tracer.HopPick)
	defer span.End(nil)
	i := r.picker(q.service.Picker).Pick(picker.Query{
		Now: now, Deadline: q.deadline, Zone: r.self.Zone(), Prefix: q.prefix,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, c)
	if i < 0 {
		return nil, rattanhoist.ErrNoEndpoint
	}
	kind := recorder.Picked
	if len(tried) > 0 {
		kind = recorder.Retried
	}
	r.record(q, recorder.Decision{
		Kind: kind, Endpoint: c[i].Endpoint.Name(), Candidates: len(c),
		Reason: pickReason(r.pickerName(q.service.Picker), c[i]),
	})
	return c[i].Endpoint, nil
}
