// Package detector tells the regular end of a TCP connection from its loss.
package detector

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrLost means that a connection was reset, or given up by the system, so that an answer which ends with it is not
// complete. Compare with errors.Is.
var ErrLost = merry.Sentinel("connection lost")

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Conn is a connection whose Read returns io.EOF only if the other side ended it regularly. The system reports the loss of
// a connection once: if a write in progress takes the error, a read only sees the end. Reads and writes may be concurrent,
// but not several of one kind.
type Conn struct {
	net.Conn

	// mu is held during a write.
	mu sync.Mutex
	// failed is the error of the system that a write has taken.
	failed error
}

// New returns a connection whose end can be told from its loss.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	// EPIPE means that the end came first, or that a read has taken the error.
	var system syscall.Errno
	if c.failed == nil && errors.As(err, &system) && system != syscall.EPIPE {
		c.failed = err
	}
	return n, err
}

// Read reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		if failed := c.endWrites(); failed != nil {
			return n, merry.Errorf("%w: %s", ErrLost, failed.Error())
		}
	}
	return n, err
}

// endWrites ends a write in progress, and returns the error of the system that one has taken. Nothing more is written to
// a connection whose end was read.
func (c *Conn) endWrites() error {
	_ = c.Conn.SetWriteDeadline(past)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}
