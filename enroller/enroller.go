// Package enroller keeps the table of known endpoints, built from their heartbeats, from
// what other processes observed, and from leaves, which are final.
package enroller

import (
	"maps"
	"slices"
	"time"
	"unique"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

// ErrInvalidHeartbeat says that a heartbeat does not come from a valid endpoint: another
// program must have sent it. Compare with errors.Is.
var ErrInvalidHeartbeat = merry.Sentinel("heartbeat is unusable")

// ErrTableFull says that a table has no room for another endpoint. Compare with errors.Is.
var ErrTableFull = merry.Sentinel("too many endpoints")

// Heartbeat is one heartbeat of an endpoint.
type Heartbeat struct {
	Incarnation
	// Service never changes during an incarnation.
	Service string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// ColdRemaining is how much longer the endpoint is slow after its start.
	ColdRemaining time.Duration
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64
	// Version identifies the version of the endpoint's software.
	Version Version
}

// entry is what the table knows about one endpoint.
type entry struct {
	heartbeat Heartbeat
	lastSeen  time.Time
	// coldUntil is when the endpoint will be warm, according to its latest heartbeat.
	coldUntil time.Time
	// revision is the table's revision at the entry's last change.
	revision uint64
}

// tombstone records the end of an incarnation. This incarnation and all earlier ones under
// the same id never return.
type tombstone struct {
	bornMS  int64
	endedAt time.Time
}

// trace records an incarnation that has not left and is no longer in the table: it fell silent, or
// another one took its address. Its heartbeats may still arrive, and it may still be alive.
type trace struct {
	sequence uint64
	lastSeen time.Time
	endedAt  time.Time
}

// Table holds the known endpoints. It reads no clock: callers pass the time. It is not
// safe for concurrent use.
type Table struct {
	// expireAfter is how long an endpoint without heartbeats is remembered.
	expireAfter time.Duration
	// entries holds the newest incarnation of each id; all earlier ones have ended. Their heartbeats have
	// passed Check, so that each message with them can be encoded.
	entries map[string]*entry
	// tombstones holds the last ended incarnation of each id. An incarnation whose
	// heartbeats may still arrive always has its tombstone.
	tombstones map[string]tombstone
	// traces holds incarnations that were removed without a leave, at most maxTraces.
	traces        map[Incarnation]trace
	tracesDropped int
	// byAddress holds the id of the incarnation that is in the table at each address.
	byAddress map[string]string
	// bytes is the size of the entries, at most maxTableBytes.
	bytes    int
	revision uint64
	versions *VersionHistory
	// views holds the view of each availability zone's routers.
	views map[string]*View
}

const (
	// tombstoneTTL is far longer than the delay of any heartbeat.
	tombstoneTTL = 10 * time.Minute
	// maxTraces bounds the memory that traces take, to some megabytes.
	maxTraces = 32768
	// maxTableBytes bounds the table, so that a list of all endpoints is much smaller than the largest
	// message between processes: there is room for tens of thousands with names of usual length.
	maxTableBytes = 8 << 20
	// An endpoint may take one of headroomParts parts of the room that is left: those with long names are
	// refused while there is room for many others.
	headroomParts = 64
	// entryBytes is the size of the numbers of an entry in a message.
	entryBytes = 32
	// An incarnation takes the address of another one that has been silent for expireAfter divided by
	// successionDivisor: between one and two heartbeat intervals.
	successionDivisor = 4
)

// coldTolerance is by how much a later heartbeat may extend the cold phase before the
// extension counts as a change.
const coldTolerance = 500 * time.Millisecond

// NewTable returns an empty table.
func NewTable(expireAfter time.Duration) *Table {
	return &Table{expireAfter: expireAfter, entries: map[string]*entry{}, tombstones: map[string]tombstone{}, traces: map[Incarnation]trace{}, byAddress: map[string]string{}, views: map[string]*View{}, versions: newVersionHistory()}
}

// Versions returns the history of the software versions of the table's endpoints.
func (t *Table) Versions() *VersionHistory { return t.versions }

// Revision grows with every change except for the ages of entries.
func (t *Table) Revision() uint64 { return t.revision }

// Current returns the newest incarnation under an id.
func (t *Table) Current(id string) (Incarnation, bool) {
	e := t.entries[id]
	if e == nil {
		return Incarnation{}, false
	}
	return e.heartbeat.Incarnation, true
}

// Resolve completes an incarnation whose start time the sender of a message did not know: it returns
// the current one under the id, or else the last one that ended.
func (t *Table) Resolve(i Incarnation) Incarnation {
	if i.BornMS != 0 {
		return i
	}
	if k, ok := t.Current(i.ID); ok {
		return k
	}
	return Incarnation{ID: i.ID, BornMS: t.tombstones[i.ID].bornMS}
}

// Retain removes all endpoints but the given incarnations.
func (t *Table) Retain(incarnations map[Incarnation]bool) {
	for id, e := range t.entries {
		if !incarnations[e.heartbeat.Incarnation] {
			t.remove(id)
		}
	}
}

// HasZone reports whether an endpoint of a zone is known.
func (t *Table) HasZone(zone string) bool {
	for _, e := range t.entries {
		if e.heartbeat.Zone == zone {
			return true
		}
	}
	return false
}

// Consistent reports whether a heartbeat is consistent with what is known of its id: an
// incarnation never changes its service, and an endpoint that has reported a start time
// continues to report one. Any other heartbeat was not sent by that endpoint.
func (t *Table) Consistent(b Heartbeat) bool {
	e := t.entries[b.ID]
	if e == nil {
		return true
	}
	if b.BornMS == 0 && e.heartbeat.BornMS != 0 {
		return false
	}
	return b.Incarnation != e.heartbeat.Incarnation || b.Service == e.heartbeat.Service
}

// Observe records a heartbeat that was sent age ago. It reports whether the heartbeat
// changed anything other than the time at which the endpoint was last alive.
func (t *Table) Observe(now time.Time, b Heartbeat, age time.Duration) bool {
	if t.hasEnded(b.Incarnation) || age > t.expireAfter || !t.Consistent(b) || b.Check() != nil {
		return false
	}
	lastSeen := now.Add(-age)
	e := t.entries[b.ID]
	switch {
	case e == nil:
		return t.insert(now, b, lastSeen)
	case b.BornMS < e.heartbeat.BornMS:
		// The heartbeat was delayed since before the endpoint restarted.
		return false
	case b.BornMS > e.heartbeat.BornMS:
		t.markEnded(now, e.heartbeat.Incarnation)
		return t.insert(now, b, lastSeen)
	case b.Sequence < e.heartbeat.Sequence:
		return false
	}
	if b.Address != e.heartbeat.Address {
		if !t.claimAddress(now, b, lastSeen, true) {
			return false
		}
		t.release(e)
		t.byAddress[b.Address] = b.ID
	}
	if lastSeen.After(e.lastSeen) {
		e.lastSeen = lastSeen
	}
	// Leaving is final for an incarnation: a delayed heartbeat from before it must not
	// make the endpoint available again.
	b.Leaving = b.Leaving || e.heartbeat.Leaving
	coldUntil := lastSeen.Add(b.ColdRemaining)
	if b.Version == "" {
		// A keeper of an earlier build passed the heartbeat on without it.
		b.Version = e.heartbeat.Version
	}
	changed := b.Leaving != e.heartbeat.Leaving || b.Version != e.heartbeat.Version || b.Address != e.heartbeat.Address || b.Slots != e.heartbeat.Slots ||
		b.ColdRemaining > 0 && coldUntil.Sub(e.coldUntil) > coldTolerance
	if b.Sequence > e.heartbeat.Sequence || coldUntil.After(e.coldUntil) {
		e.coldUntil = coldUntil
	}
	if b.Version != e.heartbeat.Version {
		t.versions.count(b, 1)
		t.versions.count(e.heartbeat, -1)
	}
	t.bytes += b.size() - e.heartbeat.size()
	e.heartbeat = b
	if changed {
		t.revision++
		e.revision = t.revision
	}
	return changed
}

// ColdUntil returns when the endpoints that are cold now will be warm, by incarnation.
func (t *Table) ColdUntil(now time.Time) map[Incarnation]time.Time {
	out := map[Incarnation]time.Time{}
	for _, e := range t.entries {
		if e.coldUntil.After(now) {
			out[e.heartbeat.Incarnation] = e.coldUntil
		}
	}
	return out
}

// insert adds an incarnation, unless its heartbeat is a late one or another incarnation is alive at its
// address. One that it replaces there leaves a trace: which of the two is alive may become known later.
func (t *Table) insert(now time.Time, b Heartbeat, lastSeen time.Time) bool {
	past, known := t.traces[b.Incarnation]
	// Without a start time, a lower sequence may be that of an endpoint that restarted under its id.
	if known && b.BornMS != 0 && b.Sequence > 0 && (b.Sequence < past.sequence || b.Sequence == past.sequence && !lastSeen.After(past.lastSeen)) {
		return false
	}
	if !t.HasRoom(b) || !t.claimAddress(now, b, lastSeen, known) {
		return false
	}
	delete(t.traces, b.Incarnation)
	t.revision++
	t.bytes += b.size()
	t.entries[b.ID] = &entry{heartbeat: b, lastSeen: lastSeen, coldUntil: lastSeen.Add(b.ColdRemaining), revision: t.revision}
	t.byAddress[b.Address] = b.ID
	t.versions.count(b, 1)
	return true
}

// HasRoom reports whether there is room for the sender of a heartbeat, or it is in the table already.
func (t *Table) HasRoom(b Heartbeat) bool {
	return t.entries[b.ID] != nil || b.size() <= (maxTableBytes-t.bytes)/headroomParts
}

// size returns the approximate size of an entry for the heartbeat in a message.
func (b Heartbeat) size() int {
	return len(b.ID) + len(b.Service) + len(b.Address) + len(b.Zone) + len(b.Version) + entryBytes
}

// claimAddress removes another incarnation at the address of a heartbeat, if the sender takes its place.
// known is set if the sender has been in the table before.
func (t *Table) claimAddress(now time.Time, b Heartbeat, lastSeen time.Time, known bool) bool {
	holder := t.entries[t.byAddress[b.Address]]
	if holder == nil || holder.heartbeat.ID == b.ID {
		return true
	}
	if !t.supersedes(b, lastSeen, known, holder) {
		return false
	}
	t.end(now, holder)
	return true
}

// supersedes reports whether the sender of a heartbeat takes the place of another incarnation at its
// address. A heartbeat may arrive long after its sender has ended, so a sender that is not evidently the
// later one waits until the other one is silent: if both are alive in turn, the one whose heartbeats
// arrive stays.
func (t *Table) supersedes(b Heartbeat, lastSeen time.Time, known bool, holder *entry) bool {
	h := holder.heartbeat
	switch {
	case h.Sequence == 0 && b.Sequence > 0:
		// The holder is known from a file only.
		return true
	case known:
	case b.BornMS != 0 && h.BornMS != 0 && b.BornMS != h.BornMS:
		if b.BornMS > h.BornMS {
			return true
		}
	case b.Sequence == 1:
		return true
	}
	return lastSeen.Sub(holder.lastSeen) >= t.expireAfter/successionDivisor
}

// end removes an entry and keeps its trace.
func (t *Table) end(now time.Time, e *entry) {
	t.remove(e.heartbeat.ID)
	if len(t.traces) >= maxTraces {
		t.tracesDropped++
		return
	}
	t.traces[e.heartbeat.Incarnation] = trace{sequence: e.heartbeat.Sequence, lastSeen: e.lastSeen, endedAt: now}
}

// TracesDropped returns how many incarnations were removed without a trace because there were too many.
func (t *Table) TracesDropped() int { return t.tracesDropped }

// AtAddress returns the incarnation that is in the table at an address.
func (t *Table) AtAddress(address string) (Incarnation, bool) {
	e := t.entries[t.byAddress[address]]
	if e == nil {
		return Incarnation{}, false
	}
	return e.heartbeat.Incarnation, true
}

// Leave removes an incarnation permanently. One without a start time stands for the
// current incarnation under the id, because the sender of the message knew the id only.
// It reports whether the incarnation was in the table until then.
func (t *Table) Leave(now time.Time, i Incarnation) bool {
	if _, known := t.tombstones[i.ID]; known && i.BornMS == 0 || t.hasEnded(i) {
		return false
	}
	if k, ok := t.Current(i.ID); ok && i.BornMS == 0 {
		i = k
	}
	_, present := t.entries[i.ID]
	t.markEnded(now, i)
	_, remains := t.entries[i.ID]
	t.revision++
	return present && !remains
}

// hasEnded reports whether an incarnation has ended.
func (t *Table) hasEnded(i Incarnation) bool {
	d, ok := t.tombstones[i.ID]
	return ok && i.BornMS <= d.bornMS
}

// markEnded records that an incarnation and all earlier ones under its id have ended.
func (t *Table) markEnded(now time.Time, i Incarnation) {
	t.tombstones[i.ID] = tombstone{bornMS: i.BornMS, endedAt: now}
	if e := t.entries[i.ID]; e != nil && e.heartbeat.BornMS <= i.BornMS {
		t.remove(i.ID)
	}
}

// remove deletes the entry of an id.
func (t *Table) remove(id string) {
	if e := t.entries[id]; e != nil {
		t.revision++
		delete(t.entries, id)
		t.bytes -= e.heartbeat.size()
		t.versions.count(e.heartbeat, -1)
		t.release(e)
	}
}

// release frees the address of an entry.
func (t *Table) release(e *entry) {
	if t.byAddress[e.heartbeat.Address] == e.heartbeat.ID {
		delete(t.byAddress, e.heartbeat.Address)
	}
}

// Forget removes an incarnation; later heartbeats may add it again.
func (t *Table) Forget(i Incarnation) {
	if e := t.entries[i.ID]; e != nil && e.heartbeat.Incarnation == i {
		t.remove(i.ID)
	}
}

// MarkAlive records that an incarnation was alive at a point in time.
func (t *Table) MarkAlive(at time.Time, i Incarnation) {
	if e := t.entries[i.ID]; e != nil && e.heartbeat.Incarnation == i && at.After(e.lastSeen) {
		e.lastSeen = at
	}
}

// Expire removes endpoints that have been silent for longer than expireAfter, and old
// tombstones and traces.
func (t *Table) Expire(now time.Time) {
	for _, e := range t.entries {
		if now.Sub(e.lastSeen) > t.expireAfter {
			t.end(now, e)
		}
	}
	for i, x := range t.traces {
		if now.Sub(x.endedAt) > tombstoneTTL {
			delete(t.traces, i)
		}
	}
	for id, d := range t.tombstones {
		if now.Sub(d.endedAt) > tombstoneTTL {
			delete(t.tombstones, id)
		}
	}
}

// SightingsOf returns the endpoints with the given ids and their ages, sorted by id; it
// omits unknown ids.
func (t *Table) SightingsOf(now time.Time, ids map[string]bool) []*messenger.Sighting {
	var out []*messenger.Sighting
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if e := t.entries[id]; e != nil {
			out = append(out, e.sighting(now))
		}
	}
	return out
}

// Sightings returns all endpoints with their ages, sorted by id.
func (t *Table) Sightings(now time.Time) []*messenger.Sighting {
	var out []*messenger.Sighting
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		out = append(out, t.entries[id].sighting(now))
	}
	return out
}

func (e *entry) sighting(now time.Time) *messenger.Sighting {
	b := e.heartbeat
	return &messenger.Sighting{
		Id: b.ID, BornMs: b.BornMS, Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: uint32(max(b.Slots, 0)),
		Leaving: b.Leaving, AgeMs: max(now.Sub(e.lastSeen), 0).Milliseconds(), ColdMs: max(e.coldUntil.Sub(e.lastSeen), 0).Milliseconds(), Sequence: b.Sequence,
		Version: string(b.Version),
	}
}

// intern returns a copy of s that shares its memory with equal strings.
func intern(s string) string { return unique.Make(s).Value() }

// HeartbeatFromSighting returns the heartbeat that a sighting describes, and its age.
func HeartbeatFromSighting(s *messenger.Sighting) (Heartbeat, time.Duration) {
	return Heartbeat{
		Incarnation: Incarnation{ID: s.Id, BornMS: s.BornMs},
		Service:     intern(s.Service), Address: s.Address, Zone: intern(s.Zone), Slots: int(s.Slots), Leaving: s.Leaving,
		ColdRemaining: time.Duration(s.ColdMs) * time.Millisecond, Sequence: s.Sequence, Version: Version(intern(s.Version)),
	}, time.Duration(s.AgeMs) * time.Millisecond
}
