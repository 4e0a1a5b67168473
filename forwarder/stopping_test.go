package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/forwarder"
)

// Guards against requests that get no answer, or one which says that they did not run, because their
// router may not wait any longer.
func TestRequestsAreAnsweredWhenTheirRouterEndsThem(t *testing.T) {
	working := make(chan struct{}, 1)
	atWork := newEndpoint(t, func(c net.Conn, _ *http.Request, _ string) bool {
		working <- struct{}{}
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	for name, x := range map[string]struct {
		change func(*testRouter)
		status int
	}{
		"endpoint is at work": {func(*testRouter) {}, http.StatusBadGateway},
		"connection to an endpoint is opened": {func(w *testRouter) {
			w.pool.UseDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				working <- struct{}{}
				<-ctx.Done()
				return nil, ctx.Err()
			})
		}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newTestRouter(t, atWork)
			x.change(w)
			ctx, end := context.WithCancelCause(t.Context())
			r := httptest.NewRequestWithContext(ctx, "POST", "/once/x", strings.NewReader("body"))
			r.Host = "a.example"
			r.Header.Set("Rattanhoist-Request-Id", "r1")
			r.Header.Set("Api-Key", "k1")
			answer, done := httptest.NewRecorder(), make(chan struct{})
			go func() {
				defer close(done)
				// A connection that is aborted gets no answer.
				defer func() { _ = recover() }()
				w.forwarder.ServeHTTP(answer, r)
			}()
			g.Eventually(working, 2*time.Second).Should(gomega.Receive())
			end(forwarder.ErrRouterStops)
			g.Eventually(done, time.Second).Should(gomega.BeClosed())
			g.Expect(answer.Code).To(gomega.Equal(x.status))
			g.Expect(answer.Body.String()).To(gomega.ContainSubstring(forwarder.ErrRouterStops.Error()))
		})
	}
}

// Guards against an answer after which its connection is closed and whose log line does not say so.
func TestLogTellsWhichAnswersCloseTheirConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(answerOK)))
	for _, closes := range []bool{false, true} {
		r := httptest.NewRequestWithContext(t.Context(), "POST", "/once/x", strings.NewReader("body"))
		r.Host = "a.example"
		r.Header.Set("Rattanhoist-Request-Id", "r1")
		r.Header.Set("Api-Key", "k1")
		answer := httptest.NewRecorder()
		if closes {
			answer.Header().Set("Connection", "close")
		}
		w.forwarder.ServeHTTP(answer, r)
		g.Expect(answer.Code).To(gomega.Equal(http.StatusOK))
		ended := w.logged.FilterMessage("ended").TakeAll()
		g.Expect(ended).To(gomega.HaveLen(1))
		_, told := ended[0].ContextMap()["closes"]
		g.Expect(told).To(gomega.Equal(closes))
		w.logged.TakeAll()
	}
}

// Guards against a request that a stopping router sends to an endpoint again, after another has rejected it, although
// there is no time left for it.
func TestRejectedRequestIsNotSentAgainByAStoppingRouter(t *testing.T) {
	for name, x := range map[string]struct {
		left   time.Duration
		status int
	}{"time is left": {time.Minute, http.StatusOK}, "no time is left": {time.Second, http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var late atomic.Bool
			e := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
				late.Store(true)
				return responds(answerNotRun)(c, r, body)
			}, responds(answerOK))
			end := time.Now().Add(x.left)
			w := newTestRouterWith(t, document(), func(p *forwarder.Dependencies) {
				p.Stop = func() forwarder.Stop { return forwarder.Stop{RequestsEnd: end, Late: late.Load()} }
			}, func(int) string { return "z" }, e, e)
			a := w.send(t, http.MethodPost, "/once/x", "body")
			g.Expect(a.status).To(gomega.Equal(x.status), a.body)
			if x.status == http.StatusServiceUnavailable {
				g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
				g.Expect(a.body).To(gomega.ContainSubstring(forwarder.ErrRouterStops.Error()))
				g.Expect(e.requests()).To(gomega.HaveLen(1))
			}
		})
	}
}
