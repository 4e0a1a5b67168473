package reporter_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/reporter"
)

// stuck is an output whose reader has stopped.
type stuck struct {
	mu   sync.Mutex
	wait chan struct{}
	got  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.wait
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// Symptom: requests stand still while nobody reads the log.
// Sequence: the reader of the output stops; more lines come than fit.
// Cause: a write to the log that waits for its reader.
func TestBlockedOutputDelaysNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &stuck{wait: make(chan struct{})}
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
