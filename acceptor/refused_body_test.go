package acceptor

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Many clients send requests that are refused before their bodies are read, and never send these. Guards against a port
// that they keep full while the server waits for the bodies.
func TestRefusedRequestsWithoutTheirBodiesGiveWay(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/none" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "hello")
	})
	inMemory(t, nil, Limits{Connections: 8}, h, func(t *testing.T, p *memoryPort) {
		g := gomega.NewWithT(t)
		for range 20 {
			p.crowd(10, "POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
			time.Sleep(2 * stallTimeout)
			body, err := receive(p.open(0, ordinary))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("hello"))
		}
	})
}
