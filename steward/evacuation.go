package steward

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
)

// returnTTL is how long routers are told that a zone was put back in service: longer
// than an endpoint stays cold.
const returnTTL = time.Minute

// Evacuate returns nil once a majority holds that endpoints of a zone get no work, and
// governor.ErrUnknownZone for a zone that does not exist.
func (c *Control) Evacuate(ctx context.Context, zone string) error {
	return c.evacuation(ctx, &messenger.EvacuationChange{Zone: zone})
}

// Withdraw returns nil once a majority holds that a zone is in service again, and
// governor.ErrUnknownZone for a zone that does not exist.
func (c *Control) Withdraw(ctx context.Context, zone string) error {
	return c.evacuation(ctx, &messenger.EvacuationChange{Zone: zone, Withdrawn: true})
}

// evacuation commits each order, also one that this keeper's copy has already: the copy
// may lag behind a later order that was the opposite.
func (c *Control) evacuation(ctx context.Context, change *messenger.EvacuationChange) error {
	if !c.s.hasZone(change.Zone) {
		return merry.Errorf("%w: %q", governor.ErrUnknownZone, change.Zone)
	}
	err := c.s.mustOrder(ctx, &messenger.FleetChange{Body: &messenger.FleetChange_Evacuation{Evacuation: change}})
	c.s.log.Info("evacuation order", zap.String("zone", change.Zone), zap.Bool("withdrawn", change.Withdrawn), zap.Error(err))
	return err
}

// hasZone reports whether the settings, or an endpoint, name a zone.
func (s *Steward) hasZone(zone string) bool {
	return s.node.Regions()[zone] != "" || zone == s.node.Zone() || s.roster.hasZone(zone)
}

// returnedZones returns when zones were put back in service, after a change of the
// evacuated ones.
func returnedZones(now time.Time, old *view, next *governor.Evacuations) map[string]time.Time {
	out := maps.Clone(old.returned)
	if out == nil {
		out = map[string]time.Time{}
	}
	for _, zone := range old.evacuations.Zones() {
		if !next.Includes(zone) {
			out[zone] = now
		}
	}
	maps.DeleteFunc(out, func(_ string, at time.Time) bool { return now.Sub(at) > returnTTL })
	return out
}

// evacuationsAt returns what routers are told.
func (v *view) evacuationsAt(now time.Time) *messenger.Evacuations {
	if v.evacuations.Revision() == 0 {
		return nil
	}
	m := v.evacuations.Message()
	for _, zone := range slices.Sorted(maps.Keys(v.returned)) {
		if age := now.Sub(v.returned[zone]); age < returnTTL {
			m.Returned = append(m.Returned, &messenger.ZoneReturn{Zone: zone, AgeMs: age.Milliseconds()})
		}
	}
	return m
}
