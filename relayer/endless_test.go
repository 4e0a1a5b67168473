package relayer_test

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
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
