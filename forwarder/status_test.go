package forwarder_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const notExecuted = "Rattanhoist-Not-Executed: 1\r\n"

// headWithStatus returns a head with another status.
func headWithStatus(head, status string) string {
	return strings.Replace(head, "200 OK", status+" X", 1)
}

// Guards against a status that is none and that reaches the caller, by which a request that may have run is reported
// as not run, or on which the server panics.
func TestStatusThatIsNoneIsNotPassedOn(t *testing.T) {
	const unsigned = "HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: ID\r\n"
	heads := map[string]string{"signed": headOK, "unsigned": unsigned, "unnamed": "HTTP/1.1 200 OK\r\n", "not executed": headOK + notExecuted}
	bodies := map[string]string{"length": "Content-Length: 5\r\n\r\nhello", "empty": "Content-Length: 0\r\n\r\n", "event": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + event("1") + streamEnd}
	for _, status := range []string{"000", "001", "099", "101", "600", "777", "999", "20", "1000", "-10", "+20"} {
		for name, head := range heads {
			for framing, rest := range bodies {
				t.Run(status+" "+name+" "+framing, func(t *testing.T) {
					t.Parallel()
					for _, path := range []string{"/once/x", "/read/x", "/stream/x", "/resume/x"} {
						g := gomega.NewWithT(t)
						e := newEndpoint(t, responds(headWithStatus(head, status)+rest))
						w := newTestRouter(t, e)
						begun := time.Now()
						a := w.send(t, "POST", path, "b", "Rattanhoist-Token-Usage", "10,20")
						g.Expect(a.err).NotTo(gomega.HaveOccurred())
						g.Expect(a.status).To(gomega.Equal(http.StatusBadGateway), "%s: %q", path, a.body)
						g.Expect(a.header).NotTo(gomega.HaveKey(signature))
						g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
						g.Expect(e.requests()).To(gomega.HaveLen(1))
					}
				})
			}
		}
	}
}

// Guards against an idempotent request that fails because of a status that is none, although another endpoint could
// answer it, and against a request that runs twice because of one.
func TestStatusThatIsNoneMayHaveRun(t *testing.T) {
	for _, status := range []string{"000", "101", "600", "999"} {
		for name, head := range map[string]string{"signed": headOK, "not executed": headOK + notExecuted} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				bad, good := newEndpoint(t, responds(headWithStatus(head, status)+"Content-Length: 0\r\n\r\n")), newEndpoint(t, responds(answerOK))
				w := newTestRouter(t, bad, good)
				for i := 0; i < 4 || i < maxDraws && len(bad.requests()) == 0; i++ {
					g.Expect(w.send(t, "GET", "/read/x", "").status).To(gomega.Equal(http.StatusOK))
				}
				g.Expect(bad.requests()).NotTo(gomega.BeEmpty())
				for range 6 {
					before := len(bad.requests()) + len(good.requests())
					w.send(t, "POST", "/once/x", "b")
					g.Expect(len(bad.requests()) + len(good.requests()) - before).To(gomega.Equal(1))
				}
			})
		}
	}
}
