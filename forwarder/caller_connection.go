package forwarder

import "context"

// CallerConnection is the connection on which a request arrived.
type CallerConnection interface {
	// EndCause returns why the connection can no longer be used for the request, or "" if it can.
	EndCause() string
}

type callerConnectionKey struct{}

// WithCallerConnection returns a context for the requests of a connection.
func WithCallerConnection(ctx context.Context, c CallerConnection) context.Context {
	return context.WithValue(ctx, callerConnectionKey{}, c)
}

// connectionEnd returns why the connection of the request can no longer be used, or "" if it can or if that is unknown.
func (j *job) connectionEnd() string {
	c, ok := j.r.Context().Value(callerConnectionKey{}).(CallerConnection)
	if !ok {
		return ""
	}
	return c.EndCause()
}
