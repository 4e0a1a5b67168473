package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/forwarder"
)

// liveHeapGrowth returns how much the heap that is in use has grown at most while f ran.
func liveHeapGrowth(f func()) int64 {
	live := func() int64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return int64(s.HeapAlloc)
	}
	before, highest, done := live(), int64(0), make(chan struct{})
	go func() { defer close(done); f() }()
	for {
		highest = max(highest, live()-before)
		select {
		case <-done:
			return highest
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// manyFields returns fields of a head, which are short and have different names.
func manyFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		_, _ = fmt.Fprintf(&b, "X%x:\r\n", i)
	}
	return b.String()
}

// halts returns a script that begins an answer, and does not come to its end.
func halts(head, rest string) script {
	shared := []byte(rest)
	return func(c net.Conn, r *http.Request, b string) bool {
		responds(head)(c, r, b)
		_, _ = c.Write(shared)
		_, _ = c.Read(make([]byte, 1))
		return false
	}
}

// withConnections returns the document with a limit on the connections to an endpoint.
func withConnections(n int) func(t *testing.T, e *endpoint) *testRouter {
	return func(t *testing.T, e *endpoint) *testRouter {
		d := document()
		d.Services[0].Connections = n
		return newTestRouterWith(t, d, func(*forwarder.Dependencies) {}, func(int) string { return "z" }, e)
	}
}

// Endpoints in trouble begin many answers, each below the limits of one. Guards against a router that holds all of
// them and is ended for its memory.
func TestUnfinishedAnswersStayWithinTheMemory(t *testing.T) {
	const (
		requests, limit = 96, 4 << 20
		// perRequest is the memory of the connections of a request, with what the test holds for it.
		perRequest = 64 << 10
		// perLimit is how much of the heap answers may take for each byte of the limit.
		perLimit = 2
	)
	body, fields := strings.Repeat("x", 255<<10), manyFields(60<<10)
	for name, x := range map[string]struct{ path, head, rest string }{
		"body":             {"/once/x", unframedHead, body},
		"body in chunks":   {"/once/x", chunkedHead, strings.Repeat("400\r\n"+strings.Repeat("x", 0x400)+"\r\n", 250)},
		"stated body":      {"/once/x", headOK + "Content-Length: 262143\r\n\r\n", body},
		"rejection":        {"/once/x", "HTTP/1.1 400 Bad Request\r\n" + notExecuted + "Rattanhoist-Request-Id: ID\r\n\r\n", body},
		"head":             {"/once/x", headOK, fields},
		"whole head":       {"/once/x", headOK, fields + "Content-Length: 5\r\n\r\n"},
		"head of an event": {"/stream/x", headOK, fields + "Content-Type: text/event-stream\r\n\r\n"},
		"interim heads":    {"/once/x", "HTTP/1.1 103 Early Hints\r\n", fields + "\r\nHTTP/1.1 200 OK\r\n" + fields},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := newEndpoint(t, halts(x.head, x.rest))
			w := withConnections(4*requests)(t, e)
			w.limits.Memory = enforcer.NewMemory(limit)
			answers := make([]response, requests)
			grown := liveHeapGrowth(func() {
				var ended sync.WaitGroup
				for i := range requests {
					ended.Go(func() { answers[i] = w.send(t, "POST", x.path, "b") })
				}
				ended.Wait()
			})
			unsent := 0
			for _, a := range answers {
				if a.status == http.StatusServiceUnavailable {
					unsent++
				} else {
					expectUnanswered(g, a)
				}
			}
			g.Expect(grown).To(gomega.BeNumerically("<", perLimit*limit+requests*perRequest))
			if name != "rejection" {
				g.Expect(len(e.requests())+unsent).To(gomega.Equal(requests), "503 means that the request has not run")
			}
			g.Eventually(w.limits.Memory.Held, time.Second).Should(gomega.BeZero(), "nothing stays counted")
		})
	}
}

// Guards against answers that fail for want of memory although there is enough, or that are short and need none.
func TestAnswersThatFitAreWhole(t *testing.T) {
	const limit = 4 << 20
	for name, x := range map[string]struct {
		head, body string
		held       int
	}{
		"long":                    {headOK + "Content-Length: 200000\r\n\r\n", strings.Repeat("x", 200_000), 0},
		"long, no length":         {unframedHead, strings.Repeat("x", 200_000), 0},
		"many fields":             {headOK + manyFields(8<<10) + "Content-Length: 5\r\n\r\n", "hello", 0},
		"short, memory is full":   {headOK + "Content-Length: 4000\r\n\r\n", strings.Repeat("x", 4000), 2 * limit},
		"long, bodies take it up": {headOK + "Content-Length: 200000\r\n\r\n", strings.Repeat("x", 200_000), limit},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := withConnections(100)(t, newEndpoint(t, func(c net.Conn, r *http.Request, b string) bool {
				responds(x.head)(c, r, b)
				_, _ = io.WriteString(c, x.body)
				return false
			}))
			w.limits.Memory = enforcer.NewMemory(limit)
			w.limits.Memory.Hold().Add(x.held)
			var ended sync.WaitGroup
			for range 4 {
				ended.Go(func() {
					a := w.send(t, "GET", "/read/x", "")
					g.Expect(a.err).NotTo(gomega.HaveOccurred())
					g.Expect(a.status).To(gomega.Equal(http.StatusOK), "%q", a.body)
					g.Expect(a.body).To(gomega.HaveLen(len(x.body)))
				})
			}
			ended.Wait()
		})
	}
}
