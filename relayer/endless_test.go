package relayer_test

import (
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/relayer"
)

// Guards against a relay that holds, or goes on reading, what an endpoint in trouble sends without end
// after the router that asked has stopped reading or has closed the connection.
func TestBytesWithoutEndThroughARelayAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var written atomic.Int64
	closed := make(chan struct{})
	relay, s := startRelay(t, &endpoints{address: listen(t, func(c *net.TCPConn) {
		defer close(closed)
		part := []byte(strings.Repeat("x", 4096))
		for {
			n, err := c.Write(part)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})}, "")
	d := newDialer(member(), relay)
	c, err := d.Dial(t.Context(), target)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = c.Read(make([]byte, 1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() bool {
		n := written.Load()
		time.Sleep(200 * time.Millisecond)
		return n == written.Load()
	}, 5*time.Second).Should(gomega.BeTrue(), "nobody reads: the relay takes no more")
	g.Expect(written.Load()).To(gomega.BeNumerically("<", 16<<20))
	g.Expect(c.Close()).To(gomega.Succeed())
	g.Eventually(closed, time.Second).Should(gomega.BeClosed())
	g.Eventually(s.Active, time.Second).Should(gomega.BeZero())
}

// Many callers read slowly what endpoints send without end. Guards against a router, and its relay, that hold megabytes
// for each of them and are ended for their memory.
func TestUnreadConnectionsThroughARelayAreBounded(t *testing.T) {
	const (
		connections = 64
		// perConnection is what a relay and the router that asks may hold for a connection: a window each.
		perConnection = 256 << 10
	)
	for name, read := range map[string]int64{"unread": 0, "read at first": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			relay, _ := startRelay(t, &endpoints{address: listen(t, func(c *net.TCPConn) {
				part := make([]byte, 4096)
				for err := error(nil); err == nil; {
					_, err = c.Write(part)
				}
			})}, "")
			d := newDialer(member(), relay)
			before := liveHeap()
			var open []*relayer.Conn
			for range connections {
				c, err := d.Dial(t.Context(), target)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				open = append(open, c)
				_, err = io.CopyN(io.Discard, c, read)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			var highest int64
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				highest = max(highest, liveHeap()-before)
			}
			g.Expect(highest).To(gomega.BeNumerically("<", connections*perConnection))
			for _, c := range open {
				g.Expect(c.Close()).To(gomega.Succeed())
			}
		})
	}
}

// Many routers send long uploads to endpoints that read nothing. Guards against a relay that holds the whole of them and is
// ended for its memory.
func TestUnreadUploadsThroughARelayAreBounded(t *testing.T) {
	const (
		connections = 64
		// perConnection is a window, in buffers that are up to twice as large as what they hold.
		perConnection = 512 << 10
	)
	g := gomega.NewWithT(t)
	relay, _ := startRelay(t, &fixedEndpoints{connect: func() net.Conn {
		c, _ := net.Pipe()
		return c
	}}, "")
	d := newDialer(member(), relay)
	body := make([]byte, 4<<20)
	before := liveHeap()
	for range connections {
		c, err := d.Dial(t.Context(), target)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		go func() { _, _ = c.Write(body) }()
	}
	var highest int64
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		highest = max(highest, liveHeap()-before)
	}
	g.Expect(highest).To(gomega.BeNumerically("<", connections*perConnection))
}

// liveHeap returns the size of the heap that is in use.
func liveHeap() int64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
