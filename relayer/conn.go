package relayer

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/pathfinder"
)

// ErrBrokenOff means that a relayed connection ended without the endpoint having closed it
// regularly, so that an answer which ends with it is not complete.
var ErrBrokenOff = merry.Sentinel("relayed connection broken off")

// messageOverhead is what a message takes besides its data. With it, a message just fits into one of the buffers that the
// library keeps, which are 4, 16 or 32 KiB long.
const messageOverhead = 64

// maxChunkBytes is the maximum number of bytes in one message.
const maxChunkBytes = 16<<10 - messageOverhead

// Conn is a connection to an endpoint through another router. Reads and writes may be concurrent,
// but not several of one kind.
type Conn struct {
	relay   pathfinder.Peer
	stream  *messenger.RelayStream
	onClose func()
	once    sync.Once
	// received holds responses that were received and not read yet. It is closed after err is set.
	received chan []byte
	err      error
	// unread is the rest of a response. Only Read uses it.
	unread []byte
	// pending is set from the first response that is not read yet to the end.
	pending atomic.Int64
	// closing is set once the relay is about to stop or the connection has ended.
	closing atomic.Bool
}

func newConn(relay pathfinder.Peer, s *messenger.RelayStream, onClose func()) *Conn {
	c := &Conn{relay: relay, stream: s, onClose: onClose, received: make(chan []byte, 1)}
	go c.receive()
	return c
}

// Relay returns the internal address of the router that relays the connection.
func (c *Conn) Relay() string { return c.relay.Address }

// Zone returns the availability zone of that router.
func (c *Conn) Zone() string { return c.relay.Zone }

// receive takes responses until the stream ends.
func (c *Conn) receive() {
	defer close(c.received)
	defer c.closing.Store(true)
	for {
		r, err := c.stream.Recv()
		switch {
		case err != nil:
			c.err = merry.Errorf("%w: %s", ErrBrokenOff, err.Error())
			return
		case r.Ended:
			c.err = io.EOF
			return
		case r.Closing:
			c.closing.Store(true)
		}
		if len(r.Data) > 0 {
			c.pending.Add(1)
			c.received <- r.Data
		}
	}
}

// Read reads bytes of the endpoint. It returns io.EOF only if the endpoint closed the connection
// regularly.
func (c *Conn) Read(b []byte) (int, error) {
	if len(c.unread) == 0 {
		data, ok := <-c.received
		if !ok {
			return 0, c.err
		}
		c.unread = data
	}
	n := copy(b, c.unread)
	if c.unread = c.unread[n:]; len(c.unread) == 0 {
		c.pending.Add(-1)
	}
	return n, nil
}

// Write sends bytes to the endpoint.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		n := min(len(b), maxChunkBytes)
		if err := c.stream.Send(&messenger.RelayRequest{Data: b[:n]}); err != nil {
			return written, merry.Errorf("%w: %s", ErrBrokenOff, err.Error())
		}
		b, written = b[n:], written+n
	}
	return written, nil
}

// Reusable reports whether the connection is open, no bytes wait to be read, and the relay is neither
// about to stop nor silent.
func (c *Conn) Reusable() bool {
	return !c.closing.Load() && c.pending.Load() == 0 && !c.stream.Retired()
}

// Close ends the connection.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.stream.Close()
		c.onClose()
		// The receiving goroutine may wait with a response.
		go func() {
			for range c.received {
			}
		}()
	})
	return nil
}

var _ io.ReadWriteCloser = (*Conn)(nil)
