package steward

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// memoryPipe is one direction of a connection in memory. It has a buffer without a limit and no deadlines: a
// timer of zero duration, which grpc's own pipe uses, can crash the race detector in virtual time.
type memoryPipe struct {
	mu     sync.Mutex
	cond   sync.Cond
	buffer bytes.Buffer
	closed bool
}

func newMemoryPipe() *memoryPipe {
	p := &memoryPipe{}
	p.cond.L = &p.mu
	return p
}

// Read waits for bytes.
func (p *memoryPipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.buffer.Len() == 0 && !p.closed {
		p.cond.Wait()
	}
	// At the end, the empty buffer returns io.EOF.
	return p.buffer.Read(b)
}

// Write appends bytes.
func (p *memoryPipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, io.ErrClosedPipe
	}
	defer p.cond.Broadcast()
	return p.buffer.Write(b)
}

func (p *memoryPipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cond.Broadcast()
}

// memoryConn is one end of a connection.
type memoryConn struct {
	in, out *memoryPipe
}

// Read reads from the connection.
func (c *memoryConn) Read(b []byte) (int, error) { return c.in.Read(b) }

// Write writes to the connection.
func (c *memoryConn) Write(b []byte) (int, error) { return c.out.Write(b) }

// Close closes both directions.
func (c *memoryConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

// LocalAddr returns an address without a meaning.
func (c *memoryConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an address without a meaning.
func (c *memoryConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing.
func (c *memoryConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *memoryConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// memoryListener accepts connections in memory.
type memoryListener struct {
	pending chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{pending: make(chan net.Conn), done: make(chan struct{})}
}

// Accept waits for a connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and Dial.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns an address without a meaning.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial opens a connection.
func (l *memoryListener) Dial() (net.Conn, error) {
	a, b := newMemoryPipe(), newMemoryPipe()
	select {
	case l.pending <- &memoryConn{in: a, out: b}:
		return &memoryConn{in: b, out: a}, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
