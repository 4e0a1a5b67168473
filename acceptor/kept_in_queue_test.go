package acceptor

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
)

// Guards against a full port that closes a kept connection while its next request waits at this process's own link.
func TestRequestsThatWaitAtTheLinkOfAFullPortAreAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	const delay, connections = 500 * time.Millisecond, 16
	a := New(nil, zap.NewNop())
	a.UseDelay(func() time.Duration { return delay })
	p, err := a.Listen(t.Name(), "127.0.0.1:0", Limits{Connections: connections})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	p.Track(s)
	go func() { _ = s.Serve(p) }()
	t.Cleanup(func() { _ = s.Close() })
	var kept []net.Conn
	for range connections * 3 / 4 {
		c := open(t, p, ordinary)
		g.Expect(status(c)).To(gomega.Equal(http.StatusOK))
		kept = append(kept, c)
	}
	time.Sleep(keptDuration)
	for range connections / 4 {
		open(t, p, "")
	}
	time.Sleep(delay / 2)
	unanswered := 0
	for _, c := range kept {
		_, _ = io.WriteString(c, ordinary)
		if status(c) == 0 {
			unanswered++
		}
	}
	g.Expect(unanswered).To(gomega.BeZero(), "of %d", len(kept))
}
