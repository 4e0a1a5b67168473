package acceptor

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enforcer"
)

// The memory is full of bodies of which a byte arrives now and then. Guards against taking each byte for progress, and refusing everybody
// else.
func TestBodiesThatDripReturnTheirMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	m := enforcer.NewMemory(1 << 20)
	p := serve(t, m, Limits{})
	const size, drops = 200_000, 100
	body := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
	for range 5 {
		c := open(t, p, body[:len(body)-drops])
		go func() {
			for range drops - 1 {
				time.Sleep(stallTimeout / 5)
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
			}
		}()
	}
	time.Sleep(2 * stallTimeout)
	for range 3 {
		g.Expect(status(open(t, p, body))).To(gomega.Equal(http.StatusOK))
	}
}
