package tracker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// Limits on one gossip message.
const (
	maxStates   = 512
	maxRenewals = 4096
	maxWanted   = 512
	// maxRemotePerService is the maximum number of endpoints of a service that
	// are sent to another zone, which uses its own endpoints first.
	maxRemotePerService = 32
)

// Peer holds the state of the pulls from another router. Only one pull may be in
// progress at a time.
type Peer struct {
	name string
	// Sibling is set if the other router is in the same zone.
	sibling bool
	// Relayed is set if pulls rotate over the siblings.
	relayed bool
	// Incarnation and revision are those of the last merged reply.
	incarnation, revision uint64
	// Numbers maps the numbers assigned by this incarnation to ids.
	numbers map[uint64]uint64
	// Wanted holds the ids of renewals whose endpoints are unknown, and
	// wantedNumbers their numbers if they came as numbers.
	wanted, wantedNumbers []uint64
}

// NewPeer returns the state for a router from which nothing was pulled yet.
func NewPeer(name string, sibling bool) *Peer {
	return &Peer{name: name, sibling: sibling, numbers: map[uint64]uint64{}}
}

// NewRotatedPeer returns the state for a sibling if pulls rotate over the
// siblings. Its replies include what it received from other siblings.
func NewRotatedPeer(name string) *Peer {
	p := NewPeer(name, true)
	p.relayed = true
	return p
}

// Request returns the next pull request. Silent holds the siblings that don't
// answer.
func (p *Peer) Request(node, zone string, silent []string) *messenger.GossipRequest {
	return &messenger.GossipRequest{
		Node: node, Zone: zone, Incarnation: p.incarnation, Revision: p.revision, Silent: silent,
		Want: p.wanted, WantNumbers: p.wantedNumbers, Packs: true, Relayed: p.relayed,
	}
}

// Reply returns what changed since the puller's revision. It omits entries that
// are too old to be used, those that the puller reported itself or receives from
// a sibling, and, for a puller in another zone, endpoints of other zones.
func (t *Tracker) Reply(q *messenger.GossipRequest, now rattanhoist.Moment) *messenger.GossipReply {
	if q.Relayed && len(q.Left) > 0 {
		// This is a push. A router whose pulls rotate needs no reply to it.
		return &messenger.GossipReply{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	since := q.Revision
	if q.Incarnation != uint64(t.incarnation) {
		since = 0
	}
	out := &messenger.GossipReply{Incarnation: uint64(t.incarnation), Revision: t.revision.Load()}
	t.appendWanted(out, q, since, now)
	fresh := t.decodeFreshNumbers(q)
	var renewed []*entry
	for e := t.order.after(since); e != nil; e = e.newer {
		if len(out.Endpoints) >= maxStates || len(renewed) >= maxRenewals {
			out.Revision = e.revision - 1
			break
		}
		switch {
		case !t.sendsTo(e, q, since) || e.needsNoRenewal(fresh, since):
		case e.joined > since:
			t.appendState(out, e, now)
		default:
			renewed = append(renewed, e)
		}
	}
	if q.Packs {
		out.Packed = t.pack(renewed, now)
		return out
	}
	for _, e := range renewed {
		t.appendRenewal(out, e, now)
	}
	return out
}

// appendWanted appends the descriptions that the puller asked for.
func (t *Tracker) appendWanted(out *messenger.GossipReply, q *messenger.GossipRequest, since uint64, now rattanhoist.Moment) {
	for _, id := range q.Want[:min(len(q.Want), maxWanted)] {
		if e := t.byID[id]; e != nil && e.joined <= since {
			t.appendState(out, e, now)
		}
	}
	if q.Incarnation != uint64(t.incarnation) {
		return
	}
	for _, n := range q.WantNumbers[:min(len(q.WantNumbers), maxWanted)] {
		if e := t.byNumber[n]; e != nil && e.joined <= since {
			t.appendState(out, e, now)
		}
	}
}

func (t *Tracker) sendsTo(e *entry, q *messenger.GossipRequest, since uint64) bool {
	if e.via == q.Node {
		// A router whose pulls rotate receives the number with the description.
		return q.Relayed && e.joined > since
	}
	if q.Zone != t.zone {
		return e.endpoint.Zone() == t.zone && t.isSampled(e, q.Zone)
	}
	return q.Relayed || !e.sibling || slices.Contains(q.Silent, e.via)
}

// needsNoRenewal reports whether the puller listed the entry as recent enough.
func (e *entry) needsNoRenewal(fresh map[uint64]bool, since uint64) bool {
	return fresh[e.number] && e.joined <= since && !e.endpoint.Leaving()
}

// isSampled reports whether an endpoint is sent to another zone. The sample is
// the same while the number of the service's endpoints is.
func (t *Tracker) isSampled(e *entry, zone string) bool {
	n := uint64(max(t.ownZoneCounts[e.endpoint.Service()], 1))
	return n <= maxRemotePerService || (e.id^xxhash.Sum64String(zone))%n < maxRemotePerService
}

func (t *Tracker) appendState(out *messenger.GossipReply, e *entry, now rattanhoist.Moment) {
	age, ok := t.ageMs(e, now)
	if !ok {
		return
	}
	s := stateOf(e.endpoint, e.sequence)
	s.AgeMs, s.Number = age, e.number
	out.Endpoints = append(out.Endpoints, s)
}

func (t *Tracker) appendRenewal(out *messenger.GossipReply, e *entry, now rattanhoist.Moment) {
	age, ok := t.ageMs(e, now)
	if !ok {
		return
	}
	out.Renewals = append(out.Renewals, &messenger.EndpointRenewal{
		Id: e.id, Sequence: e.sequence, Load: e.endpoint.Load(), AgeMs: age, Leaving: e.endpoint.Leaving(),
	})
}

// ageMs returns the age, rounded up, or false if the entry is too old to be used.
// The age of a leaving endpoint is 0.
func (t *Tracker) ageMs(e *entry, now rattanhoist.Moment) (uint32, bool) {
	if e.endpoint.Leaving() {
		return 0, true
	}
	age, ok := now.Since(e.endpoint.AnnouncedAtMoment())
	if !ok || age >= t.maxAge {
		return 0, false
	}
	return uint32((age + time.Millisecond - 1) / time.Millisecond), true
}

func stateOf(e *rattanhoist.Endpoint, sequence uint64) *messenger.EndpointState {
	labels := map[string]string{}
	for k, v := range e.Labels() {
		if !isReserved(k) {
			labels[k] = v
		}
	}
	return &messenger.EndpointState{
		Name: e.Name(), Service: e.Service(), Zone: e.Zone(), Address: e.Address(),
		Incarnation: uint64(e.Incarnation()), Labels: labels, Capacity: e.Capacity(), Load: e.Load(),
		Leaving: e.Leaving(), ChecksFencing: e.ChecksFencing(), Sequence: sequence,
	}
}

// Merge merges the reply to a pull that was sent at asked. An entry of age n in
// the reply was announced at most n before the reply, which was made after asked,
// so an age counted from asked is never underestimated.
func (t *Tracker) Merge(p *Peer, r *messenger.GossipReply, asked, now rattanhoist.Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := now.Since(asked); !ok {
		return
	}
	if r.Incarnation != p.incarnation {
		p.numbers = map[uint64]uint64{}
	}
	p.wanted, p.wantedNumbers = p.wanted[:0], p.wantedNumbers[:0]
	for _, s := range r.Endpoints {
		t.mergeState(s, report{announcedAt: announcementTime(asked, s.AgeMs), via: p.name, sibling: p.sibling}, now)
		if s.Number > 0 {
			p.numbers[s.Number] = identify(s.Name, rattanhoist.Incarnation(s.Incarnation))
		}
	}
	for _, x := range r.Renewals {
		e := t.byID[x.Id]
		if e == nil {
			if len(p.wanted) < maxWanted {
				p.wanted = append(p.wanted, x.Id)
			}
			continue
		}
		t.mergeRenewal(e, p, x.Sequence, x.Load, announcementTime(asked, x.AgeMs), x.Leaving, now)
	}
	t.unpack(p, r.Packed, asked, now)
	t.pruneNumbers(p)
	p.incarnation, p.revision = r.Incarnation, r.Revision
}

func (t *Tracker) mergeRenewal(e *entry, p *Peer, sequence uint64, load int64, announcedAt rattanhoist.Moment, leaving bool, now rattanhoist.Moment) {
	_, err := t.renew(e, report{
		sequence: sequence, load: min(max(load, 0), MaxLoad), announcedAt: announcedAt,
		leaving: leaving, via: p.name, sibling: p.sibling,
	}, now)
	t.countRejected(err)
}

func announcementTime(asked rattanhoist.Moment, ageMs uint32) rattanhoist.Moment {
	return asked.Add(-time.Duration(ageMs) * time.Millisecond)
}

// MergeLeaves merges the leaving endpoints in a push. Other entries are ignored,
// because the age of a push is unknown.
func (t *Tracker) MergeLeaves(q *messenger.GossipRequest, now rattanhoist.Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range q.Left[:min(len(q.Left), maxStates)] {
		if s.Leaving {
			t.mergeState(s, report{via: q.Node, sibling: q.Zone == t.zone}, now)
		}
	}
}

// mergeState merges an endpoint's description. The report holds its source and
// time.
func (t *Tracker) mergeState(s *messenger.EndpointState, r report, now rattanhoist.Moment) {
	a := Announcement{
		Name: s.Name, Service: s.Service, Zone: s.Zone, Address: s.Address, Labels: s.Labels,
		Incarnation: s.Incarnation, Sequence: s.Sequence, Capacity: s.Capacity, Load: s.Load,
		Leaving: s.Leaving, ChecksFencing: s.ChecksFencing,
	}
	if a.Check(t.zones) != nil {
		t.stats.Rejected++
		return
	}
	r.fields, r.sequence, r.load, r.leaving = a.fields(), s.Sequence, s.Load, s.Leaving
	_, err := t.merge(r, now)
	t.countRejected(err)
}

func (t *Tracker) countRejected(err error) {
	if err != nil {
		t.stats.Rejected++
	}
}

// Left returns the message to push when an endpoint is leaving, or nil.
func (t *Tracker) Left(name string) *messenger.EndpointState {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	if e == nil || !e.endpoint.Leaving() {
		return nil
	}
	return stateOf(e.endpoint, e.sequence)
}
