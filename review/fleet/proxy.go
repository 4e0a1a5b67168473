package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// holdPoll is how often a held connection looks whether the cut is over.
const holdPoll = 5 * time.Millisecond

// cut holds up the bytes of all its proxies while it is set, as a partition does that drops packets: what was
// sent meanwhile, the end of a connection too, arrives once it has healed.
type cut struct{ on atomic.Bool }

func (x *cut) wait() {
	for x.on.Load() {
		time.Sleep(holdPoll)
	}
}

// proxy passes connections on to another address.
type proxy struct {
	listener net.Listener
	to       string
	cut      *cut
}

func newProxy(listen, to string, x *cut) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, cut: x}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c.(*net.TCPConn))
	}
}

// pass connects to the target and copies both ways. A refused connection is reset.
func (p *proxy) pass(c *net.TCPConn) {
	defer c.Close()
	p.cut.wait()
	n, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.SetLinger(0)
		return
	}
	t := n.(*net.TCPConn)
	defer t.Close()
	var both sync.WaitGroup
	both.Go(func() { p.copy(t, c) })
	both.Go(func() { p.copy(c, t) })
	both.Wait()
}

// copy passes on the bytes of one direction and how it ends: regularly or by a reset.
func (p *proxy) copy(to, from *net.TCPConn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.cut.wait()
		if n > 0 {
			if _, failed := to.Write(b[:n]); failed != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
