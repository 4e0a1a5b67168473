package courier

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against an endpoint that works on for a caller that has left. A caller that ends only its own direction of the
// connection cannot be told from one that has left.
func TestCallerThatEndsItsDirectionCountsAsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	handling, gone := make(chan struct{}), make(chan struct{})
	l := &pausingListener{}
	startCallerServer(t, l, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(handling)
		<-r.Context().Done()
		close(gone)
		panic(http.ErrAbortHandler)
	})
	c := dialCaller(t, l)
	c.send()
	<-handling
	g.Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	g.Eventually(gone, 2*time.Second).Should(gomega.BeClosed())
	_, _, err := c.receive()
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
}
