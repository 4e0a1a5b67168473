package courier

import (
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/predictor"
)

// Observe records the state that an endpoint reported in its response to a request sent
// at sentAt, and logs changes of its rate limit and the start of load shedding.
func (f *fleet) Observe(e *predictor.Endpoint, s predictor.State, sentAt time.Time) {
	change := e.Observe(s, sentAt, time.Now())
	if change.RateLimit {
		f.logRateLimit(e, s.RateLimit)
	}
	if change.SheddingStarted {
		f.o.Log.Info("endpoint started shedding load", zap.String("endpoint", e.Name()), zap.String("service", e.Beat().Service),
			zap.Duration("retry_after", s.RetryAfter))
	}
}
