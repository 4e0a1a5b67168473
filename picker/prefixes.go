package picker

import (
	"sync/atomic"
	"time"
)

const (
	prefixWays = 4
	prefixSets = 1 << 13
	// prefixMaxAge bounds how long a record is believed without renewal.
	prefixMaxAge = 10 * time.Minute
)

// prefixes records which endpoints hold which prompt prefixes in their cache:
// this router's own dispatches, and cache events where they come. Its memory
// is fixed; the oldest record of a full set makes room. It is only a hint.
// Safe for concurrent use without a lock.
type prefixes struct {
	slots [prefixSets * prefixWays]prefixSlot
}

// prefixSlot holds check = prefix XOR value, so that a reader that meets the
// halves of two writes sees a prefix that nobody asked for.
type prefixSlot struct{ check, value atomic.Uint64 }

// A value packs the endpoint's id and the second of the record plus one.
func packValue(id uint32, now time.Duration) uint64 {
	return uint64(id)<<32 | uint64(uint32(now/time.Second)+1)
}

func (p *prefixes) set(prefix uint64) []prefixSlot {
	i := (mix(prefix) % prefixSets) * prefixWays
	return p.slots[i : i+prefixWays]
}

// stored notes that an endpoint has a prefix.
func (p *prefixes) stored(prefix uint64, id uint32, now time.Duration) {
	if prefix == 0 {
		return
	}
	set := p.set(prefix)
	at := 0
	oldest := ^uint32(0)
	for i := range set {
		v := set[i].value.Load()
		if v != 0 && set[i].check.Load()^v == prefix && uint32(v>>32) == id {
			at = i
			break
		}
		if s := uint32(v); s < oldest {
			at, oldest = i, s
		}
	}
	v := packValue(id, now)
	set[at].value.Store(v)
	set[at].check.Store(prefix ^ v)
}

// evicted notes that an endpoint no longer has a prefix.
func (p *prefixes) evicted(prefix uint64, id uint32) {
	set := p.set(prefix)
	for i := range set {
		v := set[i].value.Load()
		if v != 0 && set[i].check.Load()^v == prefix && uint32(v>>32) == id {
			set[i].value.Store(0)
		}
	}
}

// owners lists the ids of endpoints that hold a prefix, 0 for none.
func (p *prefixes) owners(prefix uint64, now time.Duration) (ids [prefixWays]uint32) {
	if prefix == 0 {
		return ids
	}
	set := p.set(prefix)
	for i := range set {
		v := set[i].value.Load()
		if v == 0 || set[i].check.Load()^v != prefix {
			continue
		}
		if age := now/time.Second + 1 - time.Duration(uint32(v)); age*time.Second <= prefixMaxAge {
			ids[i] = uint32(v >> 32)
		}
	}
	return ids
}
