package router

import (
	"io"
	"net/http"
	"time"
)

const (
	// bodyTimeout bounds the time in which a caller sends its body.
	bodyTimeout = 30 * time.Second
	// writeGrace is how long after its deadline a caller may take to read the
	// rest of its answer.
	writeGrace = 5 * time.Second
)

// bodyBound returns the time for a body: limit, or the request's own timeout
// where that is shorter.
func bodyBound(h http.Header, limit time.Duration) time.Duration {
	d, err := time.ParseDuration(h.Get(headerTimeout))
	if err != nil || d <= 0 {
		return limit
	}
	return min(d, limit)
}

// boundBody cuts off a caller that sends its body too slowly: it would hold a
// handler, and a router that drains, for as long as it likes. One sees active
// requests that never reach admission.
func boundBody(limit time.Duration) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			c := http.NewResponseController(w)
			if c.SetReadDeadline(time.Now().Add(bodyBound(q.Header, limit))) == nil {
				q.Body = &boundedBody{ReadCloser: q.Body, controller: c}
			}
			next.ServeHTTP(w, q)
		})
	}
}

// boundedBody lifts the deadline at the end of the body: the server goes on
// reading to notice that a caller leaves, and would take the deadline for it.
type boundedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// boundWrite cuts off a caller that does not read its answer: writes to it
// would block past the request's deadline, and a router that drains would wait
// for it. The server sets the bound anew for the next request.
func boundWrite(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
}
