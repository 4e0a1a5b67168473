package courier

import (
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/warmer"
)

// Observe records the state that an endpoint reported in its response to a request sent at
// sentAt, and logs what changed. An endpoint that is leaving is then removed from service.
func (f *fleetView) Observe(e *predictor.Endpoint, s predictor.State, sentAt time.Time) {
	change := e.Observe(s, sentAt, time.Now())
	if change.RateLimit {
		f.rateLimitChanged(e, s.RateLimit)
	}
	if change.RejectionLimit {
		f.rejectionLimitChanged(e, s.RejectionLimit)
	}
	if change.SheddingStarted {
		f.options.Log.Info("endpoint started shedding load", zap.String("endpoint", e.Name()), zap.String("service", e.Beat().Service),
			zap.Duration("retry_after", s.RetryAfter))
	}
	if change.LeavingStarted {
		f.options.Log.Info("endpoint reports that it is leaving", zap.String("endpoint", e.Name()), zap.String("service", e.Beat().Service))
		f.mu.Lock()
		f.leaving = append(f.leaving, e.Beat().Incarnation)
		f.mu.Unlock()
	}
}

// rejectionLimitChanged logs a new limit on rejections, and makes run set the shares of it.
func (f *fleetView) rejectionLimitChanged(e *predictor.Endpoint, l warmer.RateLimit) {
	f.rejectionsLimited.Store(true)
	f.options.Log.Info("endpoint rejection limit changed", zap.String("endpoint", e.Name()), zap.String("service", e.Beat().Service),
		zap.Bool("limited", l.Limited), zap.Float64("per_second", l.PerSecond))
}

// removeLeaving removes from service the incarnations that have reported that they are
// leaving. The removal is permanent: later sightings from keepers can't restore them.
func (f *fleetView) removeLeaving(now time.Time) {
	f.mu.Lock()
	leaving := f.leaving
	f.leaving = nil
	f.mu.Unlock()
	for _, i := range leaving {
		f.registered.Leave(now, i)
	}
}
