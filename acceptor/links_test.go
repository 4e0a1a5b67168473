package acceptor

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
)

// serveLinks starts a port for processes in memory, on which a byte is a call.
func serveLinks(t *testing.T, limits Limits) *memoryPort {
	p := &memoryPort{t: t, pending: make(chan net.Conn), done: make(chan struct{})}
	p.Port = &Port{Listener: memoryListener{p}, acceptor: New(nil, zap.NewNop()), limits: limits, open: map[*conn]bool{}}
	p.counters = newPortCounters(t.Name(), p.Port)
	go func() {
		for {
			c, err := p.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for b := make([]byte, 1); ; {
					if _, err := c.Read(b); err != nil {
						return
					}
					c.(*conn).CarryCall()
				}
			}()
		}
	}()
	return p
}

// Guards against a link of a process that is closed under its calls, such as requests that are relayed, for connections
// that have carried none.
func TestLinksWithCallsAreNotClosedForStrangers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := serveLinks(t, Limits{Connections: 16})
		defer func() { _ = p.Port.Close() }()
		var links []net.Conn
		for range 14 {
			links = append(links, p.open(0, "x"))
		}
		time.Sleep(50 * time.Millisecond)
		p.crowd(20, "")
		time.Sleep(time.Second)
		open := 0
		for _, c := range links {
			if _, err := io.WriteString(c, "y"); err == nil {
				open++
			}
		}
		g.Expect(open).To(gomega.Equal(len(links)))
	})
}
