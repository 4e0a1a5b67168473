package acceptor

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
)

// Guards against a full port that closes the connection of a process which waits for the replies to its calls, for
// clients that have carried none.
func TestCallsInProgressAreNotClosedForStrangers(t *testing.T) {
	g := gomega.NewWithT(t)
	const connections = 32
	p, err := New(nil, zap.NewNop()).Listen(t.Name(), "127.0.0.1:0", Limits{Connections: connections})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	accepted := make(chan net.Conn, 2*connections)
	go func() {
		for {
			c, err := p.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	t.Cleanup(func() { _ = p.Close() })
	var processes []*conn
	for range connections * 15 / 16 {
		open(t, p, "")
		c := (<-accepted).(*conn)
		c.CarryCall()
		processes = append(processes, c)
	}
	for range connections {
		open(t, p, "")
		time.Sleep(time.Millisecond)
	}
	closed := 0
	for _, c := range processes {
		c.mu.Lock()
		if c.closed {
			closed++
		}
		c.mu.Unlock()
	}
	g.Expect(closed).To(gomega.BeZero(), "of %d", len(processes))
}
