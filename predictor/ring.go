package predictor

import (
	"cmp"
	"slices"
	"sort"
	"strconv"
)

// ringProbes is the number of probes for each key: the fullest endpoint then gets little
// more than the mean.
const ringProbes = 8

// ring maps keys to endpoints by multi-probe consistent hashing. A lookup takes a number of
// steps logarithmic in the number of endpoints, and a change of endpoints moves few keys.
// It is immutable.
type ring struct {
	// points is ordered by hash.
	points []ringPoint
}

// ringPoint is the position of an endpoint on the ring.
type ringPoint struct {
	hash     uint64
	endpoint *Endpoint
}

// newRing returns a ring with the given endpoints.
func newRing(list []*Endpoint) *ring {
	r := &ring{points: make([]ringPoint, len(list))}
	for i, e := range list {
		r.points[i] = ringPoint{hash: hashPair("", e.beat.ID), endpoint: e}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.endpoint.beat.ID, b.endpoint.beat.ID))
	})
	return r
}

// lookup returns the endpoint for a key among those that fit, or nil.
func (r *ring) lookup(key string, fits func(*Endpoint) bool) *Endpoint {
	if len(r.points) == 0 {
		return nil
	}
	best, shortest := 0, ^uint64(0)
	for i := range ringProbes {
		probe := hashPair(key, strconv.Itoa(i))
		at := sort.Search(len(r.points), func(n int) bool { return r.points[n].hash >= probe }) % len(r.points)
		// Unsigned subtraction wraps around like the ring.
		if d := r.points[at].hash - probe; d < shortest {
			best, shortest = at, d
		}
	}
	for i := range r.points {
		if e := r.points[(best+i)%len(r.points)].endpoint; fits(e) {
			return e
		}
	}
	return nil
}
