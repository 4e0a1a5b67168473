package acceptor

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
)

// Many clients announce a body that does not come, at a path whose handler reads none. Guards against a port that they hold, until
// the server's own time limit, where a probe or an operator would be answered.
func TestBodiesThatNobodyReadsLeaveRoomForOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	const connections, timeout = 16, 4 * time.Second
	p, err := New(nil, zap.NewNop()).Listen(t.Name(), "127.0.0.1:0", Limits{Connections: connections})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := &http.Server{ReadTimeout: timeout, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	p.Track(s)
	go func() { _ = s.Serve(p) }()
	t.Cleanup(func() { _ = s.Close() })
	for range 2 * connections {
		open(t, p, head+"Content-Length: 100000\r\n\r\nx")
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * stallTimeout)
	begun := time.Now()
	for status(open(t, p, ordinary)) != http.StatusOK && time.Since(begun) < 2*timeout {
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
}
