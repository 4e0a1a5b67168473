// Package tracker keeps what a router knows of the endpoints: their latest
// announcements, each with an age that is never too small. Readers see an
// immutable table; load and age are renewed in place. Time comes in.
package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
)

const (
	// MaxEndpoints bounds what a router knows, the forgotten-soon included.
	MaxEndpoints = 20_000
	// forgetAfter is how many times the maximal age an entry is remembered:
	// until then a late message of an endpoint that left is known as late.
	forgetAfter = 10
)

// Options configure a tracker.
type Options struct {
	// MaxAge is the age from which an announcement is not used.
	MaxAge time.Duration
	// Incarnation tells this start of the router from every other.
	Incarnation rattanhoist.Incarnation
	// Zone is the router's own; other zones are told only of its endpoints.
	Zone string
	// Zones are those of the settings.
	Zones []string
}

// Tracker takes announcements in and publishes tables. Safe for concurrent
// use.
type Tracker struct {
	maxAge      time.Duration
	incarnation rattanhoist.Incarnation
	zone        string
	zones       []string
	table       atomic.Pointer[Table]
	mu          sync.Mutex
	// Entries hold the newest incarnation of each name.
	entries map[string]*entry
	byID    map[uint64]*entry
	// ByNumber and numbered hold the numbers given out by this router.
	byNumber map[uint64]*entry
	numbered uint64
	// ByAddress names who announced an address last.
	byAddress map[string]string
	order     order
	// Revision counts the news; it never falls. Only holders of mu change it.
	revision atomic.Uint64
	// Counted holds the endpoints of the own zone for each service.
	counted map[string]int
	stats   Stats
}

// Stats count what the tracker has seen.
type Stats struct {
	// Known is the number of entries, leaving ones included.
	Known int `json:"known"`
	// Renewed counts the news of known incarnations.
	Renewed uint64 `json:"renewed"`
	Joined  uint64 `json:"joined"`
	Left    uint64 `json:"left"`
	// Stale counts messages that told nothing new.
	Stale uint64 `json:"stale"`
	// Conflicts counts refused announcements of another's address.
	Conflicts uint64 `json:"conflicts"`
	// Held counts incarnations that were held back for flapping.
	Held uint64 `json:"held"`
	// Rejected counts gossiped entries that were faulty or too many.
	Rejected uint64 `json:"rejected"`
}

// New returns an empty tracker.
func New(o Options) *Tracker {
	t := &Tracker{
		maxAge: o.MaxAge, incarnation: o.Incarnation, zone: o.Zone, zones: o.Zones,
		entries: map[string]*entry{}, byID: map[uint64]*entry{}, byNumber: map[uint64]*entry{},
		byAddress: map[string]string{}, counted: map[string]int{},
	}
	t.table.Store(&Table{})
	return t
}

// Table returns the current table.
func (t *Tracker) Table() *Table { return t.table.Load() }

// Revision counts the news so far, renewals included: what was derived from
// loads and ages is up to date as long as it stays.
func (t *Tracker) Revision() uint64 { return t.revision.Load() }

// Stats returns the counters.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Known = len(t.entries)
	return s
}

// Usable reports whether new work may be sent to an endpoint now. It reads
// the age at the moment of use: a router that was stopped for an hour wakes
// with an old table and, without this, would send work on it.
func (t *Tracker) Usable(e *rattanhoist.Endpoint, now time.Time) bool {
	return t.UsableAt(e, rattanhoist.MomentOf(now))
}

// UsableAt is Usable for a reading of both clocks.
func (t *Tracker) UsableAt(e *rattanhoist.Endpoint, now rattanhoist.Moment) bool {
	return e.UsableAt(now, t.maxAge)
}

// Announced says what became of an announcement.
type Announced struct {
	// News reports whether it told anything new.
	News bool
	// Usable reports whether the endpoint may get work now.
	Usable bool
	// Left reports whether it is the first word of the endpoint's leaving.
	Left bool
}

// Announce takes an announcement of an endpoint in. The error is a
// *FieldError, ErrAddressTaken or ErrFull.
func (t *Tracker) Announce(a Announcement, now rattanhoist.Moment) (Announced, error) {
	if err := a.Check(t.zones); err != nil {
		return Announced{}, err
	}
	r := report{fields: a.fields(), sequence: a.Sequence, load: a.Load, leaving: a.Leaving}
	// Without a token of this process nothing bounds the age: the entry is
	// known but not used until the endpoint has sent the token back.
	r.heard, _ = t.issued(a.Token, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	news, err := t.take(r, now)
	if err != nil {
		return Announced{}, err
	}
	e := t.entries[a.Name].endpoint
	return Announced{News: news, Usable: e.UsableAt(now, t.maxAge), Left: news && e.Leaving()}, nil
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

// take merges a report and tells whether it was news.
func (t *Tracker) take(r report, now rattanhoist.Moment) (bool, error) {
	old := t.entries[r.fields.Name]
	switch {
	case old == nil || r.fields.Incarnation > old.endpoint.Incarnation():
		return true, t.join(r, old, now)
	case r.fields.Incarnation < old.endpoint.Incarnation():
		t.stats.Stale++
		return false, nil
	case !r.leaving && r.sequence > old.sequence && !old.endpoint.Leaving() && !describes(r.fields, old.endpoint):
		return true, t.describe(old, r, now)
	default:
		return t.renew(old, r, now)
	}
}

// join takes a new name or a new incarnation in.
func (t *Tracker) join(r report, old *entry, now rattanhoist.Moment) error {
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
		t.drop(old)
	}
	r.fields.HeldUntil = hold(e.restarts, now)
	if e.restarts > freeRestarts {
		t.stats.Held++
	}
	t.stats.Joined++
	t.entries[r.fields.Name] = e
	t.byID[e.id] = e
	t.byNumber[e.number] = e
	t.install(e, r)
	return nil
}

func restartsAfter(old *entry, now rattanhoist.Moment) int {
	if now.Monotonic()-old.joinedAt.Monotonic() >= stableAfter {
		return 0
	}
	return old.restarts + 1
}

// checkAddress refuses an address that a live endpoint of another name has:
// the load of one process would count as that of two, and a request tried at
// both would run twice in one place.
func (t *Tracker) checkAddress(r report, now rattanhoist.Moment) error {
	other := t.entries[t.byAddress[r.fields.Address]]
	if r.leaving || other == nil || other.endpoint.Name() == r.fields.Name || !other.endpoint.UsableAt(now, t.maxAge) {
		return nil
	}
	t.stats.Conflicts++
	return ErrAddressTaken
}

// describe replaces the description of a known incarnation.
func (t *Tracker) describe(e *entry, r report, now rattanhoist.Moment) error {
	if err := t.checkAddress(r, now); err != nil {
		return err
	}
	r.heard = later(e.endpoint.AnnouncedAtMoment(), r.heard)
	r.fields.HeldUntil = hold(e.restarts, e.joinedAt)
	t.remove(e)
	t.install(e, r)
	return nil
}

// install makes the endpoint of an entry and puts it into the table.
func (t *Tracker) install(e *entry, r report) {
	e.endpoint = rattanhoist.NewEndpoint(r.fields)
	e.endpoint.Renew(r.load, r.heard)
	e.sequence = r.sequence
	t.note(e, r)
	e.joined = e.revision
	if r.leaving {
		e.endpoint.MarkLeaving()
		t.stats.Left++
		return
	}
	t.byAddress[r.fields.Address] = r.fields.Name
	if r.fields.Zone == t.zone {
		t.counted[r.fields.Service]++
	}
	t.table.Store(t.Table().with(e.endpoint))
}

// remove takes an entry's endpoint out of the table. Readers that hold an
// older table see it leave too.
func (t *Tracker) remove(e *entry) {
	p := e.endpoint
	if p.Leaving() {
		return
	}
	p.MarkLeaving()
	if t.byAddress[p.Address()] == p.Name() {
		delete(t.byAddress, p.Address())
	}
	if p.Zone() == t.zone {
		t.uncount(p.Service())
	}
	t.table.Store(t.Table().without(p))
}

// uncount takes one endpoint off a service's count. A count of zero goes:
// names of services come from endpoints, so nothing else bounds their number.
func (t *Tracker) uncount(service string) {
	t.counted[service]--
	if t.counted[service] == 0 {
		delete(t.counted, service)
	}
}

// drop forgets an entry.
func (t *Tracker) drop(e *entry) {
	t.remove(e)
	t.order.remove(e)
	delete(t.byID, e.id)
	delete(t.byNumber, e.number)
	delete(t.entries, e.endpoint.Name())
}

// renew merges a report of a known incarnation and tells whether it was news.
// Leaving is final: an older renewal that comes late does not bring the
// endpoint back.
func (t *Tracker) renew(e *entry, r report, now rattanhoist.Moment) (bool, error) {
	p := e.endpoint
	switch {
	case p.Leaving():
		t.stats.Stale++
		return false, nil
	case r.leaving:
		t.remove(e)
		e.sequence = max(e.sequence, r.sequence)
		t.note(e, r)
		t.stats.Left++
		return true, nil
	case r.sequence > e.sequence:
		return t.renewLoad(e, r, now)
	default:
		// Both moments lie before the one at which the endpoint spoke last.
		p.Renew(p.Load(), later(p.AnnouncedAtMoment(), r.heard))
		t.stats.Stale++
		return false, nil
	}
}

func (t *Tracker) renewLoad(e *entry, r report, now rattanhoist.Moment) (bool, error) {
	p := e.endpoint
	if t.byAddress[p.Address()] != p.Name() {
		// Another name took the address while this one was silent.
		if err := t.checkAddress(report{fields: rattanhoist.EndpointFields{Name: p.Name(), Address: p.Address()}}, now); err != nil {
			return false, err
		}
		t.byAddress[p.Address()] = p.Name()
	}
	first := p.AnnouncedAtMoment().IsZero()
	e.sequence = r.sequence
	p.Renew(r.load, later(p.AnnouncedAtMoment(), r.heard))
	t.note(e, r)
	if first {
		// Nobody was told of it while it had no age: tell all of it now.
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

// note gives an entry the next revision.
func (t *Tracker) note(e *entry, r report) {
	t.order.remove(e)
	e.revision, e.via, e.sibling = t.revision.Add(1), r.via, r.sibling
	t.order.append(e)
}

// Expire forgets entries that have been silent for long; it bounds memory. It
// reads the steady clock alone: a wall clock that is set forward must not
// make a router forget who left.
func (t *Tracker) Expire(now rattanhoist.Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		last := max(e.endpoint.AnnouncedAtMoment().Monotonic(), e.joinedAt.Monotonic())
		if now.Monotonic()-last > forgetAfter*t.maxAge {
			t.drop(e)
		}
	}
}
