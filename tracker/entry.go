package tracker

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist"
)

// Delays for endpoints that restart repeatedly.
const (
	// stableAfter is how long an incarnation has to run for earlier restarts
	// not to count any more.
	stableAfter = 10 * time.Second
	// freeRestarts is the number of quick restarts that cause no delay: a
	// rolling update may cause one.
	freeRestarts = 1
	holdBase     = time.Second
	holdMax      = 30 * time.Second
	// maxDoublings is enough to reach holdMax, and keeps the shift in range.
	maxDoublings = 5
)

// entry holds the newest known incarnation of the endpoint with one name.
type entry struct {
	endpoint *rattanhoist.Endpoint
	id       uint64
	// Number identifies the incarnation in replies. Numbers are not reused.
	number   uint64
	sequence uint64
	// Joined is the revision at which the description was added or replaced.
	joined uint64
	// Revision is that of the last change; entries are linked in this order.
	revision uint64
	// Via is the router that reported the last change, or "" if the endpoint
	// announced it here.
	via string
	// Sibling is set if via is a router of the same zone.
	sibling  bool
	joinedAt rattanhoist.Moment
	// Restarts counts the incarnations that followed each other within
	// stableAfter.
	restarts int
	// Older and newer are the neighbors by revision.
	older, newer *entry
}

// report describes an endpoint as announced by itself or by another router.
type report struct {
	// Fields describes the endpoint; its load, age and state are in the fields
	// below.
	fields   rattanhoist.EndpointFields
	sequence uint64
	load     int64
	// AnnouncedAt is at or before the time of the announcement.
	announcedAt rattanhoist.Moment
	leaving     bool
	via         string
	sibling     bool
}

// identify returns a hash that identifies one incarnation of an endpoint.
func identify(name string, i rattanhoist.Incarnation) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(name)
	var b [9]byte
	binary.BigEndian.PutUint64(b[1:], uint64(i))
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// heldUntil returns the time until which a restarted endpoint gets no requests.
func heldUntil(restarts int, now rattanhoist.Moment) rattanhoist.Moment {
	if restarts <= freeRestarts {
		return rattanhoist.Moment{}
	}
	d := holdBase << min(restarts-freeRestarts-1, maxDoublings)
	return now.Add(min(d, holdMax))
}

// matchesDescription reports whether an endpoint has the given fields.
func matchesDescription(f rattanhoist.EndpointFields, e *rattanhoist.Endpoint) bool {
	return f.Service == e.Service() && f.Zone == e.Zone() && f.Address == e.Address() &&
		f.Capacity == e.Capacity() && f.ChecksFencing == e.ChecksFencing() && maps.Equal(f.Labels, e.Labels())
}

// revisionList is a doubly linked list of entries, ordered by revision.
type revisionList struct{ oldest, newest *entry }

func (o *revisionList) remove(e *entry) {
	if e.older != nil {
		e.older.newer = e.newer
	} else if o.oldest == e {
		o.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else if o.newest == e {
		o.newest = e.older
	}
	e.older, e.newer = nil, nil
}

func (o *revisionList) append(e *entry) {
	e.older = o.newest
	if o.newest != nil {
		o.newest.newer = e
	} else {
		o.oldest = e
	}
	o.newest = e
}

// after returns the entry with the lowest revision above the given one, or nil.
func (o *revisionList) after(revision uint64) *entry {
	e := o.newest
	if e == nil || e.revision <= revision {
		return nil
	}
	for e.older != nil && e.older.revision > revision {
		e = e.older
	}
	return e
}
