package courier

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a connection that is closed under a request whose first byte was read during the answer to the one
// before, and which counts as unused from the end of that answer.
func TestRequestThatBeginsDuringAnAnswerIsAnswered(t *testing.T) {
	for name, end := range ends {
		for _, during := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				h := &staged{stage: "half answered"}
				inMemory(t, h.ServeHTTP, func(t *testing.T, s *callerServer, l *memoryListener) {
					g := gomega.NewWithT(t)
					h.reached, h.release = make(chan struct{}), make(chan struct{})
					c := l.dial(t)
					answered := make(chan error, 1)
					go func() {
						c.send()
						_, _, err := c.receive()
						answered <- err
					}()
					<-h.reached
					_, _ = io.WriteString(c, testRequest[:1])
					synctest.Wait()
					if during {
						end(s)
					}
					h.stage = ""
					close(h.release)
					g.Expect(<-answered).NotTo(gomega.HaveOccurred())
					synctest.Wait()
					if !during {
						end(s)
					}
					time.Sleep(2 * closeDelay)
					go func() { _, _ = io.WriteString(c, testRequest[1:]) }()
					body, _, err := c.receive()
					if name == "time for a pause is over" && !during {
						return
					}
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(body).To(gomega.Equal("hello"))
				})
			})
		}
	}
}
