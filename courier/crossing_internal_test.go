package courier

import (
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
)

// tiredListener returns connections of a process that is busy once the time to wait for a request is over.
type tiredListener struct {
	net.Listener
	over chan struct{}
}

type tiredConn struct {
	net.Conn
	over chan struct{}
}

// Accept waits for a connection.
func (l *tiredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &tiredConn{c, l.over}, nil
}

// NetConn returns the connection below.
func (c *tiredConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection.
func (c *tiredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && len(b) > 1 {
		c.over <- struct{}{}
		time.Sleep(100 * time.Millisecond)
	}
	return n, err
}

// Guards against a request that crosses the close of its connection and is read, but not answered: its caller takes it
// for one that may have run, and does not send it again.
func TestRequestThatCrossesACloseIsAnsweredOrNotRead(t *testing.T) {
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := &tiredListener{inner, make(chan struct{}, 1)}
	s := newCallerServer(http.HandlerFunc(answerHello), zap.NewNop())
	go func() { _ = s.serve(l) }()
	t.Cleanup(func() { s.shutdown(time.Now()) })
	c := dialCaller(t, inner)
	c.send()
	_, _, err = c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	s.keepConnections(false)
	<-l.over
	c.send()
	body, _, err := c.receive()
	if err != nil {
		g.Expect(err).To(gomega.MatchError(syscall.ECONNRESET), "the caller learns that nothing was read")
		return
	}
	g.Expect(body).To(gomega.Equal("hello"))
}
