package acceptor

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enforcer"
)

// The port or the memory is full, and the process is busy. Guards against a request that was read whole and gets neither
// an answer nor a refusal, as if its client were slow.
func TestRequestThatWaitsForTheProcessorIsAnswered(t *testing.T) {
	for scarce, s := range map[string]struct {
		memory int64
		limits Limits
		crowd  string
	}{
		"connections": {0, Limits{Connections: 8}, ""}, "memory": {2000, Limits{}, head + "a:\r\nb:\r\nc:\r\n"},
	} {
		for kind, request := range map[string]string{"with a body": ordinary, "without a body": head + "\r\n"} {
			for path := range busyPaths {
				t.Run(scarce+", "+kind+", "+path, func(t *testing.T) {
					h := &sender{}
					inMemory(t, enforcer.NewMemory(s.memory), s.limits, h, func(t *testing.T, p *memoryPort) {
						g := gomega.NewWithT(t)
						h.release = make(chan struct{})
						close(h.release)
						c := p.open(0, strings.Replace(request, " / ", " "+path+" ", 1))
						go func() {
							time.Sleep(stallTimeout + stallTimeout/2)
							p.crowd(20, s.crowd)
						}()
						a, err := http.ReadResponse(bufio.NewReader(c), nil)
						g.Expect(err).NotTo(gomega.HaveOccurred())
						g.Expect(a.Body.Close()).To(gomega.Succeed())
						if h.sent == 0 {
							g.Expect(a.StatusCode).To(gomega.BeElementOf(http.StatusRequestTimeout, http.StatusServiceUnavailable))
							return
						}
						g.Expect(a.StatusCode).To(gomega.Equal(http.StatusOK))
					})
				})
			}
		}
	}
}
