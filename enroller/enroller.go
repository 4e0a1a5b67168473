// Package enroller knows which endpoints there are: from their heartbeats,
// from what others have heard, and from leaves, which are final.
package enroller

import (
	"maps"
	"slices"
	"time"
	"unique"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

// ErrUnusable says that a heartbeat names no endpoint that can be used: some
// other program wrote it. Compare with errors.Is.
var ErrUnusable = merry.Sentinel("heartbeat is unusable")

// Beat is one heartbeat of an endpoint.
type Beat struct {
	Incarnation
	// Service never changes in an incarnation.
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
	// ColdUntil is when the endpoint is warm, as it said last.
	coldUntil time.Time
	// Revision is the table's at the last change.
	revision uint64
}

// departure is the end of an incarnation: it and all that were born before it
// under the same id are gone for good.
type departure struct {
	bornMS int64
	at     time.Time
}

// Table is pure: time comes in as an argument. Not safe for concurrent use.
type Table struct {
	// Silence is after how long an endpoint without heartbeats is forgotten.
	silence time.Duration
	// Entries holds by id the newest incarnation: of two under one id, the
	// older one has ended.
	entries map[string]*entry
	// Left holds by id the last incarnation that ended. It never loses one
	// that might still be heard.
	left map[string]departure
	// ByAddress holds the id of the newest incarnation at each address.
	byAddress map[string]string
	revision  uint64
	// Views holds by availability zone what routers are told.
	views map[string]*View
}

// leftKept is how long a leave is remembered here: far longer than the delay
// of any heartbeat.
const leftKept = 10 * time.Minute

// coldSlack is by how much two statements of one cold spell may differ.
const coldSlack = 500 * time.Millisecond

// NewTable returns an empty table.
func NewTable(silence time.Duration) *Table {
	return &Table{silence: silence, entries: map[string]*entry{}, left: map[string]departure{}, byAddress: map[string]string{}, views: map[string]*View{}}
}

// Revision grows with every change but the age of what is known.
func (t *Table) Revision() uint64 { return t.revision }

// Known returns the newest incarnation under an id.
func (t *Table) Known(id string) (Incarnation, bool) {
	e := t.entries[id]
	if e == nil {
		return Incarnation{}, false
	}
	return e.beat.Incarnation, true
}

// HasZone reports whether an endpoint of a zone is known.
func (t *Table) HasZone(zone string) bool {
	for _, e := range t.entries {
		if e.beat.Zone == zone {
			return true
		}
	}
	return false
}

// Accepts reports whether a heartbeat agrees with what is known of its id: an
// incarnation stays with its service, and one that has told its start goes on
// telling it. Anything else was not written by that endpoint.
func (t *Table) Accepts(b Beat) bool {
	e := t.entries[b.ID]
	if e == nil {
		return true
	}
	if b.BornMS == 0 && e.beat.BornMS != 0 {
		return false
	}
	return b.Incarnation != e.beat.Incarnation || b.Service == e.beat.Service
}

// Hear takes a heartbeat in that was made age ago. It reports whether it told
// anything but that the endpoint is alive.
func (t *Table) Hear(now time.Time, b Beat, age time.Duration) bool {
	if t.hasLeft(b.Incarnation) || age > t.silence || !t.Accepts(b) {
		return false
	}
	heard := now.Add(-age)
	e := t.entries[b.ID]
	switch {
	case e == nil:
		return t.enter(now, b, heard)
	case b.BornMS < e.beat.BornMS:
		// Held up since before the endpoint started again.
		return false
	case b.BornMS > e.beat.BornMS:
		t.end(now, e.beat.Incarnation)
		return t.enter(now, b, heard)
	case b.Sequence < e.beat.Sequence:
		return false
	}
	if heard.After(e.heard) {
		e.heard = heard
	}
	// Leaving is final for an incarnation: a heartbeat that was sent before it
	// and comes late must not bring work back.
	b.Leaving = b.Leaving || e.beat.Leaving
	coldUntil := heard.Add(b.Cold)
	news := b.Leaving != e.beat.Leaving || b.Address != e.beat.Address || b.Slots != e.beat.Slots ||
		b.Cold > 0 && coldUntil.Sub(e.coldUntil) > coldSlack
	if b.Sequence > e.beat.Sequence || coldUntil.After(e.coldUntil) {
		e.coldUntil = coldUntil
	}
	e.beat = b
	if news {
		t.revision++
		e.revision = t.revision
	}
	return news
}

// ColdUntil returns until when endpoints are cold that are now, by incarnation.
func (t *Table) ColdUntil(now time.Time) map[Incarnation]time.Time {
	out := map[Incarnation]time.Time{}
	for _, e := range t.entries {
		if e.coldUntil.After(now) {
			out[e.beat.Incarnation] = e.coldUntil
		}
	}
	return out
}

// enter adds an incarnation. Another one at the same address has ended: a
// heartbeat of it that was held up must not bring it back, so it is forgotten
// for good.
func (t *Table) enter(now time.Time, b Beat, heard time.Time) bool {
	if old := t.byAddress[b.Address]; old != "" && old != b.ID {
		if o := t.entries[old]; o != nil {
			if o.heard.After(heard) {
				return false
			}
			t.end(now, o.beat.Incarnation)
		}
	}
	t.revision++
	t.entries[b.ID] = &entry{beat: b, heard: heard, coldUntil: heard.Add(b.Cold), revision: t.revision}
	t.byAddress[b.Address] = b.ID
	return true
}

// Leave takes an incarnation out for good. One without a start stands for the
// incarnation that is known now: the message that says so names the id alone.
func (t *Table) Leave(now time.Time, i Incarnation) {
	if _, known := t.left[i.ID]; known && i.BornMS == 0 || t.hasLeft(i) {
		return
	}
	if k, ok := t.Known(i.ID); ok && i.BornMS == 0 {
		i = k
	}
	t.end(now, i)
	t.revision++
}

// hasLeft reports whether an incarnation has ended.
func (t *Table) hasLeft(i Incarnation) bool {
	d, ok := t.left[i.ID]
	return ok && i.BornMS <= d.bornMS
}

// end notes that an incarnation and those before it under its id are gone.
func (t *Table) end(now time.Time, i Incarnation) {
	t.left[i.ID] = departure{bornMS: i.BornMS, at: now}
	if e := t.entries[i.ID]; e != nil && e.beat.BornMS <= i.BornMS {
		t.remove(i.ID)
	}
}

func (t *Table) remove(id string) {
	if e := t.entries[id]; e != nil {
		t.revision++
		delete(t.entries, id)
		if t.byAddress[e.beat.Address] == id {
			delete(t.byAddress, e.beat.Address)
		}
	}
}

// Forget takes an incarnation out that may be heard again.
func (t *Table) Forget(i Incarnation) {
	if e := t.entries[i.ID]; e != nil && e.beat.Incarnation == i {
		t.remove(i.ID)
	}
}

// Alive notes that an incarnation was alive at a moment.
func (t *Table) Alive(at time.Time, i Incarnation) {
	if e := t.entries[i.ID]; e != nil && e.beat.Incarnation == i && at.After(e.heard) {
		e.heard = at
	}
}

// Expire forgets endpoints that fell silent.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.entries {
		if now.Sub(e.heard) > t.silence {
			t.remove(id)
		}
	}
	for id, d := range t.left {
		if now.Sub(d.at) > leftKept {
			delete(t.left, id)
		}
	}
}

// SightingsOf returns the endpoints of ids with their ages, by id; unknown ids are left out.
func (t *Table) SightingsOf(now time.Time, ids map[string]bool) []*messenger.Sighting {
	var out []*messenger.Sighting
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if e := t.entries[id]; e != nil {
			out = append(out, e.sighting(now))
		}
	}
	return out
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
		Id: b.ID, BornMs: b.BornMS, Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: uint32(max(b.Slots, 0)),
		Leaving: b.Leaving, AgeMs: max(now.Sub(e.heard), 0).Milliseconds(), ColdMs: max(e.coldUntil.Sub(e.heard), 0).Milliseconds(), Sequence: b.Sequence,
	}
}

// intern returns a copy of s that equal strings share.
func intern(s string) string { return unique.Make(s).Value() }

// BeatOf returns the heartbeat that a sighting tells of, and its age.
func BeatOf(s *messenger.Sighting) (Beat, time.Duration) {
	return Beat{
		Incarnation: Incarnation{ID: s.Id, BornMS: s.BornMs},
		Service:     intern(s.Service), Address: s.Address, Zone: intern(s.Zone), Slots: int(s.Slots), Leaving: s.Leaving,
		Cold: time.Duration(s.ColdMs) * time.Millisecond, Sequence: s.Sequence,
	}, time.Duration(s.AgeMs) * time.Millisecond
}
