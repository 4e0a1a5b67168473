package router

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// serveRaw serves h and returns a connection to it.
func serveRaw(t *testing.T, h http.Handler) net.Conn {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.WriteTimeout = time.Hour
	s.Start()
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestSlowBodyIsCutOff has a caller announce a body and never send the rest.
// Without a limit on the time for the body, the router's shutdown did not end.
func TestSlowBodyIsCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	failed := make(chan error, 1)
	c := serveRaw(t, limitBodyTime(50*time.Millisecond)(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, err := parser{maxBody: 100}.readBody(q)
		failed <- err
		problemFromError(err).write(w)
	})))
	_, err := fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var p *Problem
	g.Eventually(failed, 10*time.Second).Should(gomega.Receive(gomega.Satisfy(func(err error) bool { return errors.As(err, &p) })))
	g.Expect(p.Code).To(gomega.Equal(CodeTooSlow))
	g.Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	answer, err := io.ReadAll(c)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the connection ends")
	g.Expect(string(answer)).To(gomega.HavePrefix("HTTP/1.1 408 "))
}

// TestBodyTimeoutEndsWithBody sends the body in time and answers after the body
// timeout. If the read deadline stays set, a slow answer is broken off.
func TestBodyTimeoutEndsWithBody(t *testing.T) {
	g := gomega.NewWithT(t)
	c := serveRaw(t, limitBodyTime(50*time.Millisecond)(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, err := io.ReadAll(q.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		select {
		case <-q.Context().Done():
			t.Error("the request was broken off")
		case <-time.After(200 * time.Millisecond):
		}
		w.WriteHeader(http.StatusNoContent)
	})))
	_, err := fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	answer, err := io.ReadAll(c)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(answer)).To(gomega.HavePrefix("HTTP/1.1 204 "))
}

// TestCallerThatDoesNotReadIsCutOff has a caller request a long answer and read
// nothing. Without a limit on the time for writes, the router's shutdown did
// not end.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	failed := make(chan error, 1)
	c := serveRaw(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		limitWriteTime(w, time.Now().Add(50*time.Millisecond-writeGrace))
		piece := make([]byte, 1<<20)
		for {
			if _, err := w.Write(piece); err != nil {
				failed <- err
				return
			}
		}
	}))
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(failed, 10*time.Second).Should(gomega.Receive(gomega.MatchError(os.ErrDeadlineExceeded)))
}
