package admitter

import "time"

// Loss is the name of the shedder that rejects a random fraction of the
// requests. The fraction grows while the load of the service is above its
// target and shrinks while it is below.
var Loss = Register("loss", func() Shedder { return &loss{} })

const (
	lossTargetFill = 1.0
	// lossInterval is the time between two updates of the rejected fraction.
	lossInterval = 500 * time.Millisecond
	lossGain     = 0.1
	maxLossShare = 0.95
	// lossValidity is the time without an update after which the rejected
	// fraction is reset to 0.
	lossValidity = 10 * time.Second
)

type loss struct {
	share     float64
	updatedAt time.Duration
}

// ShouldShed implements Shedder.
func (l *loss) ShouldShed(now time.Duration, r Request, f Forecast) (bool, time.Duration) {
	if now-l.updatedAt > lossValidity {
		l.share = 0
	}
	if now-l.updatedAt >= lossInterval {
		l.share = min(max(l.share+lossGain*(f.Load-lossTargetFill), 0), maxLossShare)
		l.updatedAt = now
	}
	return r.RandomValue < l.share, max(f.Wait, lossInterval)
}
