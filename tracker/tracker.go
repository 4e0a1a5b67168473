// Package tracker holds what a router knows about endpoints: their latest
// announcements, with ages that are never underestimated. Readers use an
// immutable table in which load and age are updated in place. The package reads
// no clock: callers pass the time.
package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
)

const (
	// MaxEndpoints is the maximum number of endpoints, including those that have
	// left or are silent and not forgotten yet.
	MaxEndpoints = 20_000
	// forgetAfter is the time, in multiples of the maximum age, after which the
	// entry of a silent endpoint is removed. Until then, a delayed message of an
	// endpoint that has left is recognized as outdated.
	forgetAfter = 10
)

// Options configure a tracker.
type Options struct {
	// MaxAge is the age from which an announcement is no longer used.
	MaxAge time.Duration
	// Incarnation identifies this run of the router.
	Incarnation rattanhoist.Incarnation
	// Zone is the router's zone. Other zones are sent only its endpoints.
	Zone string
	// Zones holds the zones in the settings.
	Zones []string
}

// Tracker processes announcements and publishes tables. It is safe for
// concurrent use.
type Tracker struct {
	maxAge      time.Duration
	incarnation rattanhoist.Incarnation
	zone        string
	zones       []string
	table       atomic.Pointer[Table]
	mu          sync.Mutex
	// Entries holds the newest incarnation of each name.
	entries map[string]*entry
	byID    map[uint64]*entry
	// ByNumber holds the entries by number, and numbered the last number
	// assigned.
	byNumber map[uint64]*entry
	numbered uint64
	// ByAddress holds the name that last announced an address.
	byAddress map[string]string
	order     revisionList
	// Revision counts the changes. It is only modified with mu held.
	revision atomic.Uint64
	// OwnZoneCounts is the number of endpoints of the own zone, by service.
	ownZoneCounts map[string]int
	stats         Stats
}

// Stats holds the counters of a tracker.
type Stats struct {
	// Known is the number of entries, including endpoints that are leaving.
	Known int `json:"known"`
	// Renewed counts newer announcements of known incarnations.
	Renewed uint64 `json:"renewed"`
	Joined  uint64 `json:"joined"`
	Left    uint64 `json:"left"`
	// Stale counts messages that changed nothing.
	Stale uint64 `json:"stale"`
	// Conflicts counts announcements refused because another endpoint has the
	// address.
	Conflicts uint64 `json:"conflicts"`
	// Held counts incarnations that got no requests at first because of repeated
	// restarts.
	Held uint64 `json:"held"`
	// Rejected counts entries of other routers that were invalid or exceeded
	// limits.
	Rejected uint64 `json:"rejected"`
}

// New returns an empty tracker.
func New(o Options) *Tracker {
	t := &Tracker{
		maxAge: o.MaxAge, incarnation: o.Incarnation, zone: o.Zone, zones: o.Zones,
		entries: map[string]*entry{}, byID: map[uint64]*entry{}, byNumber: map[uint64]*entry{},
		byAddress: map[string]string{}, ownZoneCounts: map[string]int{},
	}
	t.table.Store(&Table{})
	return t
}

// Table returns the current table.
func (t *Tracker) Table() *Table { return t.table.Load() }

// Revision returns the number of changes so far, including renewals. Values
// derived from loads and ages are up to date while it is the same.
func (t *Tracker) Revision() uint64 { return t.revision.Load() }

// Stats returns the counters.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Known = len(t.entries)
	return s
}

// Usable reports whether new requests may be sent to an endpoint now. The age is
// evaluated at each call, because a router that was suspended resumes with an
// outdated table.
func (t *Tracker) Usable(e *rattanhoist.Endpoint, now time.Time) bool {
	return t.UsableAt(e, rattanhoist.MomentOf(now))
}

// UsableAt is Usable at the given moment of both clocks.
func (t *Tracker) UsableAt(e *rattanhoist.Endpoint, now rattanhoist.Moment) bool {
	return e.UsableAt(now, t.maxAge)
}

// AnnounceResult is the result of an announcement.
type AnnounceResult struct {
	// Changed is set if the announcement changed anything.
	Changed bool
	// Usable is set if requests may be sent to the endpoint now.
	Usable bool
	// Left is set if this is the first announcement that the endpoint is leaving.
	Left bool
}

// Announce processes an announcement by an endpoint. The error is a *FieldError,
// ErrAddressTaken or ErrFull.
func (t *Tracker) Announce(a Announcement, now rattanhoist.Moment) (AnnounceResult, error) {
	if err := a.Check(t.zones); err != nil {
		return AnnounceResult{}, err
	}
	r := report{fields: a.fields(), sequence: a.Sequence, load: a.Load, leaving: a.Leaving}
	// Without a token of this process, the age is unknown: the entry is not used
	// until the endpoint has sent the token back.
	r.announcedAt, _ = t.issued(a.Token, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, err := t.merge(r, now)
	if err != nil {
		return AnnounceResult{}, err
	}
	e := t.entries[a.Name].endpoint
	return AnnounceResult{Changed: changed, Usable: e.UsableAt(now, t.maxAge), Left: changed && e.Leaving()}, nil
}

func (a Announcement) fields() rattanhoist.EndpointFields {
	labels := make(map[string]string, len(a.Labels)+len(reservedLabels))
	for k, v := range a.Labels {
		labels[k] = v
	}
	labels["name"], labels["service"], labels["zone"] = a.Name, a.Service, a.Zone
	return rattanhoist.EndpointFields{
		Name: a.Name, Service: a.Service, Zone: a.Zone, Address: a.Address, Labels: labels,
		Incarnation: rattanhoist.Incarnation(a.Incarnation), Capacity: a.Capacity, ChecksFencing: a.ChecksFencing,
	}
}

// merge merges a report and reports whether anything changed.
func (t *Tracker) merge(r report, now rattanhoist.Moment) (bool, error) {
	old := t.entries[r.fields.Name]
	switch {
	case old == nil || r.fields.Incarnation > old.endpoint.Incarnation():
		return true, t.addIncarnation(r, old, now)
	case r.fields.Incarnation < old.endpoint.Incarnation():
		t.stats.Stale++
		return false, nil
	case !r.leaving && r.sequence > old.sequence && !old.endpoint.Leaving() && !matchesDescription(r.fields, old.endpoint):
		return true, t.replaceDescription(old, r, now)
	default:
		return t.renew(old, r, now)
	}
}

// addIncarnation adds an endpoint with a new name, or a new incarnation.
func (t *Tracker) addIncarnation(r report, old *entry, now rattanhoist.Moment) error {
	if old == nil && len(t.entries) >= MaxEndpoints {
		return ErrFull
	}
	if err := t.checkAddress(r, now); err != nil {
		return err
	}
	t.numbered++
	e := &entry{id: identify(r.fields.Name, r.fields.Incarnation), number: t.numbered, joinedAt: now}
	if old != nil {
		e.restarts = restartsAfter(old, now)
		t.forget(old)
	}
	r.fields.HeldUntil = heldUntil(e.restarts, now)
	if e.restarts > freeRestarts {
		t.stats.Held++
	}
	t.stats.Joined++
	t.entries[r.fields.Name] = e
	t.byID[e.id] = e
	t.byNumber[e.number] = e
	t.addToTable(e, r)
	return nil
}

func restartsAfter(old *entry, now rattanhoist.Moment) int {
	if now.Monotonic()-old.joinedAt.Monotonic() >= stableAfter {
		return 0
	}
	return old.restarts + 1
}

// checkAddress returns ErrAddressTaken if a live endpoint with another name has
// the address. Otherwise the load of one process would count as that of two, and
// a request sent to both endpoints would run twice in the same process.
func (t *Tracker) checkAddress(r report, now rattanhoist.Moment) error {
	other := t.entries[t.byAddress[r.fields.Address]]
	if r.leaving || other == nil || other.endpoint.Name() == r.fields.Name || !other.endpoint.UsableAt(now, t.maxAge) {
		return nil
	}
	t.stats.Conflicts++
	return ErrAddressTaken
}

// replaceDescription replaces the description of a known incarnation.
func (t *Tracker) replaceDescription(e *entry, r report, now rattanhoist.Moment) error {
	if err := t.checkAddress(r, now); err != nil {
		return err
	}
	r.announcedAt = later(e.endpoint.AnnouncedAtMoment(), r.announcedAt)
	r.fields.HeldUntil = heldUntil(e.restarts, e.joinedAt)
	t.removeFromTable(e)
	t.addToTable(e, r)
	return nil
}

// addToTable creates the endpoint of an entry and adds it to the table.
func (t *Tracker) addToTable(e *entry, r report) {
	e.endpoint = rattanhoist.NewEndpoint(r.fields)
	e.endpoint.Renew(r.load, r.announcedAt)
	e.sequence = r.sequence
	t.assignRevision(e, r)
	e.joined = e.revision
	if r.leaving {
		e.endpoint.MarkLeaving()
		t.stats.Left++
		return
	}
	t.byAddress[r.fields.Address] = r.fields.Name
	if r.fields.Zone == t.zone {
		t.ownZoneCounts[r.fields.Service]++
	}
	t.table.Store(t.Table().with(e.endpoint))
}

// removeFromTable removes an entry's endpoint from the table. It is marked as
// leaving, which readers of an older table see as well.
func (t *Tracker) removeFromTable(e *entry) {
	p := e.endpoint
	if p.Leaving() {
		return
	}
	p.MarkLeaving()
	if t.byAddress[p.Address()] == p.Name() {
		delete(t.byAddress, p.Address())
	}
	if p.Zone() == t.zone {
		t.decrementCount(p.Service())
	}
	t.table.Store(t.Table().without(p))
}

// decrementCount removes one endpoint from a service's count. Counts of zero are
// deleted, because endpoints choose the names of services and nothing else limits
// their number.
func (t *Tracker) decrementCount(service string) {
	t.ownZoneCounts[service]--
	if t.ownZoneCounts[service] == 0 {
		delete(t.ownZoneCounts, service)
	}
}

// forget deletes an entry.
func (t *Tracker) forget(e *entry) {
	t.removeFromTable(e)
	t.order.remove(e)
	delete(t.byID, e.id)
	delete(t.byNumber, e.number)
	delete(t.entries, e.endpoint.Name())
}

// renew merges a report about a known incarnation and reports whether anything
// changed. Leaving is final: a delayed renewal does not put the endpoint back in
// service.
func (t *Tracker) renew(e *entry, r report, now rattanhoist.Moment) (bool, error) {
	p := e.endpoint
	switch {
	case p.Leaving():
		t.stats.Stale++
		return false, nil
	case r.leaving:
		t.removeFromTable(e)
		e.sequence = max(e.sequence, r.sequence)
		t.assignRevision(e, r)
		t.stats.Left++
		return true, nil
	case r.sequence > e.sequence:
		return t.renewLoad(e, r, now)
	default:
		// Both moments are before the endpoint's last announcement.
		p.Renew(p.Load(), later(p.AnnouncedAtMoment(), r.announcedAt))
		t.stats.Stale++
		return false, nil
	}
}

func (t *Tracker) renewLoad(e *entry, r report, now rattanhoist.Moment) (bool, error) {
	p := e.endpoint
	if t.byAddress[p.Address()] != p.Name() {
		// Another endpoint announced the address while this one was silent.
		if err := t.checkAddress(report{fields: rattanhoist.EndpointFields{Name: p.Name(), Address: p.Address()}}, now); err != nil {
			return false, err
		}
		t.byAddress[p.Address()] = p.Name()
	}
	first := p.AnnouncedAtMoment().IsZero()
	e.sequence = r.sequence
	p.Renew(r.load, later(p.AnnouncedAtMoment(), r.announcedAt))
	t.assignRevision(e, r)
	if first {
		// It was not sent to other routers while its age was unknown, so they need
		// the whole description.
		e.joined = e.revision
	}
	t.stats.Renewed++
	return true, nil
}

func later(a, b rattanhoist.Moment) rattanhoist.Moment {
	if a.Before(b) {
		return b
	}
	return a
}

// assignRevision assigns the next revision to an entry.
func (t *Tracker) assignRevision(e *entry, r report) {
	t.order.remove(e)
	e.revision, e.via, e.sibling = t.revision.Add(1), r.via, r.sibling
	t.order.append(e)
}

// Expire removes entries that have been silent for long, which limits memory. It
// uses only the monotonic clock: a wall clock that is set forward must not remove
// the entries of endpoints that have left.
func (t *Tracker) Expire(now rattanhoist.Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		last := max(e.endpoint.AnnouncedAtMoment().Monotonic(), e.joinedAt.Monotonic())
		if now.Monotonic()-last > forgetAfter*t.maxAge {
			t.forget(e)
		}
	}
}
