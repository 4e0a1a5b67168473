package picker

// LeastOutstanding is the name of the picker that takes the candidate with
// the fewest requests of this router in progress.
var LeastOutstanding = Register("least_outstanding", func() Picker { return leastOutstanding{} })

type leastOutstanding struct{}

// Pick implements Picker.
func (leastOutstanding) Pick(_ Query, c []Candidate) int {
	best := -1
	for i := range c {
		if best < 0 || c[i].InFlight < c[best].InFlight {
			best = i
		}
	}
	return best
}
