package courier

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/resumer"
)

// coordinatorsSilent counts coordinators of permits that did not answer.
var coordinatorsSilent = metrics.NewCounter("rattanhoist_permit_coordinators_silent_total")

// Counters for prepaid rights.
var (
	rightsOutOfReach = metrics.NewCounter("rattanhoist_rights_out_of_reach_total")
	rightsSpent      = metrics.NewCounter("rattanhoist_rights_spent_total")
	borrowedTokens   = metrics.NewCounter("rattanhoist_rights_borrowed_tokens_total")
	lenderFailures   = metrics.NewCounter("rattanhoist_rights_lenders_silent_total")
	lentTokens       = metrics.NewCounter("rattanhoist_rights_lent_tokens_total")
	ownerFailures    = metrics.NewCounter("rattanhoist_rights_owners_silent_total")
	claimsAnswered   = metrics.NewCounter("rattanhoist_rights_claims_answered_total")
	claimsFailed     = metrics.NewCounter("rattanhoist_rights_claims_failed_total")
	// claimIntervalsDropped counts stated claim intervals that are out of range.
	claimIntervalsDropped = metrics.NewCounter("rattanhoist_claim_intervals_dropped_total")
	// knownSpentRefusals counts the part of rightsSpent that was refused by an earlier notice,
	// and droppedNotices the malformed notices of unspent tokens.
	knownSpentRefusals = metrics.NewCounter("rattanhoist_rights_known_spent_total")
	droppedNotices     = metrics.NewCounter("rattanhoist_rights_notices_dropped_total")
	// loanSearches counts the searches for loans that asked other routers, and emptySearches
	// those without result.
	loanSearches  = metrics.NewCounter("rattanhoist_rights_searches_total")
	emptySearches = metrics.NewCounter("rattanhoist_rights_searches_empty_total")
)

// Counters for load digests. Used entries were newer than what this router knew, dropped ones are
// invalid or concern unknown endpoints or services.
var (
	digestsSent        = metrics.NewCounter("rattanhoist_load_digests_sent_total")
	digestsReceived    = metrics.NewCounter("rattanhoist_load_digests_received_total")
	loadEntriesUsed    = metrics.NewCounter("rattanhoist_load_entries_used_total")
	loadEntriesDropped = metrics.NewCounter("rattanhoist_load_entries_dropped_total")
)

// Counters for what began streams. Refused datagrams have no valid proof, and dropped searches were too
// many at a time.
var (
	streamDatagramsSent       = metrics.NewCounter("rattanhoist_stream_datagrams_sent_total")
	streamDatagramsReceived   = metrics.NewCounter("rattanhoist_stream_datagrams_received_total")
	streamDatagramsRefused    = metrics.NewCounter("rattanhoist_stream_datagrams_refused_total")
	originSearchesDropped     = metrics.NewCounter("rattanhoist_stream_searches_dropped_total")
	originSearchesFound       = metrics.NewCounter(`rattanhoist_stream_searches_total{result="found"}`)
	originSearchesUnknown     = metrics.NewCounter(`rattanhoist_stream_searches_total{result="unknown"}`)
	originSearchesUnreachable = metrics.NewCounter(`rattanhoist_stream_searches_total{result="unreachable"}`)
)

// countSearch counts the end of a search for what began a stream.
func countSearch(err error) {
	switch {
	case err == nil:
		originSearchesFound.Inc()
	case errors.Is(err, resumer.ErrUnknown):
		originSearchesUnknown.Inc()
	default:
		originSearchesUnreachable.Inc()
	}
}

// datagramsInvalid counts datagrams of other routers that could not be read.
var datagramsInvalid = metrics.NewCounter("rattanhoist_datagrams_invalid_total")

// outdatedRefusals counts requests refused because a newer configuration than the one in
// force had been announced for too long.
var outdatedRefusals = metrics.NewCounter("rattanhoist_configuration_outdated_refusals_total")

// connectionsRefused counts connections of callers that were closed unread while this router was much
// busier than the others of its zone.
var connectionsRefused = metrics.NewCounter("rattanhoist_connections_refused_total")

// endpointCrashes counts endpoints that ended while requests of this router were in
// progress there.
var endpointCrashes = metrics.NewCounter("rattanhoist_endpoints_ended_total")

// leaveDelays measures the time from when a keeper applied a leave until this router removed the
// endpoint from service, at most: the time that the reply took to arrive is included.
var leaveDelays = metrics.NewHistogram("rattanhoist_leave_delay_seconds")

// registerLeavesGauge registers the gauge of the age of what this router knows of leaves.
func registerLeavesGauge(f *fleetView) {
	metrics.GetOrCreateGauge("rattanhoist_leaves_age_seconds", func() float64 { return f.LeavesAge().Seconds() })
}

// aliveChecks returns the counter of checks whether the endpoint of an answer without length is alive. An
// answer whose endpoint is not known to be alive is broken off.
func aliveChecks(alive bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`rattanhoist_answers_without_length_total{alive="%v"}`, alive))
}

// registerMemoryGauge registers the gauge of the bytes held for callers.
func registerMemoryGauge(m *enforcer.Memory) {
	metrics.GetOrCreateGauge("rattanhoist_caller_bytes_held", func() float64 { return float64(m.Held()) })
}

// registerOriginGauges registers what is known of streams.
func registerOriginGauges(s *streamOrigins) {
	metrics.GetOrCreateGauge("rattanhoist_stream_origins", func() float64 { known, _ := s.counts(); return float64(known) })
	metrics.GetOrCreateGauge("rattanhoist_stream_origins_dropped_total", func() float64 { _, dropped := s.counts(); return float64(dropped) })
}

// registerGauges registers the gauges of a router. There is one router per process.
func (c *Router) registerGauges() {
	metrics.GetOrCreateGauge("rattanhoist_requests_active", func() float64 { return float64(c.callers.Active()) })
	metrics.GetOrCreateGauge("rattanhoist_connections_opened", func() float64 { return float64(c.connectionsOpened.Load()) })
	metrics.GetOrCreateGauge("rattanhoist_keeper_silence_seconds", func() float64 { return c.fleet.sinceContact().Seconds() })
	metrics.GetOrCreateGauge("rattanhoist_endpoint_silence_seconds", func() float64 { return c.pool.Silence().Seconds() })
	metrics.GetOrCreateGauge("rattanhoist_endpoint_paths_lost", func() float64 { return float64(c.pool.LostPaths()) })
	metrics.GetOrCreateGauge("rattanhoist_relays_active", func() float64 { return float64(c.relayedConnections()) })
	metrics.GetOrCreateGauge("rattanhoist_claim_interval_seconds", func() float64 { return c.rights.claimInterval().Seconds() })
	metrics.GetOrCreateGauge("rattanhoist_zones_evacuated", func() float64 { return float64(len(c.fleet.evacuations.load().zones)) })
	metrics.GetOrCreateGauge("rattanhoist_routers_known", func() float64 { return float64(c.fleet.Routers()) })
	metrics.GetOrCreateGauge("rattanhoist_configuration_number", func() float64 {
		if x := c.fleet.Index(); x != nil {
			return float64(x.Number())
		}
		return 0
	})
}
