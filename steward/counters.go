package steward

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanhoist.example/rattanhoist/quarantiner"
)

// Metrics of a keeper.
var (
	heartbeats = metrics.NewCounter("rattanhoist_endpoint_heartbeats_total")
	// heartbeatsRefused counts heartbeats that did not come from a valid endpoint.
	heartbeatsRefused = metrics.NewCounter("rattanhoist_endpoint_heartbeats_refused_total")
	routerSyncs       = metrics.NewCounter("rattanhoist_router_questions_total")
	rightsClaims      = metrics.NewCounter("rattanhoist_rights_claims_total")
	changeDurations   = metrics.NewHistogram("rattanhoist_order_seconds")
	// crashesReported counts requests that were in progress at endpoints when these
	// crashed.
	crashesReported     = metrics.NewCounter("rattanhoist_endpoint_crashes_told_total")
	crashesDropped      = metrics.NewCounter("rattanhoist_endpoint_crashes_dropped_total")
	trialsPermitted     = metrics.NewCounter("rattanhoist_quarantine_trials_total")
	changesNotCommitted = metrics.NewCounter("rattanhoist_orders_not_now_total")
	// leavesUnnotified counts leaves that were acknowledged before all routers had synced.
	leavesUnnotified = metrics.NewCounter("rattanhoist_leaves_unnotified_total")
)

// sharesFailed counts messages with observations that another keeper did not receive.
var sharesFailed = metrics.NewCounter("rattanhoist_shares_failed_total")

// countQuarantineChange counts a subject that was quarantined, or released if the duration is 0.
func countQuarantineChange(x quarantiner.Subject, duration time.Duration) {
	kind, change := "request", "held"
	if x.IsPart() {
		kind = "part"
	}
	if duration == 0 {
		change = "released"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`rattanhoist_quarantines_total{kind=%q,change=%q}`, kind, change)).Inc()
}

// registerGauges registers the gauges of a keeper; a process has one keeper only.
func (s *Keeper) registerGauges() {
	metrics.GetOrCreateGauge("rattanhoist_log_applied", func() float64 { return float64(s.loop.State().Applied()) })
	metrics.GetOrCreateGauge("rattanhoist_log_leads", func() float64 {
		if s.loop.State().IsLeader() {
			return 1
		}
		return 0
	})
	metrics.GetOrCreateGauge("rattanhoist_log_voters", func() float64 { return float64(len(s.loop.State().Voters())) })
	metrics.GetOrCreateGauge("rattanhoist_log_voters_responsive", func() float64 { return float64(s.loop.State().ResponsiveVoters()) })
	metrics.GetOrCreateGauge("rattanhoist_log_confirmed_age_seconds", func() float64 {
		return time.Since(s.loop.State().ConfirmedAt()).Seconds()
	})
	metrics.GetOrCreateGauge("rattanhoist_claim_interval_stated_seconds", func() float64 {
		interval, _ := s.claimPace.stated()
		return interval.Seconds()
	})
	metrics.GetOrCreateGauge("rattanhoist_processor_use", func() float64 {
		_, use := s.claimPace.stated()
		return use
	})
	metrics.GetOrCreateGauge("rattanhoist_endpoint_traces_dropped", func() float64 { return float64(s.registry.tracesDropped()) })
	metrics.GetOrCreateGauge("rattanhoist_zones_evacuated", func() float64 { return float64(len(s.committedState.Load().evacuations.Zones())) })
	metrics.GetOrCreateGauge("rattanhoist_configuration_number", func() float64 { return float64(s.committedState.Load().document.Number()) })
}
