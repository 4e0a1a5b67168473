package router

import (
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// errSlowBody says that the body of a request did not arrive by its deadline.
var errSlowBody = merry.Sentinel("the body did not arrive by the deadline")

// deadliner is the part of an http.ResponseController that bounds a request's
// use of its connection.
type deadliner interface {
	SetReadDeadline(time.Time) error
	SetWriteDeadline(time.Time) error
}

// writeGrace is how long after a request's deadline its answer or refusal may
// still be on its way to the caller.
const writeGrace = 2 * time.Second

// readBy reads a body of most bytes by a time, and bounds the writes of the
// answer. Without these bounds a caller that stops sending, or reading, in the
// middle would hold the request for ever, which shows as a router that does
// not end its drain: neither a read nor a write that waits sees the end of the
// request's context.
//
// After a failure the read deadline stays, because the server reads on what is
// left of the body. After a whole body it is lifted: the server reads ahead to
// see the caller go, and a timeout there would end the request's context. The
// write deadline is lifted by the server before the connection's next request.
func readBy(c deadliner, h *http.Request, by time.Time, most int64) ([]byte, error) {
	// A writer without a connection, as in tests, has no deadline to set.
	_ = c.SetReadDeadline(by)
	_ = c.SetWriteDeadline(by.Add(writeGrace))
	body, err := io.ReadAll(http.MaxBytesReader(nil, h.Body, most))
	if err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Time{})
	return body, nil
}
