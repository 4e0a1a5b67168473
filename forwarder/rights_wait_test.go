package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/forwarder"
)

const tokenUsage = "Rattanhoist-Token-Usage"

// Guards against requests that wait for prepaid tokens until a large part of their route's latency
// objective is over.
func TestWaitForTokensFollowsTheObjective(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(answerOK)))
	for _, path := range []string{"/fast/x", "/medium/x", "/slow/x", "/read/x"} {
		g.Expect(w.send(t, http.MethodGet, path, "", tokenUsage, "10,10").status).To(gomega.Equal(http.StatusOK), path)
	}
	ms := time.Millisecond
	g.Expect(w.rights.waits).To(gomega.Equal([]time.Duration{200 * ms, 200 * ms, 240 * ms, 240 * ms}))
}

// Guards against late answers whose cause, the wait for tokens, is not in the log, and against
// the field in the lines of requests that did not wait.
func TestEndedLineStatesTheWaitForTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newTestRouter(t, e)
	w.send(t, http.MethodGet, "/read/x", "")
	w.rights.delay = 30 * time.Millisecond
	w.send(t, http.MethodGet, "/read/x", "", tokenUsage, "10,10")
	w.rights.err = forwarder.RightsUnavailable{After: 3 * time.Second}
	a := w.send(t, http.MethodGet, "/read/x", "", tokenUsage, "10,10")
	g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).To(gomega.HavePrefix("3."))
	g.Expect(e.requests()).To(gomega.HaveLen(2), "a refused request has not run")
	ended := w.logged.FilterMessage("ended").All()
	g.Expect(ended).To(gomega.HaveLen(3))
	g.Expect(ended[0].ContextMap()).NotTo(gomega.HaveKey("rights_wait"), "no prepaid tokens needed")
	for _, l := range ended[1:] {
		g.Expect(l.ContextMap()["rights_wait"]).To(gomega.BeNumerically(">=", 30*time.Millisecond))
	}
}
