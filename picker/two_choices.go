package picker

// TwoChoices is the name of the picker that draws two candidates and takes
// the one with less work for its capacity.
var TwoChoices = Register("two_choices", func() Picker { return twoChoices{} })

// twoChoicesDraws bounds the draws that look for two usable candidates.
const twoChoicesDraws = 8

type twoChoices struct{}

// Pick implements Picker.
func (twoChoices) Pick(q Query, s *Set) int {
	n := len(s.candidates)
	if n == 0 {
		return -1
	}
	now := s.at(q.Now)
	r := source(q.Seed)
	best, found := -1, 0
	for range twoChoicesDraws {
		i := r.below(n)
		if i == best || !s.usable(&q, i, now) {
			continue
		}
		if best < 0 || s.candidates[i].reported() < s.candidates[best].reported() {
			best = i
		}
		if found++; found == 2 {
			return best
		}
	}
	if best < 0 {
		return s.lastResort(&q, now)
	}
	return best
}
