package courier

import (
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
	"rattanhoist.example/rattanhoist/warmer"
)

// warmup limits the requests that this router sends to cold and rate limited endpoints. It
// is only used by the goroutine of fleetView.run.
type warmup struct {
	members          *warmer.Members
	overshoot, slack float64
	// rateLimit is the limit of the fleet for a rate limited endpoint. PerSecond is not set.
	rateLimit warmer.Limit
	// cold holds the endpoints that have been limited as cold.
	cold map[enroller.Incarnation]bool
}

func newWarmup(o Options) *warmup {
	w := &warmup{
		members: warmer.NewMembers(warmer.Member{Address: o.Node.Internal(), Zone: o.Node.Zone()}),
		cold:    map[enroller.Incarnation]bool{},
	}
	w.overshoot, w.slack = o.Node.ColdLimit()
	w.rateLimit.Overshoot, w.rateLimit.Slack, w.rateLimit.Window = o.Node.RateLimit()
	w.rateLimit.MinPerSecond = minLimitedRate
	return w
}

// observe records the routers that a keeper listed, whose copy a majority confirmed recently.
func (w *warmup) observe(now time.Time, routers []*messenger.FleetMember) {
	list := make([]warmer.Member, len(routers))
	for i, m := range routers {
		list[i] = warmer.Member{Address: m.Address, Zone: m.Zone}
	}
	w.members.Observe(now, list)
}

// applyLimits sets the limits of cold and rate limited endpoints. After the evacuation of a
// zone, its endpoints count as cold for as long as newly started ones, because they may
// have been started shortly before the return. Before the first document, which contains
// the limits, cold endpoints get no requests.
func (w *warmup) applyLimits(now time.Time, f *fleetView) {
	if !w.needsUpdate(f) {
		return
	}
	x, byBeat, returned := f.index.Load(), f.registered.ColdUntil(now), f.evacuations.load().returned
	for i, e := range f.endpoints {
		w.applyRateLimit(now, e)
		w.applyRejectionLimit(now, e)
		until, cold := byBeat[i], publisher.ColdStart{}
		if x != nil {
			service := x.Service(e.Beat().Service)
			if service == nil || service.ColdStart.MaxRequestsPerSecond <= 0 {
				w.setColdLimit(now, e, time.Time{}, cold)
				continue
			}
			cold = service.ColdStart
		}
		if at, ok := returned[e.Beat().Zone]; ok && at.Add(cold.Duration).After(until) {
			until = at.Add(cold.Duration)
		}
		w.setColdLimit(now, e, until, cold)
	}
	maps.DeleteFunc(w.cold, func(i enroller.Incarnation, _ bool) bool { return f.endpoints[i] == nil })
}

// applyRejectionLimit sets this router's share of the requests that an endpoint might reject.
func (w *warmup) applyRejectionLimit(now time.Time, e *predictor.Endpoint) {
	l := e.Warmup().RejectionLimit()
	if !l.Limited {
		return
	}
	owners, share := warmer.Limit{PerSecond: l.PerSecond, Overshoot: 1, Window: time.Second}.Split()
	e.Warmup().SetRejectionShare(now, share, w.ownedUntil(now, e, owners))
}

// needsUpdate reports whether the limits of any endpoint may have to be set.
func (w *warmup) needsUpdate(f *fleetView) bool {
	x := f.index.Load()
	if x == nil || len(w.cold) > 0 || f.rateLimited.Load() || f.rejectionsLimited.Load() {
		return true
	}
	return slices.ContainsFunc(x.Document().Services, func(s publisher.Service) bool { return s.ColdStart.MaxRequestsPerSecond > 0 })
}

// setColdLimit sets this router's share of the rate of a cold endpoint, or removes the limit
// once the endpoint is no longer cold.
func (w *warmup) setColdLimit(now time.Time, e *predictor.Endpoint, until time.Time, c publisher.ColdStart) {
	b := e.Beat()
	if !until.After(now) {
		if w.cold[b.Incarnation] {
			delete(w.cold, b.Incarnation)
			e.Warmup().SetCold(now, until, warmer.Share{}, time.Time{})
		}
		return
	}
	w.cold[b.Incarnation] = true
	owners, share := warmer.Limit{PerSecond: c.MaxRequestsPerSecond, Overshoot: w.overshoot, Slack: w.slack, Window: time.Second}.Split()
	e.Warmup().SetCold(now, until, share, w.ownedUntil(now, e, owners))
}

// ownedUntil returns the time until which this router may act as an owner of an endpoint,
// or the zero time if it isn't an owner.
func (w *warmup) ownedUntil(now time.Time, e *predictor.Endpoint, owners int) time.Time {
	if !w.members.IsOwner(e.Name(), e.Beat().Zone, owners) {
		return time.Time{}
	}
	return w.members.OwnerUntil(now)
}
