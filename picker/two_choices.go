package picker

// TwoChoices is the name of the picker that draws two candidates and takes
// the one with less work for its capacity.
var TwoChoices = Register("two_choices", func() Picker { return twoChoices{} })

type twoChoices struct{}

// Pick implements Picker.
func (twoChoices) Pick(q Query, c []Candidate) int {
	if len(c) == 0 {
		return -1
	}
	a, b := q.Rand.IntN(len(c)), q.Rand.IntN(len(c))
	if work(c[b]) < work(c[a]) {
		return b
	}
	return a
}

// work is the share of the capacity in use: the endpoint's own report, or
// this router's requests where they are more, since reports come late.
func work(c Candidate) float64 {
	return float64(max(c.InFlight, c.Endpoint.Load())) / float64(c.Endpoint.Capacity())
}
