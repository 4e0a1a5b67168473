package router

import (
	"io"
	"net/http"
	"time"
)

const (
	// bodyTimeout is how long a caller may take to send its body.
	bodyTimeout = 30 * time.Second
	// writeGrace is how long after its deadline a caller may take to read the
	// rest of its answer.
	writeGrace = 5 * time.Second
)

// bodyTimeLimit returns how long the body may take: limit, or the request's own
// timeout if that is shorter.
func bodyTimeLimit(h http.Header, limit time.Duration) time.Duration {
	d, err := time.ParseDuration(h.Get(headerTimeout))
	if err != nil || d <= 0 {
		return limit
	}
	return min(d, limit)
}

// limitBodyTime returns middleware that disconnects callers which send their
// body too slowly. Such a caller would hold a handler, and block a drain, for
// as long as it likes; it shows as active requests that never reach admission.
func limitBodyTime(limit time.Duration) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			c := http.NewResponseController(w)
			if c.SetReadDeadline(time.Now().Add(bodyTimeLimit(q.Header, limit))) == nil {
				q.Body = &timedBody{ReadCloser: q.Body, controller: c}
			}
			next.ServeHTTP(w, q)
		})
	}
}

// timedBody clears the read deadline at the end of the body. The server keeps
// reading to notice when a caller disconnects, and would mistake the deadline
// for that.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// limitWriteTime disconnects a caller that does not read its answer. Writes to
// it would block beyond the request's deadline, and a draining router would
// wait for them. The server sets a new write deadline for the next request.
func limitWriteTime(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
}
