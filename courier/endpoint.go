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
	changes := endpointChanges{log: f.o.Log}
	for _, s := range f.roll.Sightings(now) {
		if s.Leaving {
			continue
		}
		b, _ := enroller.BeatOf(s)
		e := f.endpoints[b.Incarnation]
		if e == nil {
			e = predictor.NewEndpoint(b)
			f.endpoints[b.Incarnation] = e
			changes.entered(b)
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
		changes.left(i)
	}
	changes.summarize(len(known))
}

// maxEndpointLines bounds the log lines on single endpoints for one change of the list: a
// router that starts hears of all of them at once.
const maxEndpointLines = 16

// endpointChanges logs what one change of the list of endpoints puts in and out of service.
type endpointChanges struct {
	log     *zap.Logger
	in, out int
}

func (c *endpointChanges) entered(b enroller.Beat) {
	if c.in++; c.in <= maxEndpointLines {
		c.log.Info("endpoint in service", zap.Stringer("endpoint", b), zap.String("service", b.Service), zap.String("zone", b.Zone))
	}
}

func (c *endpointChanges) left(i enroller.Incarnation) {
	if c.out++; c.out <= maxEndpointLines {
		c.log.Info("endpoint out of service", zap.Stringer("endpoint", i))
	}
}

// summarize logs the numbers where lines on single endpoints were left out.
func (c *endpointChanges) summarize(known int) {
	if c.in > maxEndpointLines || c.out > maxEndpointLines {
		c.log.Info("endpoints changed", zap.Int("in_service", c.in), zap.Int("out_of_service", c.out), zap.Int("known", known))
	}
}
