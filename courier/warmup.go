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

// warmup limits what this router sends to cold and rate limited endpoints. It belongs to
// the goroutine of the fleet's run.
type warmup struct {
	members          *warmer.Members
	overshoot, slack float64
	// RateLimit is the fleet's bound on a rate limited endpoint; PerSecond is unset.
	rateLimit warmer.Limit
	// Cold holds the endpoints whose gates were closed last.
	cold map[enroller.Incarnation]bool
}

func newWarmup(o Options) *warmup {
	w := &warmup{
		members: warmer.NewMembers(warmer.Member{Address: o.Node.Internal(), Zone: o.Node.Zone()}),
		cold:    map[enroller.Incarnation]bool{},
	}
	w.overshoot, w.slack = o.Node.Cold()
	w.rateLimit.Overshoot, w.rateLimit.Slack, w.rateLimit.Window = o.Node.RateLimit()
	w.rateLimit.MinPerSecond = minLimitedRate
	return w
}

// observe takes in the routers that a keeper tells of whose copy a majority confirmed
// lately.
func (w *warmup) observe(now time.Time, routers []*messenger.FleetMember) {
	list := make([]warmer.Member, len(routers))
	for i, m := range routers {
		list[i] = warmer.Member{Address: m.Address, Zone: m.Zone}
	}
	w.members.Observe(now, list)
}

// apply sets the gates of cold endpoints. An endpoint of a zone that was evacuated counts
// as cold for as long as one that starts: it may have become so shortly before the return.
// Before the first document, which knows the limits, cold endpoints get nothing.
func (w *warmup) apply(now time.Time, f *fleet) {
	if !w.applies(f) {
		return
	}
	x, byBeat, returned := f.index.Load(), f.roll.ColdUntil(now), f.evacuations.load().returned
	for i, e := range f.endpoints {
		w.applyRateLimit(now, e)
		until, cold := byBeat[i], publisher.Cold{}
		if x != nil {
			service := x.Service(e.Beat().Service)
			if service == nil || service.Cold.PerSecond <= 0 {
				w.limit(now, e, time.Time{}, cold)
				continue
			}
			cold = service.Cold
		}
		if at, ok := returned[e.Beat().Zone]; ok && at.Add(cold.Duration).After(until) {
			until = at.Add(cold.Duration)
		}
		w.limit(now, e, until, cold)
	}
	maps.DeleteFunc(w.cold, func(i enroller.Incarnation, _ bool) bool { return f.endpoints[i] == nil })
}

// applies reports whether the gate of any endpoint may have to be set.
func (w *warmup) applies(f *fleet) bool {
	x := f.index.Load()
	if x == nil || len(w.cold) > 0 || f.rateLimited.Load() {
		return true
	}
	return slices.ContainsFunc(x.Document().Services, func(s publisher.Service) bool { return s.Cold.PerSecond > 0 })
}

func (w *warmup) limit(now time.Time, e *predictor.Endpoint, until time.Time, c publisher.Cold) {
	b := e.Beat()
	if !until.After(now) {
		if w.cold[b.Incarnation] {
			delete(w.cold, b.Incarnation)
			e.Warmup().Set(now, until, warmer.Share{}, time.Time{})
		}
		return
	}
	w.cold[b.Incarnation] = true
	owners, share := warmer.Limit{PerSecond: c.PerSecond, Overshoot: w.overshoot, Slack: w.slack, Window: time.Second}.Split()
	e.Warmup().Set(now, until, share, w.ownedUntil(now, e, owners))
}

// ownedUntil returns until when this router may act as an owner of an endpoint, or the
// zero time if it is none.
func (w *warmup) ownedUntil(now time.Time, e *predictor.Endpoint, owners int) time.Time {
	if !w.members.Owns(e.Name(), e.Beat().Zone, owners) {
		return time.Time{}
	}
	return w.members.Until(now)
}
