package governor

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

// ErrUnknownZone says that there is no such availability zone. Compare with errors.Is.
var ErrUnknownZone = merry.Sentinel("unknown availability zone")

// Evacuations are the availability zones whose endpoints get no work; immutable.
type Evacuations struct {
	revision uint64
	// Zones is sorted.
	zones []string
}

// Revision counts the changes so far; of two states the one with the higher
// revision is newer.
func (e *Evacuations) Revision() uint64 { return e.revision }

// Zones returns the evacuated zones, sorted; callers must not change it.
func (e *Evacuations) Zones() []string { return e.zones }

// Includes reports whether a zone is evacuated.
func (e *Evacuations) Includes(zone string) bool {
	_, found := slices.BinarySearch(e.zones, zone)
	return found
}

// after returns the state after a change. An order that is sent again finds its
// zone as it asks for and changes nothing.
func (e *Evacuations) after(c *messenger.EvacuationChange) *Evacuations {
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

// evacuationsOf returns the state that a message holds; none for a nil message.
func evacuationsOf(m *messenger.Evacuations) *Evacuations {
	return &Evacuations{revision: m.GetRevision(), zones: m.GetZones()}
}
