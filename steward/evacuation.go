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

// zoneReturnTTL is how long routers are told that a zone returned to service: longer than
// an endpoint stays cold.
const zoneReturnTTL = time.Minute

// Evacuate returns nil once a majority has stored that the endpoints of a zone get no
// work, and governor.ErrUnknownZone for a zone that does not exist.
func (c *Control) Evacuate(ctx context.Context, zone string) error {
	return c.submitEvacuation(ctx, &messenger.EvacuationChange{Zone: zone})
}

// WithdrawEvacuation returns nil once a majority has stored that a zone is in service
// again, and governor.ErrUnknownZone for a zone that does not exist.
func (c *Control) WithdrawEvacuation(ctx context.Context, zone string) error {
	return c.submitEvacuation(ctx, &messenger.EvacuationChange{Zone: zone, Withdrawn: true})
}

// submitEvacuation commits every change, even if this keeper's copy already shows the
// wanted state: the copy may lag behind a later, opposite change.
func (c *Control) submitEvacuation(ctx context.Context, change *messenger.EvacuationChange) error {
	if !c.keeper.hasZone(change.Zone) {
		return merry.Errorf("%w: %q", governor.ErrUnknownZone, change.Zone)
	}
	err := c.keeper.commitChange(ctx, &messenger.FleetChange{Body: &messenger.FleetChange_Evacuation{Evacuation: change}})
	c.keeper.log.Info("evacuation order", zap.String("zone", change.Zone), zap.Bool("withdrawn", change.Withdrawn), zap.Error(err))
	return err
}

// hasZone reports whether the settings or a known endpoint name the zone.
func (s *Keeper) hasZone(zone string) bool {
	return s.node.Regions()[zone] != "" || zone == s.node.Zone() || s.registry.hasZone(zone)
}

// updateReturnTimes returns when zones returned to service, updated for a change of the
// evacuated zones and without the entries older than zoneReturnTTL.
func updateReturnTimes(now time.Time, old *committedState, next *governor.Evacuations) map[string]time.Time {
	out := maps.Clone(old.returnedAt)
	if out == nil {
		out = map[string]time.Time{}
	}
	for _, zone := range old.evacuations.Zones() {
		if !next.Includes(zone) {
			out[zone] = now
		}
	}
	maps.DeleteFunc(out, func(_ string, at time.Time) bool { return now.Sub(at) > zoneReturnTTL })
	return out
}

// evacuationsMessage returns the evacuations as sent to routers, nil if there never was
// one.
func (v *committedState) evacuationsMessage(now time.Time) *messenger.Evacuations {
	if v.evacuations.Revision() == 0 {
		return nil
	}
	m := v.evacuations.Message()
	for _, zone := range slices.Sorted(maps.Keys(v.returnedAt)) {
		if age := now.Sub(v.returnedAt[zone]); age < zoneReturnTTL {
			m.Returned = append(m.Returned, &messenger.ZoneReturn{Zone: zone, AgeMs: age.Milliseconds()})
		}
	}
	return m
}
