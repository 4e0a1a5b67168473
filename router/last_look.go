package router

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// errTooOld says that the endpoint could not be used any more when the request
// was about to be written; not a byte of it was.
var errTooOld = merry.Sentinel("the endpoint's announcement is too old")

// lastLook asks once more whether an endpoint may be used, right before the
// first byte of a request is written. A router can be stopped between its
// choice and the write, with a dial and several threads in between; continued
// a minute later, it would send work to an endpoint that has long left, as
// the run log of that endpoint would show.
type lastLook struct {
	usable func() bool
	// Refused says that the latest look kept the request from being written.
	// The HTTP client may try another connection after that.
	refused atomic.Bool
}

// arm returns a context under which the look is taken.
func (l *lastLook) arm(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*lookingConn); ok {
			c.look.Store(l)
		}
	}})
}

// lookingConn is a connection to an endpoint. It carries one request at a
// time, as HTTP/1.1 does.
type lookingConn struct {
	net.Conn
	// Look is nil but before the first byte of a request that is armed.
	look atomic.Pointer[lastLook]
}

// Write writes nothing and fails where the last look says no.
func (c *lookingConn) Write(b []byte) (int, error) {
	if l := c.look.Swap(nil); l != nil {
		usable := l.usable()
		l.refused.Store(!usable)
		if !usable {
			return 0, errTooOld
		}
	}
	return c.Conn.Write(b)
}

// dialLooking is http.Transport's DialContext for connections to endpoints.
func dialLooking(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &lookingConn{Conn: c}, nil
	}
}
