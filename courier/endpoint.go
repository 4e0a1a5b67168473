package courier

import (
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/predictor"
)

// silentBeats is how many heartbeats an endpoint may miss while keepers
// are in reach: two more than at the keepers, whose word comes first.
const silentBeats = 8

// show puts the known endpoints in service. While no keeper answers, nobody is
// forgotten for silence: what is heard of endpoints comes from keepers.
func (f *fleet) show(now time.Time) {
	if !f.lost && f.outOfTouch() {
		f.lost = true
		f.o.Log.Warn("no keeper answers; serving what is known", zap.Duration("silence", f.untouched()), zap.NamedError("last_failure", f.failure))
	}
	if now.Sub(f.touchedAt) < touchGap && now.Sub(f.touchSince) > silentBeats*f.o.Node.Heartbeat() {
		f.roll.Expire(now)
	}
	if f.roll.Revision() == f.shown {
		return
	}
	f.shown = f.roll.Revision()
	byService := map[string][]*predictor.Endpoint{}
	known := map[string]bool{}
	for _, s := range f.roll.Sightings(now) {
		if s.Leaving {
			continue
		}
		b, _ := enroller.BeatOf(s)
		e := f.endpoints[b.ID]
		if e == nil {
			e = predictor.NewEndpoint(b)
			f.endpoints[b.ID] = e
			f.o.Log.Info("endpoint in service", zap.String("endpoint", b.ID), zap.String("service", b.Service), zap.String("zone", b.Zone))
		}
		known[b.ID] = true
		byService[b.Service] = append(byService[b.Service], e)
	}
	f.table.Replace(byService)
	for id := range f.endpoints {
		if !known[id] {
			delete(f.endpoints, id)
			f.pool.Forget(id)
			f.o.Log.Info("endpoint out of service", zap.String("endpoint", id))
		}
	}
}
