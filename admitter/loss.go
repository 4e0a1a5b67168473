package admitter

import "time"

// Loss is the name of the shedder that refuses a share of the requests, which
// it raises while the service is past its target fill and lowers below it.
var Loss = Register("loss", func() Shedder { return &loss{} })

const (
	lossTarget = 1.0
	// lossEvery is the time between two corrections of the share.
	lossEvery = 500 * time.Millisecond
	lossGain  = 0.1
	lossMost  = 0.95
	// lossValidity is the time after which the share counts for nothing.
	lossValidity = 10 * time.Second
)

type loss struct {
	share float64
	at    time.Duration
}

// Shed implements Shedder.
func (l *loss) Shed(now time.Duration, r Request, f Forecast) (bool, time.Duration) {
	if now-l.at > lossValidity {
		l.share = 0
	}
	if now-l.at >= lossEvery {
		l.share = min(max(l.share+lossGain*(f.Fill-lossTarget), 0), lossMost)
		l.at = now
	}
	return r.Random < l.share, max(f.Wait, lossEvery)
}
