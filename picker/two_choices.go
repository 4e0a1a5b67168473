package picker

// TwoChoices is the name of the picker that draws two random candidates and
// chooses the one with the lower load relative to its capacity.
var TwoChoices = Register("two_choices", func() Picker { return twoChoices{} })

// maxTwoChoicesDraws is the maximum number of draws to find two usable
// candidates.
const maxTwoChoicesDraws = 8

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
	for range maxTwoChoicesDraws {
		i := r.below(n)
		if i == best || !s.usable(&q, i, now) {
			continue
		}
		if best < 0 || s.candidates[i].reportedLoad() < s.candidates[best].reportedLoad() {
			best = i
		}
		if found++; found == 2 {
			return best
		}
	}
	if best < 0 {
		return s.fallback(&q, now)
	}
	return best
}
