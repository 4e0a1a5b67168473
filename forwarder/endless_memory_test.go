package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enforcer"
)

// Endpoints in trouble begin long events in many streams, each below the limit of one event. Guards against
// a router that holds all of them and is ended for its memory.
func TestUnfinishedEventsStayWithinTheMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	const streams, limit = 12, 2 << 20
	lines := strings.Repeat("data: x\n", 100_000)
	e := newEndpoint(t, func(c net.Conn, r *http.Request, b string) bool {
		responds(unframedStream)(c, r, b)
		_, _ = io.WriteString(c, lines)
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	w := newTestRouter(t, e)
	w.limits.Memory = enforcer.NewMemory(limit)
	var ended sync.WaitGroup
	answers := make([]response, streams)
	for i := range streams {
		ended.Go(func() { answers[i] = w.send(t, "POST", "/stream/x", "b") })
	}
	g.Eventually(w.limits.Memory.Held, 5*time.Second, time.Millisecond).Should(gomega.BeNumerically(">", limit/2))
	g.Consistently(w.limits.Memory.Held, 200*time.Millisecond, time.Millisecond).Should(gomega.BeNumerically("<=", limit+64<<10))
	ended.Wait()
	unsent := 0
	for _, a := range answers {
		if a.status == http.StatusServiceUnavailable {
			unsent++
		} else {
			expectUnanswered(g, a)
		}
	}
	g.Expect(len(e.requests())+unsent).To(gomega.Equal(streams), "503 means that the request has not run")
	g.Eventually(w.limits.Memory.Held, time.Second).Should(gomega.BeZero(), "nothing stays counted")
}
