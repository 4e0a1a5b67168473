package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enforcer"
)

// slowListener delays the next write to a caller, as a full link does.
type slowListener struct {
	net.Listener
	delay atomic.Int64
}

type slowConn struct {
	net.Conn
	listener *slowListener
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{c, l}, err
}

func (c *slowConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(c.listener.delay.Swap(0)))
	return c.Conn.Write(b)
}

// Guards against a request that gets no answer because the one before it on its connection was refused for lack of
// memory: the time limit for the rest of a body that was read already ended the context of the connection.
func TestConnectionIsUsableAfterARefusalForLackOfMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(answerOK)))
	w.limits.Memory = enforcer.NewMemory(10)
	var ctxErr error
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(a http.ResponseWriter, r *http.Request) {
		ctxErr = r.Context().Err()
		w.forwarder.ServeHTTP(a, r)
	}))
	l := &slowListener{Listener: s.Listener}
	s.Listener = l
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	b := bufio.NewReader(c)
	const head = "POST /once/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\nRattanhoist-Request-Id: r\r\n"
	exchange := func() (int, bool) {
		_, err := io.WriteString(c, head+"Content-Length: 1\r\n\r\nx")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		a, err := http.ReadResponse(b, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, a.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return a.StatusCode, a.Close
	}
	other := w.limits.Memory.Hold()
	g.Expect(other.Reserve(10)).To(gomega.Succeed())
	l.delay.Store(int64(700 * time.Millisecond))
	status, closes := exchange()
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(closes).To(gomega.BeFalse())
	other.Release()
	status, _ = exchange()
	g.Expect(ctxErr).NotTo(gomega.HaveOccurred(), "the caller is there")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
}
