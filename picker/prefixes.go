package picker

import (
	"sync/atomic"
	"time"
)

const (
	prefixWays = 4
	prefixSets = 1 << 13
	// prefixMaxAge is how long a record is used without renewal.
	prefixMaxAge = 10 * time.Minute
)

// prefixes is a set-associative table of the endpoints that hold a prompt prefix
// in their cache, as far as known from this router's own dispatches and from
// cache events. Its memory is fixed: the oldest record of a full set is replaced.
// Its content is only a hint. It is lock-free and safe for concurrent use.
type prefixes struct {
	slots [prefixSets * prefixWays]prefixSlot
}

// prefixSlot holds check = prefix XOR value, so that a torn read of two
// concurrent writes yields a prefix that doesn't match any query.
type prefixSlot struct{ check, value atomic.Uint64 }

// packValue packs the endpoint's id and the time of the record in seconds plus
// one, so that a value is never 0.
func packValue(id uint32, now time.Duration) uint64 {
	return uint64(id)<<32 | uint64(uint32(now/time.Second)+1)
}

func (p *prefixes) set(prefix uint64) []prefixSlot {
	i := (mix(prefix) % prefixSets) * prefixWays
	return p.slots[i : i+prefixWays]
}

// add records that an endpoint holds a prefix.
func (p *prefixes) add(prefix uint64, id uint32, now time.Duration) {
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

// remove records that an endpoint no longer holds a prefix.
func (p *prefixes) remove(prefix uint64, id uint32) {
	set := p.set(prefix)
	for i := range set {
		v := set[i].value.Load()
		if v != 0 && set[i].check.Load()^v == prefix && uint32(v>>32) == id {
			set[i].value.Store(0)
		}
	}
}

// holders returns the ids of the endpoints that hold a prefix; unused entries
// are 0.
func (p *prefixes) holders(prefix uint64, now time.Duration) (ids [prefixWays]uint32) {
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
