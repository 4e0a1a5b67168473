package courier

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
)

const (
	// cacheQueryWindow is how long after its start a router queries prefix caches; of
	// endpoints that start later it hears from the beginning.
	cacheQueryWindow  = 10 * time.Second
	cacheQueryTimeout = 500 * time.Millisecond
	// maxCacheQueries bounds the prefix cache queries of one starting router: each takes
	// a connection.
	maxCacheQueries = 24
)

// askKept queries the prefix caches of engines that came into service, once each: after a
// restart of all routers nobody knows them. At the first start of a fleet there is nothing
// to know.
func (f *fleet) askKept(ctx context.Context) {
	x := f.index.Load()
	if f.o.Kept == nil || x == nil || f.o.Node.FirstStart() || time.Since(f.start) > cacheQueryWindow {
		return
	}
	for _, e := range f.unasked(x) {
		f.keptAsked[e.Beat().Incarnation] = true
		go f.learnKept(ctx, e)
	}
}

// unasked returns the engines to ask now, in an order of this router's own.
func (f *fleet) unasked(x *publisher.Index) []*predictor.Endpoint {
	var here, elsewhere []*predictor.Endpoint
	for i, e := range f.endpoints {
		b := e.Beat()
		switch s := x.Service(b.Service); {
		case f.keptAsked[i] || s == nil || e.Warmup().Restricted(time.Now()) || s.Engine == nil || f.evacuations.load().zones[b.Zone]:
		case b.Zone == f.self.Zone:
			here = append(here, e)
		default:
			elsewhere = append(elsewhere, e)
		}
	}
	shuffle(here)
	shuffle(elsewhere)
	all := append(here, elsewhere...)
	return all[:min(len(all), max(maxCacheQueries-len(f.keptAsked), 0))]
}

func shuffle(list []*predictor.Endpoint) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

func (f *fleet) learnKept(ctx context.Context, e *predictor.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, cacheQueryTimeout)
	defer cancel()
	sentAt := time.Now()
	parts, state, err := f.o.Kept(ctx, e.Beat().Address)
	if state != nil {
		f.Observe(e, *state, sentAt)
	}
	if err != nil {
		f.o.Log.Warn("endpoint's kept parts unknown", zap.String("endpoint", e.Name()), zap.Error(err))
		return
	}
	e.Keeps(parts)
	f.o.Log.Info("endpoint keeps", zap.String("endpoint", e.Name()), zap.Int("parts", len(parts)))
}
