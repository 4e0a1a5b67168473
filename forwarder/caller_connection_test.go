package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/forwarder"
)

// connectionStub is a caller's connection that ends in a given way.
type connectionStub struct{ end, unprotected forwarder.ConnectionEnd }

func (c connectionStub) End() forwarder.ConnectionEnd { return c.end }

func (c connectionStub) Protect() forwarder.ConnectionEnd { return c.unprotected }

// serveOn serves a request that arrived on a connection. The status is 0 if the connection was aborted.
func (w *testRouter) serveOn(ctx context.Context, c forwarder.CallerConnection) (status int) {
	r := httptest.NewRequestWithContext(forwarder.WithCallerConnection(ctx, c), "POST", "/once/x", strings.NewReader("body"))
	r.Host = "a.example"
	r.Header.Set("Rattanhoist-Request-Id", "r1")
	r.Header.Set("Api-Key", "k1")
	answer := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	w.forwarder.ServeHTTP(answer, r)
	return answer.Code
}

// Guards against a request that was not sent on and gets no answer: a router that ends a read of its caller's connection
// takes that for the caller's leave, and a caller that has ended only its own side still reads.
func TestRequestThatWasNotSentOnIsRefused(t *testing.T) {
	for _, end := range []forwarder.ConnectionEnd{
		forwarder.ClosedByCaller, forwarder.ResetByCaller, forwarder.Evicted, forwarder.EndedByDeadline, forwarder.ClosedByRouter,
	} {
		t.Run(string(end), func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newTestRouter(t, newEndpoint(t, responds(answerOK)))
			ctx, cancel := context.WithCancel(t.Context())
			w.pool.UseDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				cancel()
				<-ctx.Done()
				return nil, ctx.Err()
			})
			g.Expect(w.serveOn(ctx, connectionStub{end: end})).To(gomega.Equal(http.StatusServiceUnavailable))
		})
	}
}

// Guards against a router that ends a read of its caller's connection, takes that for the caller's leave, and answers
// nothing to a request that an endpoint may have run.
func TestOnlyACallerThatLeftGetsNoAnswer(t *testing.T) {
	for end, status := range map[forwarder.ConnectionEnd]int{
		forwarder.ClosedByCaller: 0, forwarder.ResetByCaller: 0,
		forwarder.Evicted: http.StatusGatewayTimeout, forwarder.EndedByDeadline: http.StatusGatewayTimeout, forwarder.ClosedByRouter: http.StatusGatewayTimeout,
	} {
		t.Run(string(end), func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			w := newTestRouter(t, newEndpoint(t, func(c net.Conn, _ *http.Request, _ string) bool {
				cancel()
				_, _ = c.Read(make([]byte, 1))
				return false
			}))
			g.Expect(w.serveOn(ctx, connectionStub{end: end})).To(gomega.Equal(status))
		})
	}
}

// Guards against a request that is sent on although its caller's connection is about to be closed.
func TestRequestOnAConnectionThatClosesIsNotSentOn(t *testing.T) {
	for _, end := range []forwarder.ConnectionEnd{forwarder.Evicted, forwarder.ClosedByCaller} {
		t.Run(string(end), func(t *testing.T) {
			g := gomega.NewWithT(t)
			sent := make(chan struct{}, 1)
			w := newTestRouter(t, newEndpoint(t, func(net.Conn, *http.Request, string) bool {
				sent <- struct{}{}
				return false
			}))
			g.Expect(w.serveOn(t.Context(), connectionStub{unprotected: end})).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Consistently(sent, 100*time.Millisecond).ShouldNot(gomega.Receive())
		})
	}
}
