package tracker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// Bounds of one gossip message.
const (
	maxStates   = 512
	maxRenewals = 4096
	maxWanted   = 512
	// perServiceAbroad is how many endpoints of a service another zone is
	// told of; the rest it need not know, since own zone comes first.
	perServiceAbroad = 32
)

// Peer is what this router has pulled from another one. One pull at a time.
type Peer struct {
	name string
	// Sibling reports whether the other one is in the same zone.
	sibling bool
	// Relayed reports whether it is asked in turn with others.
	relayed bool
	// Incarnation and revision are those of the last reply taken.
	incarnation, revision uint64
	// Numbers are those that this incarnation gave out, with the ids that
	// they stand for.
	numbers map[uint64]uint64
	// Wanted are ids of renewals that came without a description,
	// wantedNumbers those that came as numbers.
	wanted, wantedNumbers []uint64
}

// NewPeer returns a router that nothing was pulled from yet.
func NewPeer(name string, sibling bool) *Peer {
	return &Peer{name: name, sibling: sibling, numbers: map[uint64]uint64{}}
}

// NewPeerInTurn returns a sibling that is pulled from in turn with others:
// it is to pass on also what it heard from siblings.
func NewPeerInTurn(name string) *Peer {
	p := NewPeer(name, true)
	p.relayed = true
	return p
}

// Request returns the next pull. Silent names the siblings that do not answer.
func (p *Peer) Request(node, zone string, silent []string) *messenger.GossipRequest {
	return &messenger.GossipRequest{
		Node: node, Zone: zone, Incarnation: p.incarnation, Revision: p.revision, Silent: silent,
		Want: p.wanted, WantNumbers: p.wantedNumbers, Packs: true, Relayed: p.relayed,
	}
}

// Reply returns what a puller does not know yet. It leaves out what is too old
// to be used, what the puller told itself or hears from a sibling, and, for a
// puller of another zone, endpoints of third zones.
func (t *Tracker) Reply(q *messenger.GossipRequest, now rattanhoist.Moment) *messenger.GossipReply {
	if q.Relayed && len(q.Left) > 0 {
		// A push; one that asks in turn hears enough by its pulls.
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
	fresh := t.freshNumbers(q)
	var renewed []*entry
	for e := t.order.after(since); e != nil; e = e.newer {
		if len(out.Endpoints) >= maxStates || len(renewed) >= maxRenewals {
			out.Revision = e.revision - 1
			break
		}
		switch {
		case !t.tells(e, q, since) || e.spared(fresh, since):
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

// appendWanted describes what the puller could not place.
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

func (t *Tracker) tells(e *entry, q *messenger.GossipRequest, since uint64) bool {
	if e.via == q.Node {
		// One that asks in turn learns the number with the description.
		return q.Relayed && e.joined > since
	}
	if q.Zone != t.zone {
		return e.endpoint.Zone() == t.zone && t.sampled(e, q.Zone)
	}
	return q.Relayed || !e.sibling || slices.Contains(q.Silent, e.via)
}

// spared reports whether a puller that listed fresh numbers needs no renewal of
// the entry yet.
func (e *entry) spared(fresh map[uint64]bool, since uint64) bool {
	return fresh[e.number] && e.joined <= since && !e.endpoint.Leaving()
}

// sampled chooses which endpoints another zone hears of; the same ones as
// long as the number of the service's endpoints stays.
func (t *Tracker) sampled(e *entry, zone string) bool {
	n := uint64(max(t.counted[e.endpoint.Service()], 1))
	return n <= perServiceAbroad || (e.id^xxhash.Sum64String(zone))%n < perServiceAbroad
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

// ageMs returns the age rounded up; false where it is of no use to anyone.
// The age of an endpoint that leaves does not matter.
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

// Merge takes the reply to a pull in. Asked is when the pull was sent: what
// the reply calls n old was announced less than n before the reply was made,
// and that was after asked, so the age counts from asked is never too small.
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
		t.takeState(s, report{heard: heardAt(asked, s.AgeMs), via: p.name, sibling: p.sibling}, now)
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
		t.takeRenewal(e, p, x.Sequence, x.Load, heardAt(asked, x.AgeMs), x.Leaving, now)
	}
	t.unpack(p, r.Packed, asked, now)
	t.pruneNumbers(p)
	p.incarnation, p.revision = r.Incarnation, r.Revision
}

func (t *Tracker) takeRenewal(e *entry, p *Peer, sequence uint64, load int64, heard rattanhoist.Moment, leaving bool, now rattanhoist.Moment) {
	_, err := t.renew(e, report{
		sequence: sequence, load: min(max(load, 0), MaxLoad), heard: heard,
		leaving: leaving, via: p.name, sibling: p.sibling,
	}, now)
	t.countRejected(err)
}

func heardAt(asked rattanhoist.Moment, ageMs uint32) rattanhoist.Moment {
	return asked.Add(-time.Duration(ageMs) * time.Millisecond)
}

// TakeLeft takes pushed news of endpoints that left. Everything else in them
// is passed over: a push has no bound on its age.
func (t *Tracker) TakeLeft(q *messenger.GossipRequest, now rattanhoist.Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range q.Left[:min(len(q.Left), maxStates)] {
		if s.Leaving {
			t.takeState(s, report{via: q.Node, sibling: q.Zone == t.zone}, now)
		}
	}
}

// takeState merges a described endpoint; the report says how it was heard.
func (t *Tracker) takeState(s *messenger.EndpointState, r report, now rattanhoist.Moment) {
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
	_, err := t.take(r, now)
	t.countRejected(err)
}

func (t *Tracker) countRejected(err error) {
	if err != nil {
		t.stats.Rejected++
	}
}

// Left returns the message that pushes an endpoint's leaving.
func (t *Tracker) Left(name string) *messenger.EndpointState {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	if e == nil || !e.endpoint.Leaving() {
		return nil
	}
	return stateOf(e.endpoint, e.sequence)
}
