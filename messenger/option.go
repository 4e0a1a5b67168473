package messenger

import (
	"crypto/tls"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// maxMessageBytes is the maximum size of a message. A configuration of 42,000 workspaces exceeds gRPC's
// default of 4 MiB.
const maxMessageBytes = 64 << 20

// windowBytes is the flow control window of a connection. It is fixed, because the library would
// estimate it by sending a ping with nearly every message of a quiet connection, a third of the bytes
// of a call. A configuration of 42,000 workspaces takes four round trips.
const windowBytes = 1 << 20

// options are the settings that dialers and servers share.
type options struct{ tls *tls.Config }

// Option changes a dialer or a server.
type Option func(*options)

// WithTLS enables mutual TLS; nil leaves connections unencrypted.
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
