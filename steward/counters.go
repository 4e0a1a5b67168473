package steward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Counters of a keeper.
var (
	beats = metrics.NewCounter("rattanhoist_endpoint_heartbeats_total")
	// BeatsRefused counts heartbeats that named no endpoint to use.
	beatsRefused = metrics.NewCounter("rattanhoist_endpoint_heartbeats_refused_total")
	questions    = metrics.NewCounter("rattanhoist_router_questions_total")
	claims       = metrics.NewCounter("rattanhoist_rights_claims_total")
	orders       = metrics.NewHistogram("rattanhoist_order_seconds")
	// CrashesHeard counts requests that were under way at endpoints that ended.
	crashesHeard = metrics.NewCounter("rattanhoist_endpoint_crashes_told_total")
	refusals     = metrics.NewCounter("rattanhoist_orders_not_now_total")
)

// gauges shows the state of a steward; one process holds one.
func (s *Steward) gauges() {
	metrics.GetOrCreateGauge("rattanhoist_log_applied", func() float64 { return float64(s.loop.State().Applied()) })
	metrics.GetOrCreateGauge("rattanhoist_log_leads", func() float64 {
		if s.loop.State().Leads() {
			return 1
		}
		return 0
	})
	metrics.GetOrCreateGauge("rattanhoist_log_confirmed_age_seconds", func() float64 {
		return time.Since(s.loop.State().ConfirmedAt()).Seconds()
	})
	metrics.GetOrCreateGauge("rattanhoist_zones_evacuated", func() float64 { return float64(len(s.view.Load().evacuations.Zones())) })
	metrics.GetOrCreateGauge("rattanhoist_configuration_number", func() float64 { return float64(s.view.Load().document.Number()) })
}
