package courier

import "github.com/VictoriaMetrics/metrics"

// Counters of a router's rights.
var (
	rightsRefused  = metrics.NewCounter("rattanhoist_rights_out_of_reach_total")
	rightsSpent    = metrics.NewCounter("rattanhoist_rights_spent_total")
	borrowedTokens = metrics.NewCounter("rattanhoist_rights_borrowed_tokens_total")
	lendersSilent  = metrics.NewCounter("rattanhoist_rights_lenders_silent_total")
	lentTokens     = metrics.NewCounter("rattanhoist_rights_lent_tokens_total")
	ownersSilent   = metrics.NewCounter("rattanhoist_rights_owners_silent_total")
	claimsAnswered = metrics.NewCounter("rattanhoist_rights_claims_answered_total")
	claimsFailed   = metrics.NewCounter("rattanhoist_rights_claims_failed_total")
)

// OutdatedRefusals counts requests refused while a newer configuration was known and not held.
var outdatedRefusals = metrics.NewCounter("rattanhoist_configuration_outdated_refusals_total")

// EndpointsEnded counts endpoints that ended while requests of this router were under
// way there.
var endpointsEnded = metrics.NewCounter("rattanhoist_endpoints_ended_total")

// gauges shows the state of a courier; one process holds one.
func (c *Courier) gauges() {
	metrics.GetOrCreateGauge("rattanhoist_requests_active", func() float64 { return float64(c.active.Load()) })
	metrics.GetOrCreateGauge("rattanhoist_connections_opened", func() float64 { return float64(c.opened.Load()) })
	metrics.GetOrCreateGauge("rattanhoist_keeper_silence_seconds", func() float64 { return c.fleet.untouched().Seconds() })
	metrics.GetOrCreateGauge("rattanhoist_zones_evacuated", func() float64 { return float64(len(c.fleet.evacuations.load().zones)) })
	metrics.GetOrCreateGauge("rattanhoist_routers_known", func() float64 { return float64(c.fleet.Routers()) })
	metrics.GetOrCreateGauge("rattanhoist_configuration_number", func() float64 {
		if x := c.fleet.Index(); x != nil {
			return float64(x.Number())
		}
		return 0
	})
}
