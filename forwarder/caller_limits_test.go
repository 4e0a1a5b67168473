package forwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enforcer"
)

// openCaller sends the head of a request, and what is given of its body, on a connection of its own.
func openCaller(t *testing.T, w *testRouter, path string, length int, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	const head = "POST %s HTTP/1.1\r\nHost: a.example\r\nRattanhoist-Request-Id: r2\r\nApi-Key: k1\r\nRattanhoist-Token-Usage: 10,20\r\n" +
		"Rattanhoist-Deadline-Ms: 500\r\nContent-Length: %d\r\n\r\n%s"
	if _, err := fmt.Fprintf(c, head, path, length, body); err != nil {
		t.Fatal(err)
	}
	return c
}

// endlessStream writes events until its connection ends.
func endlessStream(c net.Conn, r *http.Request, _ string) bool {
	data := strings.Repeat("y", 200)
	_, err := fmt.Fprint(c, strings.ReplaceAll(streamHead, "ID", r.Header.Get("Rattanhoist-Request-Id")))
	for id := 1; err == nil; id++ {
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
	}
	return false
}

// Guards against a caller that does not read its stream and keeps its prepaid tokens reserved, and a
// stopping router waiting, for as long as it likes.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, endlessStream))
	begun := time.Now()
	openCaller(t, w, "/stream/x", 1, "b")
	g.Eventually(w.rights.settled, 8*time.Second, 20*time.Millisecond).Should(gomega.HaveLen(1))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 2500*time.Millisecond), "its deadline of 0.5 s and a second of grace")
}

// Guards against a caller that announces a body, never sends it, and holds a handler after its
// deadline. The request has not run, which 408 states.
func TestCallerThatDoesNotSendItsBodyIsCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newTestRouter(t, e)
	c := openCaller(t, w, "/once/x", 10, "half")
	g.Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	g.Expect(e.requests()).To(gomega.BeEmpty())
}

// Many callers send large bodies at once. Guards against a router that accepts all of them and is
// ended for its memory, which breaks off every request there.
func TestBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newTestRouter(t, e)
	w.limits.Memory = enforcer.NewMemory(2200)
	slow := openCaller(t, w, "/once/x", 2000, strings.Repeat("x", 900))
	g.Eventually(w.limits.Memory.Held, 5*time.Second).Should(gomega.BeNumerically(">=", 900))
	a := w.send(t, http.MethodPost, "/once/x", strings.Repeat("x", 500))
	g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	_ = slow.Close()
	g.Eventually(w.limits.Memory.Held, 5*time.Second).Should(gomega.BeZero())
	g.Expect(w.send(t, http.MethodPost, "/once/x", strings.Repeat("x", 500)).status).To(gomega.Equal(http.StatusOK))
	g.Eventually(w.limits.Memory.Held, 5*time.Second).Should(gomega.BeZero(), "nothing stays counted")
}

// Guards against limits in a deployment that has switched them off.
func TestWithoutCallerLimitsBodiesAreAccepted(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(answerOK)))
	w.forwarder.CallerLimits = nil
	g.Expect(w.send(t, http.MethodPost, "/once/x", strings.Repeat("x", 500)).status).To(gomega.Equal(http.StatusOK))
}
