package router

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/picker"
)

func (r *Router) picker(name string) picker.Picker {
	if name == "" {
		name = r.settings.Policy().Picker()
	}
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
func (r *Router) pick(q *request, tried map[string]bool) (*rattanhoist.Endpoint, error) {
	now := time.Now()
	allowed := r.snapshot.Load().Allowed(q.workspace, q.service)
	var c []picker.Candidate
	for _, e := range r.tracker.Table().Service(q.service.Name) {
		if r.tracker.Usable(e, now) && !tried[e.Name()] && allowed(e) {
			c = append(c, picker.Candidate{Endpoint: e, InFlight: r.inFlightAt(e.Name()).Load()})
		}
	}
	i := r.picker(q.service.Picker).Pick(picker.Query{
		Now: now, Deadline: q.deadline, Zone: r.self.Zone(), Prefix: q.prefix,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, c)
	if i < 0 {
		return nil, rattanhoist.ErrNoEndpoint
	}
	return c[i].Endpoint, nil
}
