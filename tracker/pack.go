package tracker

import (
	"cmp"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// ageUnit is the unit of ages in packed renewals. Ages up to 2 s take one byte.
const ageUnit = 16 * time.Millisecond

// pack returns the renewals of the entries that are not too old, or nil if the
// list is empty.
func (t *Tracker) pack(list []*entry, now rattanhoist.Moment) *messenger.PackedRenewals {
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	out := &messenger.PackedRenewals{}
	last := uint64(0)
	for _, e := range list {
		age, ok := t.ageMs(e, now)
		if !ok {
			continue
		}
		load := uint64(e.endpoint.Load()) << 1
		if e.endpoint.Leaving() {
			load |= 1
		}
		out.Numbers = append(out.Numbers, e.number-last)
		out.Sequences = append(out.Sequences, e.sequence)
		out.Loads = append(out.Loads, load)
		out.Ages = append(out.Ages, roundUpAge(age))
		last = e.number
	}
	return out
}

// roundUpAge converts an age to units. It rounds up, because ages must not be
// underestimated.
func roundUpAge(ms uint32) uint32 {
	return uint32((time.Duration(ms)*time.Millisecond + ageUnit - 1) / ageUnit)
}

// unpack merges packed renewals. If the lists have different lengths, which is
// counted, the rest of the longer ones is ignored.
func (t *Tracker) unpack(p *Peer, x *messenger.PackedRenewals, asked, now rattanhoist.Moment) {
	if x == nil {
		return
	}
	n := min(len(x.Numbers), len(x.Sequences), len(x.Loads), len(x.Ages))
	if n < max(len(x.Numbers), len(x.Sequences), len(x.Loads), len(x.Ages)) {
		t.stats.Rejected++
	}
	number := uint64(0)
	for i := range n {
		number += x.Numbers[i]
		id, known := p.numbers[number]
		e := t.byID[id]
		if !known || e == nil {
			if len(p.wantedNumbers) < maxWanted {
				p.wantedNumbers = append(p.wantedNumbers, number)
			}
			continue
		}
		load := int64(min(x.Loads[i]>>1, MaxLoad))
		announcedAt := asked.Add(-time.Duration(x.Ages[i]) * ageUnit)
		t.mergeRenewal(e, p, x.Sequences[i], load, announcedAt, x.Loads[i]&1 == 1, now)
	}
}

// pruneNumbers removes the numbers of endpoints that are gone. If one is received
// again, its description is requested.
func (t *Tracker) pruneNumbers(p *Peer) {
	const slack = 64
	if len(p.numbers) <= 2*len(t.byID)+slack {
		return
	}
	for n, id := range p.numbers {
		if t.byID[id] == nil {
			delete(p.numbers, n)
		}
	}
}

// freshPercent is the age, in percent of the maximum age, up to which an entry's
// renewal is not requested. A lower value takes more bandwidth, a higher one makes
// entries older.
const freshPercent = 40

// Request returns the next pull request to a peer. Silent holds the siblings that
// don't answer.
func (t *Tracker) Request(p *Peer, node, zone string, silent []string, now rattanhoist.Moment) *messenger.GossipRequest {
	q := p.Request(node, zone, silent)
	if p.relayed {
		q.Fresh = t.freshNumbersOf(p, now)
	}
	return q
}

// freshNumbersOf returns the numbers of a peer that need no renewal yet, encoded
// as differences.
func (t *Tracker) freshNumbersOf(p *Peer, now rattanhoist.Moment) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	enough := t.maxAge * freshPercent / 100
	out := make([]uint64, 0, len(p.numbers))
	for n, id := range p.numbers {
		e := t.byID[id]
		if e == nil {
			continue
		}
		if age, ok := now.Since(e.endpoint.AnnouncedAtMoment()); ok && age < enough {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	// All but the first are replaced by the difference from the previous one.
	for i := len(out) - 1; i > 0; i-- {
		out[i] -= out[i-1]
	}
	return out
}

// decodeFreshNumbers returns the numbers that need no renewal according to the
// puller. They are ignored if another incarnation of this router assigned them.
func (t *Tracker) decodeFreshNumbers(q *messenger.GossipRequest) map[uint64]bool {
	if q.Incarnation != uint64(t.incarnation) {
		return nil
	}
	out := make(map[uint64]bool, min(len(q.Fresh), MaxEndpoints))
	number := uint64(0)
	for _, d := range q.Fresh[:min(len(q.Fresh), MaxEndpoints)] {
		number += d
		out[number] = true
	}
	return out
}
