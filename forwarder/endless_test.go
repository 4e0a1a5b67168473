package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// endlessly returns a script that writes a beginning, and then a part again and again until the
// connection is closed, with a pause after each. Without a pause, parts are written together.
func endlessly(begin, part string, pause time.Duration) script {
	if pause == 0 {
		part = strings.Repeat(part, max(4096/len(part), 1))
	}
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(begin, "ID", r.Header.Get("Rattanhoist-Request-Id")))
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(c, part)
		}
		return false
	}
}

// endlessAnswer is the beginning of an answer, and the part that follows again and again.
type endlessAnswer struct{ begin, part string }

const chunkedHead = headOK + "Transfer-Encoding: chunked\r\n\r\n"

// endlessHeads and endlessBodies are answers without end that are not in the protocol.
var (
	endlessHeads = map[string]endlessAnswer{
		"status line":     {"", "x"},
		"header lines":    {headOK, "X: y\r\n"},
		"header line":     {headOK + "X: ", "y"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"stray answer":    {"HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
	}
	endlessBodies = map[string]endlessAnswer{
		"no length":       {unframedHead, "x"},
		"long length":     {headOK + "Content-Length: 100000000000\r\n\r\n", "x"},
		"chunks":          {chunkedHead, "4\r\nxxxx\r\n"},
		"garbage":         {chunkedHead, "x"},
		"zeros":           {chunkedHead, "\x00"},
		"chunk size":      {chunkedHead, "0"},
		"chunk extension": {chunkedHead + "4;", "x"},
		"extensions":      {chunkedHead, "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n"},
		"trailers":        {chunkedHead + "4\r\nxxxx\r\n0\r\n", "X: y\r\n"},
		"trailer line":    {chunkedHead + "4\r\nxxxx\r\n0\r\nX: ", "y"},
	}
)

// heapGrowth returns how much the heap has grown at most while f ran.
func heapGrowth(f func()) int64 {
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var highest atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			highest.Store(max(highest.Load(), int64(now.HeapAlloc)-int64(before.HeapAlloc)))
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	f()
	close(stop)
	<-stopped
	return highest.Load()
}

// maxHeapGrowth is far above what a request takes, and below what a fast answer without end brings
// within its time.
const maxHeapGrowth = 24 << 20

// expectUnanswered checks the end of a request whose endpoint gave no whole answer: a status that does
// not promise that it has not run, or a connection that is broken off.
func expectUnanswered(g *gomega.WithT, a response) {
	if a.err != nil {
		g.Expect(a.err.Error()).NotTo(gomega.ContainSubstring("deadline"), "the router ends it")
		return
	}
	g.Expect(a.status).To(gomega.BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), "%q", a.body)
	g.Expect(a.header).NotTo(gomega.HaveKey(signature))
}

// expectBrokenOff checks that a router bounds what it reads and holds of an answer without end.
func expectBrokenOff(t *testing.T, path string, x endlessAnswer) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, endlessly(x.begin, x.part, 0))
	w := newTestRouter(t, e)
	var a response
	begun := time.Now()
	grown := heapGrowth(func() { a = w.send(t, "POST", path, "b", "Rattanhoist-Token-Usage", "10,20") })
	took := time.Since(begun)
	expectUnanswered(g, a)
	g.Expect(grown).To(gomega.BeNumerically("<", maxHeapGrowth))
	g.Expect(took).To(gomega.BeNumerically("<", 1200*time.Millisecond), "by the size, before the request's time of 1.5 s is up")
	g.Expect(e.requests()).To(gomega.HaveLen(1))
}

// merge returns the entries of all maps.
func merge(maps ...map[string]endlessAnswer) map[string]endlessAnswer {
	out := map[string]endlessAnswer{}
	for _, m := range maps {
		for k, v := range m {
			out[k] = v
		}
	}
	return out
}

// Guards against a router that holds what an endpoint in trouble sends without end until its process is
// ended for its memory, and against a caller that is told that its request has not run.
func TestAnswerWithoutEndIsBoundedAndBrokenOff(t *testing.T) {
	for path, answers := range map[string]map[string]endlessAnswer{
		"/once/x": merge(endlessHeads, endlessBodies), "/stream/x": endlessHeads, "/resume/x": endlessHeads,
	} {
		for name, x := range answers {
			t.Run(path+" "+name, func(t *testing.T) { expectBrokenOff(t, path, x) })
		}
	}
}

// Guards against a router that goes on sending requests to an endpoint whose answers never end: each of
// them fails, and those that may be repeated take longer.
func TestEndpointWhoseAnswersNeverEndIsEjected(t *testing.T) {
	for name, x := range merge(endlessHeads, endlessBodies) {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newTestRouter(t, newEndpoint(t, endlessly(x.begin, x.part, 0)))
			for range 3 {
				w.send(t, "POST", "/once/x", "b")
			}
			g.Expect(w.table.Endpoints("engine")[0].Gate().Ejected()).To(gomega.BeTrue())
		})
	}
}

// Guards against an idempotent request that fails, or waits for its whole time, because one endpoint
// sends bytes without end, although another one could answer it.
func TestIdempotentRequestIsRepeatedAfterAnAnswerWithoutEnd(t *testing.T) {
	for name, x := range merge(endlessHeads, endlessBodies) {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			bad, good := newEndpoint(t, endlessly(x.begin, x.part, 0)), newEndpoint(t, responds(answerOK))
			w := newTestRouter(t, bad, good)
			for range 6 {
				begun := time.Now()
				a := w.send(t, "GET", "/read/x", "")
				g.Expect(a.status).To(gomega.Equal(200), "%q", a.body)
				g.Expect(a.body).To(gomega.Equal("hello"))
				g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
			}
			g.Expect(bad.requests()).NotTo(gomega.BeEmpty())
		})
	}
}
