package pooler_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/pooler"
)

// receivedBytes counts the bytes that a pool receives.
type receivedBytes struct{ n atomic.Int64 }

func (*receivedBytes) Sent(time.Time, int)           {}
func (r *receivedBytes) Received(_ time.Time, n int) { r.n.Add(int64(n)) }
func (*receivedBytes) Delay(time.Time) time.Duration { return 0 }
func (r *receivedBytes) total() int64                { return r.n.Load() }

// endless is an answer that never ends: a beginning, and then a part again and again.
type endless struct{ begin, repeat string }

// endlessHeads are answers whose head never ends.
var endlessHeads = map[string]endless{
	"no protocol":     {"", "x"},
	"status line":     {"HTTP/1.1 200 ", "x"},
	"empty lines":     {"", "\r\n"},
	"zeros":           {"", "\x00"},
	"header name":     {"HTTP/1.1 200 OK\r\n", "x"},
	"header value":    {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"header lines":    {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	"continued line":  {"HTTP/1.1 200 OK\r\nX: y\r\n", " y\r\n"},
	"interim answers": {"", "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n"},
}

// endlessEndpoint sends an answer that never ends to each request, with a pause after each part. It
// returns its address and a channel that receives a value when a connection of it has been closed.
func endlessEndpoint(t *testing.T, a endless, pause time.Duration) (string, <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan struct{}, 16)
	part := a.repeat
	if pause == 0 {
		part = strings.Repeat(part, 4096/len(part))
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close(); closed <- struct{}{} }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				begin := strings.ReplaceAll(a.begin, "ID", r.Header.Get("Rattanhoist-Request-Id"))
				for _, err = io.WriteString(c, begin); err == nil; _, err = io.WriteString(c, part) {
					time.Sleep(pause)
				}
			}()
		}
	}()
	return l.Addr().String(), closed
}

// exchangeEndless sends a request to an endpoint whose answer never ends.
func exchangeEndless(t *testing.T, a endless, pause, timeout time.Duration, repeatable bool) (took time.Duration, received int64, err error) {
	g := gomega.NewWithT(t)
	p := pooler.New(platform.ClassifyResponse, func() {})
	var bytes receivedBytes
	p.UseLink(&bytes)
	address, closed := endlessEndpoint(t, a, pause)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	begun := time.Now()
	answer, err := p.Exchange(ctx, pooler.Target{ID: "e", Address: address, MaxConnections: 1}, &pooler.Request{
		Method: "GET", URI: "/", Host: "h", Header: http.Header{"Rattanhoist-Request-Id": {"r"}}, ID: "r", Repeatable: repeatable,
	})
	took = time.Since(begun)
	g.Expect(answer).To(gomega.BeNil())
	g.Eventually(closed, time.Second).Should(gomega.Receive(), "the connection is closed")
	return took, bytes.total(), err
}

// maxHead is more than any head of a sound endpoint.
const maxHead = 128 << 10

// Guards against a router that reads, and keeps, the bytes of an endpoint in trouble for as long as a
// request may last, until the process is ended for its memory.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for name, a := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			took, received, err := exchangeEndless(t, a, 0, 500*time.Millisecond, false)
			g.Expect(err).To(gomega.MatchError(pooler.ErrMayHaveRun))
			g.Expect(received).To(gomega.BeNumerically("<", maxHead))
			g.Expect(took).To(gomega.BeNumerically("<", 400*time.Millisecond), "by the size, before the request's own limit")
		})
	}
}

// Guards against a request that spends all its time on a head that never ends, so that no other
// endpoint can be asked. Each byte of it comes soon after the last one.
func TestHeadThatComesSlowlyIsBounded(t *testing.T) {
	for name, a := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			took, _, err := exchangeEndless(t, a, 20*time.Millisecond, 6*time.Second, true)
			g.Expect(err).To(gomega.MatchError(pooler.ErrMayHaveRun))
			g.Expect(took).To(gomega.BeNumerically("<", 4*time.Second))
		})
	}
}

// Guards against a head without end that is read beyond the time limit of its request.
func TestHeadThatComesSlowlyEndsWithTheRequest(t *testing.T) {
	for name, a := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			took, _, err := exchangeEndless(t, a, 10*time.Millisecond, 300*time.Millisecond, false)
			g.Expect(err).To(gomega.MatchError(pooler.ErrMayHaveRun))
			g.Expect(took).To(gomega.BeNumerically("<", 500*time.Millisecond))
		})
	}
}

// Guards against reading the whole of a late answer to another request that never ends.
func TestStrayAnswerWithoutEndIsBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: other\r\n"
	for name, a := range map[string]endless{
		"chunks":      {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"long length": {head + "Content-Length: 100000000000\r\n\r\n", "x"},
		"no length":   {head + "\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			took, received, err := exchangeEndless(t, a, 0, 500*time.Millisecond, false)
			g.Expect(err).To(gomega.MatchError(pooler.ErrMayHaveRun))
			g.Expect(received).To(gomega.BeNumerically("<", 1<<20))
			g.Expect(took).To(gomega.BeNumerically("<", 400*time.Millisecond))
		})
	}
}
