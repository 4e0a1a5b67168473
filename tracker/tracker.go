// Package tracker keeps what a router knows of the endpoints: their latest
// announcements, each with its age. Readers see an immutable table.
package tracker

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Table lists the endpoints of each service; immutable.
type Table struct {
	byService map[string][]*rattanhoist.Endpoint
}

// Service returns the endpoints of a service; callers must not change it.
// An entry whose age passes the bound must not be used: Usable tells.
func (t *Table) Service(name string) []*rattanhoist.Endpoint { return t.byService[name] }

// All returns every endpoint, in no order.
func (t *Table) All() []*rattanhoist.Endpoint {
	return slices.Concat(slices.Collect(maps.Values(t.byService))...)
}

// Announcement is one message of an endpoint about itself.
type Announcement struct {
	Endpoint *rattanhoist.Endpoint
	// Sequence orders the announcements of one incarnation.
	Sequence uint64
}

type entry struct {
	endpoint *rattanhoist.Endpoint
	sequence uint64
}

// Tracker takes announcements in and publishes tables. Safe for concurrent
// use.
type Tracker struct {
	maxAge time.Duration
	mu     sync.Mutex
	// Entries hold the newest announcement of each name.
	entries map[string]entry
	table   atomic.Pointer[Table]
}

// New returns a tracker whose entries serve until maxAge.
func New(maxAge time.Duration) *Tracker {
	t := &Tracker{maxAge: maxAge, entries: map[string]entry{}}
	t.table.Store(&Table{})
	return t
}

// Table returns the current table.
func (t *Tracker) Table() *Table { return t.table.Load() }

// Usable reports whether new work may be sent to an endpoint now. It reads
// the age at the moment of use: a router that was stopped for an hour wakes
// with an old table and, without this, would send work on it.
func (t *Tracker) Usable(e *rattanhoist.Endpoint, now time.Time) bool {
	return !e.Leaving() && now.Sub(e.Heard()) < t.maxAge
}

// Announce takes an announcement in and reports whether it was news. An older
// incarnation or sequence is not: it arrived late.
func (t *Tracker) Announce(a Announcement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.entries[a.Endpoint.Name()]
	if ok && !newer(a, old) {
		return false
	}
	t.entries[a.Endpoint.Name()] = entry{endpoint: a.Endpoint, sequence: a.Sequence}
	t.publish()
	return true
}

func newer(a Announcement, old entry) bool {
	if a.Endpoint.Incarnation() != old.endpoint.Incarnation() {
		return a.Endpoint.Incarnation() > old.endpoint.Incarnation()
	}
	return a.Sequence > old.sequence
}

// Expire forgets entries that have been too old for long; it bounds memory.
func (t *Tracker) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	const forgetAfter = 10
	before := len(t.entries)
	maps.DeleteFunc(t.entries, func(_ string, e entry) bool {
		return now.Sub(e.endpoint.Heard()) > forgetAfter*t.maxAge
	})
	if len(t.entries) != before {
		t.publish()
	}
}

func (t *Tracker) publish() {
	table := &Table{byService: map[string][]*rattanhoist.Endpoint{}}
	for _, e := range t.entries {
		s := e.endpoint.Service()
		table.byService[s] = append(table.byService[s], e.endpoint)
	}
	t.table.Store(table)
}
