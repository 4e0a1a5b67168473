// Package enforcer limits what callers may take of a router: the time for their requests' bodies and
// for reading their answers, and the memory that the router holds for them.
package enforcer

import (
	"io"
	"net/http"
	"time"
)

// LimitBodyTime disconnects a caller that has not sent its body by a time. Such a caller would hold
// a handler, and block a drain, for as long as it likes; it shows as active requests that never
// reach admission.
func LimitBodyTime(w http.ResponseWriter, q *http.Request, until time.Time) {
	c := http.NewResponseController(w)
	if c.SetReadDeadline(until) == nil {
		q.Body = &timedBody{ReadCloser: q.Body, controller: c}
	}
}

// LimitUnreadBody bounds the time for the rest of a body that the handler does not read. The server reads
// some of it before it sends the answer, and would wait for a caller that sends it slowly.
func LimitUnreadBody(w http.ResponseWriter, q *http.Request, timeout time.Duration) {
	if b, ok := q.Body.(*timedBody); ok && b.ended {
		// The server reads on to notice when the caller disconnects.
		return
	}
	if q.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	}
}

// timedBody clears the read deadline at the end of the body. The server keeps
// reading to notice when a caller disconnects, and would mistake the deadline
// for that.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	// ended is set once the end of the body was read.
	ended bool
}

func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// LimitWriteTime disconnects a caller that has not read its answer by a time. Writes to it would
// block beyond the request's deadline, and a draining router would wait for them. The server clears
// the write deadline before the next request.
func LimitWriteTime(w http.ResponseWriter, until time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(until)
}
