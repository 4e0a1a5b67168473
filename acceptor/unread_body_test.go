package acceptor

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// worker is a handler that does not read the body of a request, and takes a while.
type worker struct{ ctxErr error }

func (h *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Second)
	h.ctxErr = r.Context().Err()
	_, _ = io.WriteString(w, "hello")
}

// Guards against a request that is handled and whose connection is closed by a full port, as if its client were slow
// with a body that has arrived and that the handler does not need.
func TestRequestWhoseBodyIsNotReadIsAnswered(t *testing.T) {
	h := &worker{}
	inMemory(t, nil, Limits{Connections: 8}, h, func(t *testing.T, p *memoryPort) {
		g := gomega.NewWithT(t)
		c := p.open(0, ordinary)
		go func() {
			time.Sleep(2 * stallTimeout)
			p.crowd(50, "")
		}()
		body, err := receive(c)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("hello"))
		synctest.Wait()
		g.Expect(h.ctxErr).NotTo(gomega.HaveOccurred())
	})
}
