package detector_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/detector"
)

// endingConn is a connection whose read ends while a write is in progress, which fails afterwards.
type endingConn struct {
	net.Conn
	writing, read chan struct{}
	failure       error
}

func (c *endingConn) Read([]byte) (int, error) {
	<-c.writing
	return 0, io.EOF
}

func (c *endingConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.read
	return 0, c.failure
}

func (c *endingConn) SetWriteDeadline(time.Time) error {
	close(c.read)
	return nil
}

// Guards against a lost connection that looks as if the other side had ended it, and against a regular end that looks
// like a loss.
func TestEndIsToldFromLoss(t *testing.T) {
	for failure, lost := range map[error]bool{
		syscall.ECONNRESET: true, syscall.ETIMEDOUT: true, syscall.EHOSTUNREACH: true,
		syscall.EPIPE: false, os.ErrDeadlineExceeded: false, net.ErrClosed: false,
	} {
		t.Run(failure.Error(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := detector.New(&endingConn{writing: make(chan struct{}), read: make(chan struct{}), failure: &net.OpError{Op: "write", Err: failure}})
			go func() { _, _ = c.Write([]byte("upload")) }()
			_, err := c.Read(make([]byte, 1))
			if lost {
				g.Expect(err).To(gomega.MatchError(detector.ErrLost))
			} else {
				g.Expect(err).To(gomega.BeIdenticalTo(io.EOF))
			}
		})
	}
}
