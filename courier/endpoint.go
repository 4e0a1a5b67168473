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
	f.removeLeaving(now)
	evacuated := f.evacuations.load()
	if f.roll.Revision() == f.appliedRevision && evacuated.revision == f.appliedEvacuations {
		return
	}
	f.appliedRevision, f.appliedEvacuations = f.roll.Revision(), evacuated.revision
	byService := map[string][]*predictor.Endpoint{}
	known := map[enroller.Incarnation]bool{}
	for _, s := range f.roll.Sightings(now) {
		if s.Leaving {
			continue
		}
		b, _ := enroller.BeatOf(s)
		e := f.endpoints[b.Incarnation]
		if e == nil {
			e = predictor.NewEndpoint(b)
			f.endpoints[b.Incarnation] = e
			f.o.Log.Info("endpoint in service", zap.Stringer("endpoint", b), zap.String("service", b.Service), zap.String("zone", b.Zone))
		}
		known[b.Incarnation] = true
		if evacuated.zones[b.Zone] {
			// What is under way there ends in peace.
			continue
		}
		byService[b.Service] = append(byService[b.Service], e)
	}
	f.warmup.apply(now, f)
	f.table.Replace(byService)
	for i := range f.endpoints {
		if known[i] {
			continue
		}
		delete(f.endpoints, i)
		if n, ok := f.roll.Known(i.ID); ok && n != i {
			// Its process has ended. Where no reset comes from there, the requests
			// that it still had would wait for it until their deadline.
			f.pool.End(i.String())
		} else {
			f.pool.Forget(i.String())
		}
		f.o.Log.Info("endpoint out of service", zap.Stringer("endpoint", i))
	}
}
