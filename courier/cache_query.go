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
	// cacheQueryWindow is how long after its start a router queries the prefix caches of
	// engines. Of engines that start later, it learns the contents from the beginning.
	cacheQueryWindow  = 10 * time.Second
	cacheQueryTimeout = 500 * time.Millisecond
	// maxCacheQueries is the maximum number of prefix cache queries that a starting router
	// sends: each takes a connection.
	maxCacheQueries = 24
)

// queryCaches queries the prefix cache of each engine in service once. After a restart of
// all routers, none of them knows the cache contents. At the first start of a fleet, the
// caches are empty and are not queried.
func (f *fleetView) queryCaches(ctx context.Context) {
	x := f.index.Load()
	if f.options.QueryCache == nil || x == nil || f.options.Node.FirstStart() || time.Since(f.startedAt) > cacheQueryWindow {
		return
	}
	for _, e := range f.enginesToQuery(x) {
		f.cacheQueried[e.Beat().Incarnation] = true
		go f.queryCache(ctx, e)
	}
}

// enginesToQuery returns the engines whose caches to query now. Those of this router's zone
// come first, each zone group in random order.
func (f *fleetView) enginesToQuery(x *publisher.Index) []*predictor.Endpoint {
	var here, elsewhere []*predictor.Endpoint
	for i, e := range f.endpoints {
		b := e.Beat()
		switch s := x.Service(b.Service); {
		case f.cacheQueried[i] || s == nil || e.Warmup().Restricted(time.Now()) || s.Engine == nil || f.evacuations.load().zones[b.Zone]:
		case b.Zone == f.self.Zone:
			here = append(here, e)
		default:
			elsewhere = append(elsewhere, e)
		}
	}
	shuffle(here)
	shuffle(elsewhere)
	all := append(here, elsewhere...)
	return all[:min(len(all), max(maxCacheQueries-len(f.cacheQueried), 0))]
}

func shuffle(list []*predictor.Endpoint) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// queryCache queries the prefix cache of an engine and records its contents and state.
func (f *fleetView) queryCache(ctx context.Context, e *predictor.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, cacheQueryTimeout)
	defer cancel()
	sentAt := time.Now()
	parts, state, err := f.options.QueryCache(ctx, e.Beat().Address)
	if state != nil {
		f.Observe(e, *state, sentAt)
	}
	if err != nil {
		f.options.Log.Warn("prefix cache query failed", zap.String("endpoint", e.Name()), zap.Error(err))
		return
	}
	e.AddCachedParts(parts)
	f.options.Log.Info("endpoint keeps", zap.String("endpoint", e.Name()), zap.Int("parts", len(parts)))
}
