package admitter

import "time"

// Deadline is the name of the shedder that rejects requests whose predicted
// completion is after their deadline.
var Deadline = Register("deadline", func() Shedder { return deadline{} })

type deadline struct{}

// ShouldShed implements Shedder. The retry delay is the predicted lateness:
// after that time the backlog has shrunk enough for the same request to meet
// its deadline.
func (deadline) ShouldShed(now time.Duration, r Request, f Forecast) (bool, time.Duration) {
	late := now + f.Wait + r.Service - r.Deadline
	if late <= 0 {
		return false, 0
	}
	return true, late
}
