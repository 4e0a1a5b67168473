package courier

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/platform"
)

// Guards against a request that is sent on although its caller's connection has ended: the end was received together
// with the request, and the server reads it only once the request has reached an endpoint.
func TestRequestWhoseCallerHasGoneIsNotSentOn(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closed": func(c *net.TCPConn) error { return c.Close() },
		"reset":  func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			const callers = 20
			for range callers {
				c, err := net.Dial("tcp", l.Addr().String())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = io.WriteString(c, testRequest)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(leave(c.(*net.TCPConn))).To(gomega.Succeed())
			}
			sentOn := make(chan forwarder.ConnectionEnd, callers)
			s := newCallerServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err == nil {
					sentOn <- forwarder.CallerConnectionOf(r.Context()).Protect()
				}
			}), zap.NewNop())
			go func() { _ = s.serve(l) }()
			defer func() { s.shutdown(time.Now()) }()
			if name == "closed" {
				g.Eventually(sentOn, 5*time.Second).Should(gomega.HaveLen(callers))
			}
			time.Sleep(50 * time.Millisecond)
			for range len(sentOn) {
				g.Expect(<-sentOn).To(gomega.BeElementOf(forwarder.ClosedByCaller, forwarder.ResetByCaller))
			}
		})
	}
}

// Guards against callers that have sent the next request ahead, or nothing more, and are taken for gone.
func TestRequestWhoseCallerIsThereIsSentOn(t *testing.T) {
	for name, more := range map[string]string{"waits": "", "sent ahead": testRequest} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := &pausingListener{}
			ends := make(chan forwarder.ConnectionEnd, 2)
			startCallerServer(t, l, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				time.Sleep(50 * time.Millisecond)
				ends <- forwarder.CallerConnectionOf(r.Context()).Protect()
				answerHello(w, r)
			})
			c := dialCaller(t, l)
			_, err := io.WriteString(c, testRequest+more)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			body, _, err := c.receive()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("hello"))
			g.Expect(<-ends).To(gomega.BeEmpty())
		})
	}
}

// Guards against a request that gets no answer because a read failed under the one before on its connection.
func TestRequestAfterAFailedReadIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &Router{Options: Options{Wire: platform.HeaderCodec{}}, handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answerHello(w, r)
		g.Expect(r.Context().Err()).NotTo(gomega.HaveOccurred())
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(10, 0))
		<-r.Context().Done()
	})}
	l := &pausingListener{}
	startCallerServer(t, l, c.handleCaller)
	caller := dialCaller(t, l)
	for _, closes := range []bool{false, true} {
		caller.send()
		a, err := http.ReadResponse(caller.reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadAll(a.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(a.Close).To(gomega.Equal(closes))
		g.Expect(a.StatusCode == http.StatusServiceUnavailable).To(gomega.Equal(closes))
	}
}
