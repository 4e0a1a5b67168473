package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enforcer"
)

// memoryPort is a port whose clients are in memory, in virtual time.
type memoryPort struct {
	*Port
	t       *testing.T
	pending chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// inMemory serves clients while f runs.
func inMemory(t *testing.T, m *enforcer.Memory, limits Limits, h http.Handler, f func(t *testing.T, p *memoryPort)) {
	synctest.Test(t, func(t *testing.T) {
		p := &memoryPort{t: t, pending: make(chan net.Conn), done: make(chan struct{})}
		a := New(m, zap.NewNop())
		p.Port = &Port{Listener: memoryListener{p}, acceptor: a, limits: limits, open: map[*conn]bool{}}
		p.counters = newPortCounters(t.Name(), p.Port)
		a.ports = append(a.ports, p.Port)
		s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
		p.Track(s)
		go func() { _ = s.Serve(busyListener{p.Port}) }()
		defer func() {
			_ = s.Close()
			// Until writes that wait for the link have ended.
			time.Sleep(time.Minute)
		}()
		f(t, p)
	})
}

type memoryListener struct{ port *memoryPort }

// Accept waits for a connection.
func (l memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.port.pending:
		return c, nil
	case <-l.port.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l memoryListener) Close() error {
	l.port.once.Do(func() { close(l.port.done) })
	return nil
}

// Addr returns an address without a meaning.
func (l memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// busyPaths are the paths of requests that wait for the processor after they were read, and for how long.
var busyPaths = map[string]time.Duration{"/busy": 2 * stallTimeout, "/busier": 2*stallTimeout + 2*closeGrace}

// busyListener returns connections of a server that is busy.
type busyListener struct{ net.Listener }

type busyConn struct{ net.Conn }

// Accept waits for a connection.
func (l busyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return busyConn{c}, nil
}

// NetConn returns the connection below.
func (c busyConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection.
func (c busyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for path, d := range busyPaths {
		if bytes.Contains(b[:n], []byte(" "+path+" ")) {
			time.Sleep(d)
		}
	}
	return n, err
}

// linkedConn is a connection over a link on which what is written waits for a while.
type linkedConn struct {
	net.Conn
	delay time.Duration
}

func (c linkedConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(b)
}

// open opens a connection whose answers wait for the link, and sends bytes.
func (p *memoryPort) open(delay time.Duration, text string) net.Conn {
	near, far := net.Pipe()
	p.t.Cleanup(func() { _ = near.Close() })
	select {
	case p.pending <- linkedConn{far, delay}:
	case <-p.done:
	}
	if text != "" {
		// The connection may be closed before it is read.
		go func() { _, _ = io.WriteString(near, text) }()
	}
	return near
}

// crowd opens connections that send the same, one after the other.
func (p *memoryPort) crowd(n int, text string) {
	for range n {
		p.open(0, text)
		time.Sleep(time.Millisecond)
	}
}

// receive returns the body of an answer, which may be a part of it.
func receive(c net.Conn) (string, error) {
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(a.Body)
	return string(b), err
}
