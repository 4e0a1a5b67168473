package courier

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// syncFailures records the keepers whose syncs fail, by address, and logs when a keeper begins or ceases to
// fail. Another keeper may answer meanwhile, so that the router as a whole is in contact. It is used by one
// goroutine.
type syncFailures map[string]keeperFailure

// keeperFailure is a series of failed syncs with one keeper.
type keeperFailure struct {
	since time.Time
	code  codes.Code
}

// record records the outcome of a sync with a keeper.
func (f syncFailures) record(now time.Time, log *zap.Logger, keeper string, err error) {
	countSync(err).Inc()
	failure, failing := f[keeper]
	if err == nil {
		if failing {
			delete(f, keeper)
			log.Info("syncs with keeper succeed again", zap.String("keeper", keeper), zap.Duration("failed_for", now.Sub(failure.since)))
		}
		return
	}
	code := status.Code(err)
	if failing && failure.code == code {
		return
	}
	if !failing {
		failure.since = now
	}
	f[keeper] = keeperFailure{since: failure.since, code: code}
	log.Warn("syncs with keeper fail", zap.String("keeper", keeper), zap.Stringer("code", code), zap.Error(err))
}

// countSync returns the counter of syncs with a result.
func countSync(err error) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("rattanhoist_syncs_total{code=%q}", status.Code(err)))
}
