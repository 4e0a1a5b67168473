package tracker

import (
	"cmp"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// ageUnit is the unit of ages in packed renewals: up to 2 s they take one byte.
const ageUnit = 16 * time.Millisecond

// pack returns the renewals of entries that are of use to anyone, nil for none.
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
		out.Ages = append(out.Ages, ageUnits(age))
		last = e.number
	}
	return out
}

// ageUnits rounds up: no age may become smaller on its way.
func ageUnits(ms uint32) uint32 {
	return uint32((time.Duration(ms)*time.Millisecond + ageUnit - 1) / ageUnit)
}

// unpack merges packed renewals; lists of different lengths are cut to the
// shortest and counted.
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
		heard := asked.Add(-time.Duration(x.Ages[i]) * ageUnit)
		t.takeRenewal(e, p, x.Sequences[i], load, heard, x.Loads[i]&1 == 1, now)
	}
}

// pruneNumbers bounds what is kept of endpoints that are gone: their numbers
// do not come again, and one that does is asked for.
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

// freshPart of the maximal age, in hundredths, is how old an entry may be
// before its renewal is asked for: lower costs more bytes, higher more age.
const freshPart = 40

// Request returns the next pull from a peer. Silent names the siblings that do
// not answer.
func (t *Tracker) Request(p *Peer, node, zone string, silent []string, now rattanhoist.Moment) *messenger.GossipRequest {
	q := p.Request(node, zone, silent)
	if p.relayed {
		q.Fresh = t.fresh(p, now)
	}
	return q
}

// fresh lists the numbers of a peer that need no renewal yet.
func (t *Tracker) fresh(p *Peer, now rattanhoist.Moment) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	enough := t.maxAge * freshPart / 100
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
	// Each but the first becomes its difference from the one before.
	for i := len(out) - 1; i > 0; i-- {
		out[i] -= out[i-1]
	}
	return out
}

// freshNumbers reads the numbers that the puller of this incarnation listed.
func (t *Tracker) freshNumbers(q *messenger.GossipRequest) map[uint64]bool {
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
