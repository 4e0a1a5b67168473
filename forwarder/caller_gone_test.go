package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a request that is sent on although its caller's connection has ended: the end was received together
// with the request, and shows only once the request has reached an endpoint.
func TestRequestWhoseCallerHasGoneIsNotSentOn(t *testing.T) {
	g := gomega.NewWithT(t)
	const callers = 20
	var together sync.WaitGroup
	together.Add(callers)
	e := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("Rattanhoist-Request-Id") == "r1" {
			together.Done()
			together.Wait()
		}
		return responds(answerOK)(c, r, body)
	})
	w := newTestRouter(t, e)
	var earlier sync.WaitGroup
	for range callers {
		earlier.Go(func() { w.send(t, http.MethodPost, "/once/x", "opens a connection to the endpoint") })
	}
	earlier.Wait()
	g.Expect(e.requests()).To(gomega.HaveLen(callers))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\nRattanhoist-Request-Id: r2\r\nContent-Length: 4\r\n\r\nbody")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(c.Close()).To(gomega.Succeed())
	}
	s := &http.Server{Handler: w.forwarder, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	ended := func() int { return w.logged.FilterMessage("ended").Len() }
	g.Eventually(ended, 5*time.Second).Should(gomega.Equal(2 * callers))
	g.Expect(len(e.requests())-callers).To(gomega.BeZero(), "requests sent on of %d callers that have gone", callers)
}
