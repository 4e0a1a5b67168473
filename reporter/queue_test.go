package reporter_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/reporter"
)

// blockedWriter blocks in Write until the channel wait is closed.
type blockedWriter struct {
	mu   sync.Mutex
	wait chan struct{}
	got  bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.wait
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func (s *blockedWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// Guards against requests that hang while nobody reads the log: log writes used to
// block when the reader of the output had stopped and the buffer was full.
func TestBlockedOutputDelaysNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &blockedWriter{wait: make(chan struct{})}
	q, stop := reporter.NewQueue(out)
	begun := time.Now()
	for range 10_000 {
		_, _ = q.Write([]byte("line\n"))
	}
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
	g.Expect(q.Dropped()).To(gomega.BeNumerically(">", 1000))
	close(out.wait)
	_, _ = q.Write([]byte("last\n"))
	g.Eventually(out.String).Should(gomega.ContainSubstring("log lines dropped"))
	stop()
}
