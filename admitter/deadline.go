package admitter

import "time"

// Deadline is the name of the shedder that refuses a request whose predicted
// finish lies past its deadline.
var Deadline = Register("deadline", func() Shedder { return deadline{} })

type deadline struct{}

// Shed implements Shedder. The time to come back is that by which the backlog
// will have shrunk enough for the same request to be met.
func (deadline) Shed(now time.Duration, r Request, f Forecast) (bool, time.Duration) {
	late := now + f.Wait + r.Service - r.Deadline
	if late <= 0 {
		return false, 0
	}
	return true, late
}
