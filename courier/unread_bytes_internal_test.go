package courier

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against an answer whose end is lost because its connection is closed while bytes of the caller are unread: the
// system then resets the connection, and discards what the caller has not received yet.
func TestAnswersBeforeACloseAreDelivered(t *testing.T) {
	const size = 256 << 10
	for name, more := range map[string]string{"nothing more was sent": "", "next request was sent": testRequest} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			handling, release := make(chan struct{}), make(chan struct{})
			l := &pausingListener{}
			s := startCallerServer(t, l, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(handling)
				<-release
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			})
			s.keepConnections(false)
			c := dialCaller(t, l)
			g.Expect(c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)).To(gomega.Succeed())
			c.send()
			<-handling
			_, err := io.WriteString(c, more)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(50 * time.Millisecond)
			close(release)
			// The caller's link is slower than the router.
			time.Sleep(200 * time.Millisecond)
			body, _, err := c.receive()
			g.Expect(err).NotTo(gomega.HaveOccurred(), "%d bytes of %d", len(body), size)
			g.Expect(body).To(gomega.HaveLen(size))
		})
	}
}
