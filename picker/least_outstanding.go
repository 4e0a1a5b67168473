package picker

// LeastOutstanding is the name of the picker that chooses the candidate with the
// fewest requests of this router in progress.
var LeastOutstanding = Register("least_outstanding", func() Picker { return leastOutstanding{} })

// leastOutstandingSample is the maximum number of candidates compared.
const leastOutstandingSample = 256

type leastOutstanding struct{}

// Pick implements Picker. It starts at a random candidate; otherwise every
// router of an idle fleet would send its first requests to the same endpoint.
func (leastOutstanding) Pick(q Query, s *Set) int {
	n := len(s.candidates)
	if n == 0 {
		return -1
	}
	now := s.at(q.Now)
	best, fewest := -1, int64(0)
	i := int(q.Seed % uint64(n))
	for range min(n, leastOutstandingSample) {
		if own := s.candidates[i].stats.inFlight.Load(); (best < 0 || own < fewest) && s.usable(&q, i, now) {
			best, fewest = i, own
		}
		if i++; i == n {
			i = 0
		}
	}
	if best < 0 {
		return s.fallback(&q, now)
	}
	return best
}
