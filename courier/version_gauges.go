package courier

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/VictoriaMetrics/metrics"

	"rattanhoist.example/rattanhoist/predictor"
)

// versionGauges are the gauges of the endpoints in service by service and software version. The zero
// value is ready to use. It is not safe for concurrent use.
type versionGauges struct {
	// registered holds the names of the gauges that exist.
	registered map[string]bool
}

// update sets the gauges, and removes those of versions that are no longer in service.
func (v *versionGauges) update(byService map[string][]*predictor.Endpoint) {
	counts := map[string]int{}
	for service, list := range byService {
		for _, e := range list {
			counts[versionGaugeName(service, string(e.Version()))]++
		}
	}
	for name := range v.registered {
		if counts[name] == 0 {
			metrics.UnregisterMetric(name)
		}
	}
	v.registered = make(map[string]bool, len(counts))
	for name, n := range counts {
		metrics.GetOrCreateGauge(name, nil).Set(float64(n))
		v.registered[name] = true
	}
}

func versionGaugeName(service, version string) string {
	return fmt.Sprintf(`rattanhoist_endpoints_in_service{service="%s",version="%s"}`, labelValue(service), labelValue(version))
}

// labelValue replaces the characters that would have to be escaped in a label.
func labelValue(text string) string {
	return strings.Map(func(r rune) rune {
		if r == '"' || r == '\\' || !unicode.IsPrint(r) {
			return '_'
		}
		return r
	}, text)
}
