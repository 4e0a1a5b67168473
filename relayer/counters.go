package relayer

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"rattanhoist.example/rattanhoist/messenger"
)

// Counters of a router that asks relays, and of one that serves as a relay.
var (
	relayedConnections = metrics.NewCounter("rattanhoist_relayed_connections_total")
	// relaySearchesFailed counts connections for which no relay had a path, and
	// relaySearchesSkipped those for which none was asked because too many searches failed.
	relaySearchesFailed  = metrics.NewCounter("rattanhoist_relay_searches_failed_total")
	relaySearchesSkipped = metrics.NewCounter("rattanhoist_relay_searches_skipped_total")
	relaysServed         = metrics.NewCounter("rattanhoist_relays_served_total")
	relayProofsRefused   = metrics.NewCounter(`rattanhoist_relays_declined_total{reason="proof"}`)
)

// countDeclined counts a connection that was not relayed, by reason.
func countDeclined(r messenger.RelayResult) {
	reason := strings.ToLower(strings.TrimPrefix(r.String(), "RELAY_RESULT_"))
	metrics.GetOrCreateCounter(`rattanhoist_relays_declined_total{reason="` + reason + `"}`).Inc()
}
