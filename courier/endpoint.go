package courier

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/predictor"
)

// maxMissedHeartbeats is how many heartbeats an endpoint may miss before this router
// removes it, if keepers are reachable. It is two more than the keepers' own limit, so that
// they decide first.
const maxMissedHeartbeats = 8

// isReplaced reports whether another incarnation is in service at the address of an endpoint. It is
// safe for concurrent use.
func (f *fleetView) isReplaced(b enroller.Heartbeat) bool {
	return slices.ContainsFunc(f.table.Endpoints(b.Service), func(e *predictor.Endpoint) bool {
		return e.Beat().Address == b.Address && e.Beat().Incarnation != b.Incarnation
	})
}

// applyEndpoints puts the known endpoints in service and removes the others. While no keeper reports
// endpoints, they don't expire, because heartbeats are only known through keepers.
func (f *fleetView) applyEndpoints(now time.Time) {
	if !f.disconnectLogged && f.disconnected() {
		f.disconnectLogged = true
		f.options.Log.Warn("no keeper answers; serving what is known", zap.Duration("silence", f.sinceContact()), zap.NamedError("last_failure", f.lastFailure))
	}
	if now.Sub(f.endpointsAt) < maxContactGap && now.Sub(f.endpointsSince) > maxMissedHeartbeats*f.options.Node.Heartbeat() {
		f.registered.Expire(now)
	}
	f.logLeavesAge(now)
	f.removeLeaving(now)
	defer f.publishVersions(now)
	evacuated := f.evacuations.load()
	if f.registered.Revision() == f.appliedRevision && evacuated.revision == f.appliedEvacuations {
		return
	}
	f.appliedRevision, f.appliedEvacuations = f.registered.Revision(), evacuated.revision
	byService := map[string][]*predictor.Endpoint{}
	known := map[enroller.Incarnation]bool{}
	changes := endpointChanges{log: f.options.Log}
	for _, s := range f.registered.Sightings(now) {
		if s.Leaving {
			continue
		}
		b, _ := enroller.HeartbeatFromSighting(s)
		e := f.endpoints[b.Incarnation]
		if e == nil {
			e = predictor.NewEndpoint(b)
			f.endpoints[b.Incarnation] = e
			changes.added(b)
		}
		if e.Version() != b.Version {
			if e.Version() != "" {
				changes.versionChanged(b, e.Version())
			}
			e.SetVersion(b.Version)
		}
		known[b.Incarnation] = true
		if evacuated.zones[b.Zone] {
			// Its zone is evacuated: it gets no new requests, and those in progress complete.
			continue
		}
		byService[b.Service] = append(byService[b.Service], e)
	}
	f.warmup.applyLimits(now, f)
	f.table.Replace(byService)
	f.versionGauges.update(byService)
	for i := range f.endpoints {
		if known[i] {
			continue
		}
		delete(f.endpoints, i)
		if n, ok := f.registered.Current(i.ID); ok && n != i {
			// The process of this incarnation has ended. If no TCP reset arrives from
			// there, its requests would wait until their deadlines.
			f.pool.CloseAll(i.String())
		} else {
			f.pool.CloseIdle(i.String())
		}
		changes.removed(i)
	}
	changes.summarize(len(known))
}

// maxEndpointLogLines is the maximum number of log lines on single endpoints per change. A
// starting router learns of all endpoints in one change.
const maxEndpointLogLines = 16

// endpointChanges logs the endpoints that one change puts in and out of service.
type endpointChanges struct {
	log                      *zap.Logger
	addedCount, removedCount int
}

// added records and logs an endpoint that came into service.
func (c *endpointChanges) added(b enroller.Heartbeat) {
	if c.addedCount++; c.addedCount <= maxEndpointLogLines {
		c.log.Info("endpoint in service", zap.Stringer("endpoint", b), zap.String("service", b.Service), zap.String("zone", b.Zone), zap.String("version", string(b.Version)))
	}
}

// versionChanged logs that the heartbeats of an endpoint state another version than before.
func (c *endpointChanges) versionChanged(b enroller.Heartbeat, old enroller.Version) {
	c.log.Warn("endpoint changed its version", zap.Stringer("endpoint", b), zap.String("version", string(b.Version)), zap.String("before", string(old)))
}

// removed records and logs an endpoint that left service.
func (c *endpointChanges) removed(i enroller.Incarnation) {
	if c.removedCount++; c.removedCount <= maxEndpointLogLines {
		c.log.Info("endpoint out of service", zap.Stringer("endpoint", i))
	}
}

// summarize logs the totals if lines on single endpoints were left out.
func (c *endpointChanges) summarize(known int) {
	if c.addedCount > maxEndpointLogLines || c.removedCount > maxEndpointLogLines {
		c.log.Info("endpoints changed", zap.Int("in_service", c.addedCount), zap.Int("out_of_service", c.removedCount), zap.Int("known", known))
	}
}
