package router

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// errAnnouncementExpired is returned if the endpoint stopped being usable just
// before the request was written. No byte of the request was sent.
var errAnnouncementExpired = merry.Sentinel("the endpoint's announcement is too old")

// dispatchCheck checks again whether an endpoint is usable, right before the
// first byte of a request is written. The process can be suspended between the
// choice of an endpoint and the write, during the dial or a thread switch.
// Without this check, a router that is resumed a minute later sends the request
// to an endpoint that left long ago.
type dispatchCheck struct {
	usable func() bool
	// refused reports whether the latest check kept the request from being
	// written. The HTTP client may try another connection after that.
	refused atomic.Bool
}

// attach returns a context that applies the check to the connection which the
// HTTP client picks for the request.
func (l *dispatchCheck) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*checkedConn); ok {
			c.check.Store(l)
		}
	}})
}

// checkedConn is a connection to an endpoint. It carries one request at a time,
// as in HTTP/1.1.
type checkedConn struct {
	net.Conn
	// check is set from the choice of the connection until the first byte of
	// the request is written, otherwise nil.
	check atomic.Pointer[dispatchCheck]
}

// Write fails without writing anything if the pending check finds the endpoint
// unusable.
func (c *checkedConn) Write(b []byte) (int, error) {
	if l := c.check.Swap(nil); l != nil {
		usable := l.usable()
		l.refused.Store(!usable)
		if !usable {
			return 0, errAnnouncementExpired
		}
	}
	return c.Conn.Write(b)
}

// dialChecked returns a DialContext function for the http.Transport of endpoint
// connections.
func dialChecked(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c}, nil
	}
}
