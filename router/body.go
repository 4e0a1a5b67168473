package router

import (
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// errSlowBody says that the body of a request did not arrive by its deadline.
var errSlowBody = merry.Sentinel("the body did not arrive by the deadline")

// readDeadliner is the part of an http.ResponseController that bounds reads.
type readDeadliner interface {
	SetReadDeadline(time.Time) error
}

// readBy reads a body of most bytes by a time. Without that bound a caller
// that stops in the middle would hold the request for ever, which shows as a
// router that does not end its drain.
//
// After a failure the read deadline stays, because the server reads on what is
// left of the body. After a whole body it is lifted: the server reads ahead to
// see the caller go, and a timeout there would end the request's context.
func readBy(c readDeadliner, h *http.Request, by time.Time, most int64) ([]byte, error) {
	// A writer without a connection, as in tests, has no deadline to set.
	_ = c.SetReadDeadline(by)
	body, err := io.ReadAll(http.MaxBytesReader(nil, h.Body, most))
	if err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Time{})
	return body, nil
}
