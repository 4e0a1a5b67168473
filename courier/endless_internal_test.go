package courier

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// Guards against an answer without length that counts as whole although its endpoint is in trouble: a
// health check that gets bytes without end, and no answer, waits for no slot.
func TestBytesThatAreNoAnswerDoNotShowThatAnEndpointIsAlive(t *testing.T) {
	for name, part := range map[string]string{"status line": "x", "header lines": "HTTP/1.1 200 OK\r\nX: y\r\n", "interim answers": "HTTP/1.1 102 Processing\r\n\r\n"} {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(name+" "+pause.String(), func(t *testing.T) {
				g := gomega.NewWithT(t)
				l := newLivenessChecks(zap.NewNop(), func([]quarantiner.Crash) {})
				l.probe = platform.ProbeInstance
				e := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a", BornMS: 3}, Address: listen(t, func(c net.Conn) {
					defer c.Close()
					_, _ = c.Read(make([]byte, 1024))
					var err error
					for err == nil {
						_, err = io.WriteString(c, part)
						time.Sleep(pause)
					}
				})})
				begun := time.Now()
				g.Expect(l.IsAlive(t.Context(), e, "/health", time.Now())).To(gomega.BeFalse())
				g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 2*aliveCheckTimeout))
			})
		}
	}
}

// Guards against a stopping router whose refusal waits for a body that comes slowly, until the process ends
// and the caller has no answer.
func TestStoppingRouterAnswersWithoutTheBody(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &Router{Options: Options{Node: loadTestNode(t, ""), Wire: platform.HeaderCodec{}}, startedAt: time.Now().Add(-time.Minute)}
	c.drainingSince.Store(1)
	s := httptest.NewServer(http.HandlerFunc(c.handleCaller))
	t.Cleanup(s.Close)
	caller, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer caller.Close()
	_, err = io.WriteString(caller, "POST /a/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\nhalf")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(caller.SetReadDeadline(time.Now().Add(2 * time.Second))).To(gomega.Succeed())
	a, err := http.ReadResponse(bufio.NewReader(caller), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
}
