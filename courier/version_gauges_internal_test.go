package courier

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/predictor"
)

// Guards against gauges of versions that have left service, and against metrics that can't be parsed
// because of a version's text.
func TestGaugesFollowTheVersionsInService(t *testing.T) {
	g := gomega.NewWithT(t)
	endpoint := func(version string) *predictor.Endpoint {
		return predictor.NewEndpoint(enroller.Heartbeat{Version: enroller.Version(version)})
	}
	text := func() string {
		var b bytes.Buffer
		metrics.WritePrometheus(&b, false)
		return b.String()
	}
	var v versionGauges
	v.update(map[string][]*predictor.Endpoint{"s-gauges": {endpoint("v1"), endpoint("v1"), endpoint("a\"},\\\n=")}})
	g.Expect(text()).To(gomega.ContainSubstring(`rattanhoist_endpoints_in_service{service="s-gauges",version="v1"} 2`))
	g.Expect(text()).To(gomega.ContainSubstring(`version="a_},__="} 1`))
	v.update(map[string][]*predictor.Endpoint{"s-gauges": {endpoint("v2")}})
	g.Expect(text()).NotTo(gomega.ContainSubstring(`version="v1"`))
	g.Expect(text()).To(gomega.ContainSubstring(`version="v2"} 1`))
}
