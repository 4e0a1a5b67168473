package forwarder

import "context"

// ConnectionEnd tells why a caller's connection can no longer be used for a request; "" if it can, or if that is unknown.
type ConnectionEnd string

// Ends of a caller's connection.
const (
	// ClosedByCaller is the regular end of the caller's side, and ResetByCaller any other.
	ClosedByCaller ConnectionEnd = "closed by caller"
	ResetByCaller  ConnectionEnd = "reset by caller"
	// EndedByDeadline means that the caller did not send its body, or did not read its answer, in time.
	EndedByDeadline ConnectionEnd = "deadline"
	// Evicted means that this router closes the connection for lack of room.
	Evicted ConnectionEnd = "evicted"
	// ClosedByRouter is any other end by this router.
	ClosedByRouter ConnectionEnd = "closed by router"
	// EndedOtherwise is an end of unknown cause.
	EndedOtherwise ConnectionEnd = "other"
)

// CallerConnection is the connection on which a request arrived.
type CallerConnection interface {
	// End returns why the connection can no longer be used for the request.
	End() ConnectionEnd
	// Protect keeps the connection open until the request is answered, unless its caller leaves or its time is
	// over. It returns why that is not possible, if its end was received or it is being closed already.
	Protect() ConnectionEnd
}

type callerConnectionKey struct{}

// WithCallerConnection returns a context for the requests of a connection.
func WithCallerConnection(ctx context.Context, c CallerConnection) context.Context {
	return context.WithValue(ctx, callerConnectionKey{}, c)
}

// CallerConnectionOf returns the connection of a request from its context, or nil if it is unknown.
func CallerConnectionOf(ctx context.Context) CallerConnection {
	c, _ := ctx.Value(callerConnectionKey{}).(CallerConnection)
	return c
}

// connection returns the connection of the request, or nil if it is unknown.
func (j *job) connection() CallerConnection { return CallerConnectionOf(j.r.Context()) }

// connectionEnd returns why the connection of the request can no longer be used.
func (j *job) connectionEnd() ConnectionEnd {
	if j.unprotected != "" {
		return j.unprotected
	}
	if c := j.connection(); c != nil {
		return c.End()
	}
	return ""
}

// protectConnection reports whether the request may be sent on: its connection then stays open for the answer.
func (j *job) protectConnection() bool {
	if c := j.connection(); c != nil {
		j.unprotected = c.Protect()
	}
	return j.unprotected == ""
}

// callerLeft reports whether the caller has ended its connection. The server ends the request as well if a read fails
// for another reason; then the caller still waits for an answer.
func (j *job) callerLeft() bool {
	if j.r.Context().Err() == nil && j.unprotected == "" {
		return false
	}
	switch j.connectionEnd() {
	case EndedByDeadline, Evicted, ClosedByRouter:
		return false
	}
	return true
}
