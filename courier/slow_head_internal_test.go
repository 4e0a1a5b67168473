package courier

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a caller that is told that its request is faulty, and does not try again, because its head took too
// long.
func TestHeadThatTakesTooLongIsNotFaulty(t *testing.T) {
	const request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	for name, n := range map[string]int{"within the first line": 10, "between lines": 18, "within a field": 24} {
		t.Run(name, func(t *testing.T) {
			inMemory(t, answerHello, func(t *testing.T, _ *callerServer, l *memoryListener) {
				g := gomega.NewWithT(t)
				c := l.dial(t)
				_, _ = io.WriteString(c, request[:n])
				synctest.Wait()
				time.Sleep(readHeaderTimeout - time.Millisecond)
				a, err := http.ReadResponse(c.reader, nil)
				if err == nil {
					g.Expect(a.StatusCode).NotTo(gomega.Equal(http.StatusBadRequest))
				}
			})
		})
	}
}
