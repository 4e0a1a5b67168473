package tracker

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist"
)

// Damping of endpoints that come and go.
const (
	// stableAfter is the life of an incarnation after which earlier
	// restarts are forgotten.
	stableAfter = 10 * time.Second
	// freeRestarts may follow each other quickly: a rolling update does so.
	freeRestarts = 1
	holdBase     = time.Second
	holdMax      = 30 * time.Second
	// maxDoublings reaches holdMax and keeps the shift in range.
	maxDoublings = 5
)

// entry is what the tracker knows under one name: the newest incarnation.
type entry struct {
	endpoint *rattanhoist.Endpoint
	id       uint64
	// Number stands for the incarnation in replies; it is never given twice.
	number   uint64
	sequence uint64
	// Joined is the revision at which the present description came.
	joined uint64
	// Revision is that of the latest news; entries are listed in its order.
	revision uint64
	// Via is the router that told the latest news, "" for the endpoint.
	via string
	// Sibling reports whether via is a router of the own zone.
	sibling  bool
	joinedAt rattanhoist.Moment
	// Restarts counts incarnations that followed each other quickly.
	restarts int
	// Older and newer are the neighbours in the order of revisions.
	older, newer *entry
}

// report is news of an endpoint from whatever source.
type report struct {
	// Fields describe the endpoint; Heard, Load and Leaving are not read.
	fields   rattanhoist.EndpointFields
	sequence uint64
	load     int64
	// Heard is not after the moment at which the endpoint spoke.
	heard   rattanhoist.Moment
	leaving bool
	via     string
	sibling bool
}

// identify returns a short name for one incarnation of an endpoint.
func identify(name string, i rattanhoist.Incarnation) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(name)
	var b [9]byte
	binary.BigEndian.PutUint64(b[1:], uint64(i))
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// hold returns until when a restarted endpoint gets no work.
func hold(restarts int, now rattanhoist.Moment) rattanhoist.Moment {
	if restarts <= freeRestarts {
		return rattanhoist.Moment{}
	}
	d := holdBase << min(restarts-freeRestarts-1, maxDoublings)
	return now.Add(min(d, holdMax))
}

// describes reports whether an endpoint is as the fields say.
func describes(f rattanhoist.EndpointFields, e *rattanhoist.Endpoint) bool {
	return f.Service == e.Service() && f.Zone == e.Zone() && f.Address == e.Address() &&
		f.Capacity == e.Capacity() && f.ChecksFencing == e.ChecksFencing() && maps.Equal(f.Labels, e.Labels())
}

// order lists entries by revision.
type order struct{ oldest, newest *entry }

func (o *order) remove(e *entry) {
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

func (o *order) append(e *entry) {
	e.older = o.newest
	if o.newest != nil {
		o.newest.newer = e
	} else {
		o.oldest = e
	}
	o.newest = e
}

// after returns the oldest entry whose revision is higher.
func (o *order) after(revision uint64) *entry {
	e := o.newest
	if e == nil || e.revision <= revision {
		return nil
	}
	for e.older != nil && e.older.revision > revision {
		e = e.older
	}
	return e
}
