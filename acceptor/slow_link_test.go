package acceptor

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enforcer"
)

// answerer sends requests on and answers in two parts, and records the error of the request's context after them.
type answerer struct{ ctxErr error }

func (h *answerer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	ProtectRequest(r.Context())
	_, _ = io.WriteString(w, "hel")
	_ = http.NewResponseController(w).Flush()
	_, _ = io.WriteString(w, "lo")
	h.ctxErr = r.Context().Err()
}

// The port is full, and an answer waits for the process's own link longer than a stalled client may. Guards against
// cutting it off in the middle, and against a handler that believes that its client has gone.
func TestAnswerThatWaitsForTheLinkIsNotCutOffForConnections(t *testing.T) {
	h := &answerer{}
	inMemory(t, nil, Limits{Connections: 8}, h, func(t *testing.T, p *memoryPort) {
		g := gomega.NewWithT(t)
		c := p.open(2*stallTimeout, ordinary)
		time.Sleep(stallTimeout + stallTimeout/2)
		go p.crowd(50, "")
		body, err := receive(c)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("hello"))
		synctest.Wait()
		g.Expect(h.ctxErr).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Second)
	})
}

// The memory is full, and an answer waits for the process's own link longer than a stalled client may. Guards against
// cutting it off in the middle, and against a handler that believes that its client has gone.
func TestAnswerThatWaitsForTheLinkIsNotCutOffForMemory(t *testing.T) {
	h := &answerer{}
	m := enforcer.NewMemory(2000)
	inMemory(t, m, Limits{}, h, func(t *testing.T, p *memoryPort) {
		g := gomega.NewWithT(t)
		c := p.open(2*stallTimeout, ordinary)
		time.Sleep(stallTimeout + stallTimeout/2)
		go p.crowd(5, head+strings.Repeat("a:\r\n", 8))
		body, err := receive(c)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("hello"))
		synctest.Wait()
		g.Expect(h.ctxErr).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Second)
	})
}
