package acceptor

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enforcer"
)

// sender stands for a handler that sends requests on once it has read them.
type sender struct {
	// sent counts the requests that were sent on, and release lets them be answered.
	sent    int
	release chan struct{}
	ctxErr  error
}

func (h *sender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	h.sent++
	<-h.release
	_, _ = io.WriteString(w, "hello")
	h.ctxErr = r.Context().Err()
}

// The port or the memory is full. Guards against closing the connection of a request that was sent on, and against
// sending on a request whose connection is closed, in each use of a connection.
func TestRequestIsAnsweredIfItIsSentOn(t *testing.T) {
	const long = head + "Content-Length: 9\r\n\r\nxxxxxxxxx"
	scarcities := map[string]struct {
		memory int64
		limits Limits
		crowd  string
	}{
		"connections":      {0, Limits{Connections: 8}, ""},
		"connection bytes": {0, Limits{ConnectionBytes: 8 * 64 << 10}, ""},
		"memory":           {2000, Limits{}, head + "a:\r\nb:\r\nc:\r\n"},
	}
	uses := map[string]struct {
		earlier int
		before  string
		wanted  bool
	}{
		"new": {0, "", false}, "head arrives": {0, long[:20], false}, "body arrives": {0, long[:len(long)-3], false},
		"sent on": {0, long, true}, "sent on, no body": {0, head + "\r\n", true}, "sent on, next arrives": {0, long + long[:20], true},
		"kept": {1, "", false}, "next head arrives": {1, long[:20], false}, "next body arrives": {1, long[:len(long)-3], false}, "next sent on": {1, long, true},
	}
	for scarce, s := range scarcities {
		for use, u := range uses {
			t.Run(scarce+", "+use, func(t *testing.T) {
				h := &sender{}
				inMemory(t, enforcer.NewMemory(s.memory), s.limits, h, func(t *testing.T, p *memoryPort) {
					g := gomega.NewWithT(t)
					c := p.open(0, "")
					for range u.earlier {
						h.release = make(chan struct{})
						close(h.release)
						go func() { _, _ = io.WriteString(c, long) }()
						body, err := receive(c)
						g.Expect(err).NotTo(gomega.HaveOccurred())
						g.Expect(body).To(gomega.Equal("hello"))
						synctest.Wait()
					}
					h.sent, h.release = 0, make(chan struct{})
					if u.before != "" {
						go func() { _, _ = io.WriteString(c, u.before) }()
					}
					time.Sleep(2 * keptDuration)
					p.crowd(200, s.crowd)
					if !u.wanted {
						go func() { _, _ = io.WriteString(c, long[len(u.before):]) }()
					}
					time.Sleep(time.Second)
					close(h.release)
					body, err := receive(c)
					whole := err == nil && body == "hello"
					g.Expect(h.sent).To(gomega.Equal(map[bool]int{true: 1}[whole]))
					if u.wanted {
						g.Expect(whole).To(gomega.BeTrue())
						synctest.Wait()
						g.Expect(h.ctxErr).NotTo(gomega.HaveOccurred(), "the client is there")
					}
				})
			})
		}
	}
}
