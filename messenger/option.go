package messenger

import (
	"crypto/tls"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// maxMessage bounds one message, in bytes: a whole configuration of 42,000
// workspaces is larger than gRPC's default bound of 4 MiB.
const maxMessage = 64 << 20

// windowBytes bounds what a sender may have under way unread on a connection,
// in bytes. It is fixed: to find one by itself the library sends a ping with
// nearly every message of a quiet connection, a third of the bytes of a call. A
// whole configuration of 42,000 workspaces takes four round trips.
const windowBytes = 1 << 20

// options are what dialers and servers share.
type options struct{ tls *tls.Config }

// Option changes a dialer or a server.
type Option func(*options)

// WithTLS has both sides prove themselves by certificates and encrypts what
// they send; nil leaves the connection in plain text.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }

func newOptions(list []Option) options {
	var o options
	for _, f := range list {
		f(&o)
	}
	return o
}

func (o options) credentials() credentials.TransportCredentials {
	if o.tls == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(o.tls)
}
