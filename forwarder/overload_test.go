package forwarder_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against requests that wait at an overloaded router until their deadline while
// other routers have capacity, and against refusals that keep callers from trying another
// router at once.
func TestOverloadedRouterRefusesAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newTestRouter(t, e)
	w.admission.full = true
	begun := time.Now()
	a := w.send(t, http.MethodPost, "/once/x", strings.Repeat("x", 1<<20))
	g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after).To(gomega.BeNumerically("<", 0.1))
	g.Expect(e.requests()).To(gomega.BeEmpty())
	w.admission.full = false
	g.Expect(w.send(t, http.MethodPost, "/once/x", "x").status).To(gomega.Equal(http.StatusOK))
}

// Guards against endpoints that are ejected, and tried one after the other, because the
// router's own network link delays its connections.
func TestOverloadedRouterCountsNoEndpointFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newEndpoint(t, responds(answerOK)), newEndpoint(t, responds(answerOK))
	w := newTestRouter(t, one, two)
	_ = one.listener.Close()
	_ = two.listener.Close()
	w.admission.overloaded = true
	for range 10 {
		a := w.send(t, http.MethodGet, "/read/x", "")
		g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(a.body).To(gomega.ContainSubstring("overloaded"))
	}
	for _, e := range w.table.Endpoints("engine") {
		g.Expect(e.Gate().Ejected()).To(gomega.BeFalse())
	}
	w.admission.overloaded = false
	for range 10 {
		w.send(t, http.MethodGet, "/read/x", "")
	}
	ejected := false
	for _, e := range w.table.Endpoints("engine") {
		ejected = ejected || e.Gate().Ejected()
	}
	g.Expect(ejected).To(gomega.BeTrue(), "failures count where the router is not overloaded")
}
