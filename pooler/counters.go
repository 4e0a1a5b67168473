package pooler

import (
	"errors"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

// Connection attempts to endpoints, by result.
var (
	dialsConnected = metrics.NewCounter(`rattanhoist_endpoint_dials_total{result="connected"}`)
	dialsRefused   = metrics.NewCounter(`rattanhoist_endpoint_dials_total{result="refused"}`)
	dialsTimedOut  = metrics.NewCounter(`rattanhoist_endpoint_dials_total{result="timeout"}`)
	dialsFailed    = metrics.NewCounter(`rattanhoist_endpoint_dials_total{result="error"}`)
)

// Changes of the direct paths to endpoints. silenceChecks counts the connections that were opened
// because a whole service had fallen silent.
var (
	pathsLost     = metrics.NewCounter("rattanhoist_endpoint_paths_lost_total")
	pathsRestored = metrics.NewCounter("rattanhoist_endpoint_paths_restored_total")
	silenceChecks = metrics.NewCounter("rattanhoist_endpoint_silence_checks_total")
)

// countDial counts the result of a connection attempt.
func countDial(err error) {
	switch {
	case err == nil:
		dialsConnected.Inc()
	case errors.Is(err, syscall.ECONNREFUSED):
		dialsRefused.Inc()
	case TimedOut(err):
		dialsTimedOut.Inc()
	default:
		dialsFailed.Inc()
	}
}
