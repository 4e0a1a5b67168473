package relayer_test

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/relayer"
)

// resetConn is a connection that is reset while bytes are being written. The system reports the error to the write,
// and an end to the read, which returns first.
type resetConn struct {
	net.Conn
	reset, read chan struct{}
	once        sync.Once
	sent        bool
}

func newResetConn() *resetConn {
	return &resetConn{reset: make(chan struct{}), read: make(chan struct{})}
}

func (c *resetConn) Read(b []byte) (int, error) {
	<-c.reset
	if !c.sent {
		c.sent = true
		return copy(b, "part"), nil
	}
	c.once.Do(func() { close(c.read) })
	return 0, io.EOF
}

func (c *resetConn) Write([]byte) (int, error) {
	close(c.reset)
	<-c.read
	return 0, syscall.ECONNRESET
}

func (c *resetConn) SetWriteDeadline(time.Time) error { return nil }

func (c *resetConn) Close() error { return nil }

// fixedEndpoints connects to one endpoint with a function.
type fixedEndpoints struct {
	endpoints
	connect func() net.Conn
}

func (e *fixedEndpoints) Connect(context.Context, string) (net.Conn, error) { return e.connect(), nil }

// Guards against an answer that looks complete because its endpoint's connection was reset under an upload: the
// relay's write takes the error, and its read sees an end.
func TestResetUnderAnUploadIsNoEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	relay, _ := startRelay(t, &fixedEndpoints{connect: func() net.Conn { return newResetConn() }}, "")
	c, err := newDialer(member(), relay).Dial(t.Context(), target)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	_, err = c.Write([]byte("upload"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	all, err := io.ReadAll(c)
	g.Expect(string(all)).To(gomega.Equal("part"))
	g.Expect(err).To(gomega.MatchError(relayer.ErrBrokenOff))
}

// Guards against the same over TCP, where the read and the write wake up together, and against an answer that looks
// broken off because its endpoint ended it regularly and did not read the upload.
func TestEndUnderAnUploadIsPassedOn(t *testing.T) {
	for name, reset := range map[string]bool{"end": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			relay, _ := startRelay(t, &endpoints{address: listen(t, func(c *net.TCPConn) {
				defer c.Close()
				_, _ = io.ReadFull(c, make([]byte, 1024))
				_, _ = c.Write([]byte("part"))
				time.Sleep(5 * time.Millisecond)
				if reset {
					_ = c.SetLinger(0)
					return
				}
				_ = c.CloseWrite()
				time.Sleep(50 * time.Millisecond)
			})}, "")
			d := newDialer(member(), relay)
			ends := map[bool]int{}
			for range 50 {
				c, err := d.Dial(t.Context(), target)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				go func() { _, _ = c.Write(make([]byte, 16<<20)) }()
				_, err = io.ReadAll(c)
				ends[err == nil]++
				g.Expect(c.Close()).To(gomega.Succeed())
			}
			g.Expect(ends).To(gomega.Equal(map[bool]int{!reset: 50}))
		})
	}
}
