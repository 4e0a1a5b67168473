package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

// unreadAnswer is the answer to a caller that does not read it.
type unreadAnswer struct {
	header  http.Header
	started chan int
	ended   chan struct{}
}

func (a *unreadAnswer) Header() http.Header { return a.header }

func (*unreadAnswer) WriteHeader(int) {}

func (a *unreadAnswer) Write(b []byte) (int, error) {
	a.started <- len(b)
	<-a.ended
	return 0, net.ErrClosed
}

// Endpoints send long events, and callers do not read them. Guards against a router that counts an event only until it is
// whole, holds all of them and is ended for its memory.
func TestUnreadEventIsCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(unframedStream, "id: 1\n"+strings.Repeat("data: x\n", 100_000)+"\n")))
	w.limits.Memory = enforcer.NewMemory(1 << 30)
	answer := &unreadAnswer{header: http.Header{}, started: make(chan int), ended: make(chan struct{})}
	r := httptest.NewRequest("POST", "http://a.example/stream/x", strings.NewReader("b"))
	r.Header.Set("Api-Key", "k1")
	r.Header.Set("Rattanhoist-Request-Id", "r1")
	var handled sync.WaitGroup
	handled.Go(func() {
		defer func() { g.Expect(recover()).To(gomega.Equal(http.ErrAbortHandler), "the caller has gone") }()
		w.forwarder.ServeHTTP(answer, r)
	})
	length := <-answer.started
	g.Expect(w.limits.Memory.Held()).To(gomega.BeNumerically(">=", length-8<<10), "all but the buffers of its connection")
	close(answer.ended)
	handled.Wait()
	g.Expect(w.limits.Memory.Held()).To(gomega.BeZero())
}
