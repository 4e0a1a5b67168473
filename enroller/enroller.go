// Package enroller knows which endpoints there are: from their heartbeats,
// from what others have heard, and from leaves, which are final.
package enroller

import (
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// Beat is one heartbeat of an endpoint.
type Beat struct {
	// ID is the endpoint's incarnation.
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// Cold is how much longer the endpoint is slow after its start.
	Cold time.Duration
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64
}

type entry struct {
	beat  Beat
	heard time.Time
}

// Table is pure: time comes in as an argument. Not safe for concurrent use.
type Table struct {
	// Silence is after how long an endpoint without heartbeats is forgotten.
	silence time.Duration
	entries map[string]*entry
	// Left never loses an entry while the incarnation might still be heard.
	left map[string]time.Time
	// ByAddress holds the newest incarnation at each address.
	byAddress map[string]string
	revision  uint64
}

// leftKept is how long a leave is remembered here: far longer than the delay
// of any heartbeat.
const leftKept = 10 * time.Minute

// NewTable returns an empty table.
func NewTable(silence time.Duration) *Table {
	return &Table{silence: silence, entries: map[string]*entry{}, left: map[string]time.Time{}, byAddress: map[string]string{}}
}

// Revision grows with every change but the age of what is known.
func (t *Table) Revision() uint64 { return t.revision }

// Hear takes a heartbeat in that was made age ago. It reports whether it told
// anything but that the endpoint is alive.
func (t *Table) Hear(now time.Time, b Beat, age time.Duration) bool {
	if _, gone := t.left[b.ID]; gone || age > t.silence {
		return false
	}
	heard := now.Add(-age)
	e := t.entries[b.ID]
	if e == nil {
		return t.enter(now, b, heard)
	}
	if b.Sequence < e.beat.Sequence {
		return false
	}
	if heard.After(e.heard) {
		e.heard = heard
	}
	// Leaving is final for an incarnation: a heartbeat that was sent before it
	// and comes late must not bring work back.
	b.Leaving = b.Leaving || e.beat.Leaving
	news := b.Leaving != e.beat.Leaving || b.Address != e.beat.Address || b.Slots != e.beat.Slots
	e.beat = b
	if news {
		t.revision++
	}
	return news
}

// enter adds an incarnation. Another one at the same address has ended: a
// heartbeat of it that was held up must not bring it back, so it is forgotten
// for good.
func (t *Table) enter(now time.Time, b Beat, heard time.Time) bool {
	if old := t.byAddress[b.Address]; old != "" && old != b.ID {
		if o := t.entries[old]; o != nil && o.heard.After(heard) {
			return false
		}
		t.remove(old)
		t.left[old] = now
	}
	e := &entry{beat: b, heard: heard}
	t.entries[b.ID] = e
	t.byAddress[b.Address] = b.ID
	t.revision++
	return true
}

// Leave takes an incarnation out for good.
func (t *Table) Leave(now time.Time, id string) {
	if _, known := t.left[id]; known {
		return
	}
	t.left[id] = now
	t.remove(id)
	t.revision++
}

func (t *Table) remove(id string) {
	if e := t.entries[id]; e != nil {
		delete(t.entries, id)
		if t.byAddress[e.beat.Address] == id {
			delete(t.byAddress, e.beat.Address)
		}
	}
}

// Expire forgets endpoints that fell silent.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.entries {
		if now.Sub(e.heard) > t.silence {
			t.remove(id)
			t.revision++
		}
	}
	for id, at := range t.left {
		if now.Sub(at) > leftKept {
			delete(t.left, id)
		}
	}
}

// Sightings returns all endpoints with their ages, by id.
func (t *Table) Sightings(now time.Time) []*messenger.Sighting {
	var out []*messenger.Sighting
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		out = append(out, t.entries[id].sighting(now))
	}
	return out
}

func (e *entry) sighting(now time.Time) *messenger.Sighting {
	b := e.beat
	return &messenger.Sighting{
		Id: b.ID, Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: uint32(max(b.Slots, 0)),
		Leaving: b.Leaving, AgeMs: max(now.Sub(e.heard), 0).Milliseconds(), ColdMs: b.Cold.Milliseconds(), Sequence: b.Sequence,
	}
}

// BeatOf returns the heartbeat that a sighting tells of, and its age.
func BeatOf(s *messenger.Sighting) (Beat, time.Duration) {
	return Beat{
		ID: s.Id, Service: s.Service, Address: s.Address, Zone: s.Zone, Slots: int(s.Slots), Leaving: s.Leaving,
		Cold: time.Duration(s.ColdMs) * time.Millisecond, Sequence: s.Sequence,
	}, time.Duration(s.AgeMs) * time.Millisecond
}
