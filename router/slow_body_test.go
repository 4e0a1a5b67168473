package router

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestSlowBodyEndsAtTheDeadline
// Symptom: a router that drains waits for requests that nobody sends; its
// count of requests in progress never falls.
// Sequence: a caller sends the head of a request and half of its body, and
// keeps the connection open.
// Cause: the body was read without a bound; the deadline began to count only
// after it.
func TestSlowBodyEndsAtTheDeadline(t *testing.T) {
	for _, path := range []string{chatPath, servicesPath + "portal/x"} {
		t.Run(path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newTestRouter(t)
			s := httptest.NewServer(r.handler())
			// Close would wait for a request that hangs.
			t.Cleanup(s.CloseClientConnections)
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = c.Close() })
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nRequest-Timeout: 100ms\r\nContent-Length: 100\r\n\r\n{", path, testKey)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			var timeout net.Error
			g.Expect(errors.As(err, &timeout) && timeout.Timeout()).To(gomega.BeFalse(), "no answer within 5 s")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
			g.Eventually(r.gate.inside.Load).Should(gomega.BeZero())
		})
	}
}

// TestReadDeadlineEndsWithTheBody
// Symptom: an answer that takes longer than the body was given is broken off.
// Sequence: the body is read in time; the bound of its reading passes while
// the request runs.
// Cause it guards against: a read deadline that stays on the connection ends
// the context of the request.
func TestReadDeadlineEndsWithTheBody(t *testing.T) {
	g := gomega.NewWithT(t)
	ended := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		_, err := readBy(http.NewResponseController(w), h, time.Now().Add(50*time.Millisecond), 1000)
		if err != nil {
			t.Error(err)
		}
		select {
		case <-h.Context().Done():
			ended <- h.Context().Err()
		case <-time.After(200 * time.Millisecond):
			ended <- nil
		}
	}))
	defer s.Close()
	resp, err := http.Post(s.URL, "text/plain", http.NoBody)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(<-ended).NotTo(gomega.HaveOccurred())
}

// TestCallerThatDoesNotReadEndsAtTheDeadline
// Symptom: a router that drains waits for answers that nobody reads.
// Sequence: a caller sends a request, keeps the connection open and reads
// nothing; the answer is larger than the buffers between the two.
// Cause: a write that waits for room does not see the end of the request's
// context, and had no bound of its own.
func TestCallerThatDoesNotReadEndsAtTheDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	ended := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		_, err := readBy(http.NewResponseController(w), h, time.Now().Add(100*time.Millisecond), 1000)
		for err == nil {
			_, err = w.Write(make([]byte, 1<<20))
		}
		ended <- err
	}))
	t.Cleanup(s.CloseClientConnections)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: r\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(ended, 10*time.Second).Should(gomega.Receive(gomega.MatchError(os.ErrDeadlineExceeded)))
}
