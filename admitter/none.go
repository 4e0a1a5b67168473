package admitter

import "time"

// None is the name of the shedder that rejects no request.
var None = Register("none", func() Shedder { return none{} })

type none struct{}

// ShouldShed implements Shedder.
func (none) ShouldShed(time.Duration, Request, Forecast) (bool, time.Duration) { return false, 0 }
