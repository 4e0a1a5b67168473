package governor

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

// ErrUnknownZone says that an availability zone does not exist. Compare with errors.Is.
var ErrUnknownZone = merry.Sentinel("unknown availability zone")

// Evacuations are the availability zones whose endpoints get no work; immutable.
type Evacuations struct {
	revision uint64
	// zones is sorted.
	zones []string
}

// Revision counts the changes so far; of two states the one with the higher revision is
// newer.
func (e *Evacuations) Revision() uint64 { return e.revision }

// Zones returns the evacuated zones, sorted; callers must not change it.
func (e *Evacuations) Zones() []string { return e.zones }

// Includes reports whether a zone is evacuated.
func (e *Evacuations) Includes(zone string) bool {
	_, found := slices.BinarySearch(e.zones, zone)
	return found
}

// apply returns the state after a change. A repeated change finds its zone in the wanted
// state already and has no effect.
func (e *Evacuations) apply(c *messenger.EvacuationChange) *Evacuations {
	i, found := slices.BinarySearch(e.zones, c.Zone)
	if found != c.Withdrawn {
		return e
	}
	zones := slices.Clone(e.zones)
	if c.Withdrawn {
		zones = slices.Delete(zones, i, i+1)
	} else {
		zones = slices.Insert(zones, i, c.Zone)
	}
	return &Evacuations{revision: e.revision + 1, zones: zones}
}

// Message returns the state as it is sent and stored.
func (e *Evacuations) Message() *messenger.Evacuations {
	return &messenger.Evacuations{Revision: e.revision, Zones: e.zones}
}

// evacuationsFromMessage returns the state that a message holds, and the empty state for a
// nil message.
func evacuationsFromMessage(m *messenger.Evacuations) *Evacuations {
	return &Evacuations{revision: m.GetRevision(), zones: m.GetZones()}
}
