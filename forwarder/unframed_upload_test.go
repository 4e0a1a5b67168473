package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// answersUploadEarly starts an endpoint that answers before it has read the body of a request, and then resets the
// connection or ends it regularly.
func answersUploadEarly(t *testing.T, reset bool, parts ...string) *endpoint {
	e := newEndpoint(t, responds(answerOK))
	early, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = e.listener.Close()
	e.listener = early
	t.Cleanup(func() { _ = early.Close() })
	go func() {
		for {
			c, err := early.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				responds(parts...)(c, r, "")
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
				_ = c.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return e
}

// Guards against callers that get a part of an answer as the whole of it: its endpoint sent no length, and reset the
// connection while a long upload was being written.
func TestUnframedAnswerThatIsResetUnderAnUploadIsBrokenOff(t *testing.T) {
	upload := strings.Repeat("x", 4<<20-1)
	for name, x := range map[string]struct {
		path  string
		parts []string
	}{
		"plain": {"/once/x", []string{unframedHead, "hel"}}, "stream": {"/stream/x", []string{unframedStream, plainEvent1}},
		"unsigned": {"/once/x", []string{"HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: ID\r\n\r\n", "hel"}},
		"closing":  {"/once/x", []string{headOK + "Connection: close\r\n\r\n", "hel"}},
		"old":      {"/once/x", []string{"HTTP/1.0 200 OK\r\nRattanhoist-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "hel"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			e := answersUploadEarly(t, true, x.parts...)
			whole := 0
			for range 20 {
				// A new router has not ejected the endpoint.
				w := newTestRouter(t, e)
				a := w.send(t, "POST", x.path, upload)
				if a.err == nil {
					g.Expect(a.status).To(gomega.BeElementOf(http.StatusOK, http.StatusBadGateway), "%q", a.body)
				}
				if a.err == nil && a.status == http.StatusOK {
					whole++
				}
			}
			g.Expect(whole).To(gomega.BeZero(), "of 20 answers")
		})
	}
}

// Guards against an early answer without length that counts as broken off although its endpoint ended it.
func TestUnframedAnswerThatEndsUnderAnUploadIsComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, answersUploadEarly(t, false, unframedHead, "hello"))
	for range 10 {
		a := w.send(t, "POST", "/once/x", strings.Repeat("x", 4<<20-1), "Rattanhoist-Deadline-Ms", "5000")
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		g.Expect(a.status).To(gomega.Equal(http.StatusOK), "%q", a.body)
		g.Expect(a.body).To(gomega.Equal("hello"))
	}
	g.Eventually(w.quarantine.answeredCount, time.Second).Should(gomega.Equal(10))
}
