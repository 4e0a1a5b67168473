package acceptor

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enforcer"
)

// The port or the memory is full, and the process is busy. Guards against closing the connection of a request that was
// read whole, as if its client were slow.
func TestRequestThatWaitsForTheProcessorIsAnswered(t *testing.T) {
	for scarce, s := range map[string]struct {
		memory int64
		limits Limits
		crowd  string
	}{
		"connections": {0, Limits{Connections: 8}, ""}, "memory": {2000, Limits{}, head + "a:\r\nb:\r\nc:\r\n"},
	} {
		for kind, request := range map[string]string{"with a body": ordinary, "without a body": head + "\r\n"} {
			t.Run(scarce+", "+kind, func(t *testing.T) {
				h := &answerer{}
				inMemory(t, enforcer.NewMemory(s.memory), s.limits, h, func(t *testing.T, p *memoryPort) {
					g := gomega.NewWithT(t)
					c := p.open(0, strings.Replace(request, " / ", " "+busyPath+" ", 1))
					go func() {
						time.Sleep(stallTimeout + stallTimeout/2)
						p.crowd(20, s.crowd)
					}()
					body, err := receive(c)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(body).To(gomega.Equal("hello"))
				})
			})
		}
	}
}
