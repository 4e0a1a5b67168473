package acceptor

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// portCounters counts what a port refuses.
type portCounters struct {
	port string
	// refused counts connections that were closed unread, as none could be closed for them.
	refused *metrics.Counter
	// largeHeads counts heads over the limit, and refusedHeads those for which there was no memory.
	largeHeads, refusedHeads *metrics.Counter
}

// newPortCounters returns the counters of a port, and publishes the number of its connections.
func newPortCounters(name string, p *Port) portCounters {
	metrics.GetOrCreateGauge(fmt.Sprintf("rattanhoist_port_connections{port=%q}", name), func() float64 { return float64(p.Open()) })
	metrics.GetOrCreateGauge(fmt.Sprintf("rattanhoist_port_connections_max{port=%q}", name), func() float64 { return float64(p.limits.Connections) })
	metrics.GetOrCreateGauge(fmt.Sprintf("rattanhoist_port_connection_bytes{port=%q}", name), func() float64 { return float64(p.bytes()) })
	metrics.GetOrCreateGauge(fmt.Sprintf("rattanhoist_port_connection_bytes_max{port=%q}", name), func() float64 { return float64(p.limits.ConnectionBytes) })
	counter := func(kind string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("rattanhoist_port_%s_total{port=%q}", kind, name))
	}
	return portCounters{port: name, refused: counter("connections_refused"), largeHeads: counter("heads_too_large"), refusedHeads: counter("heads_refused")}
}

// evicted counts connections that were closed for others, by what was scarce.
func (c portCounters) evicted(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("rattanhoist_port_connections_evicted_total{port=%q,reason=%q}", c.port, reason))
}
