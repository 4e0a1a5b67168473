package messenger

import (
	"container/list"
	"context"
	"net"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/tap"
)

const (
	// maxPendingCalls bounds the calls that have begun and whose message has not arrived. A process sends
	// both together.
	maxPendingCalls = 1024
	// maxCallsPerConnection bounds the calls in progress on a connection; further ones wait at the caller. Each
	// connection that a router relays for another is one.
	maxCallsPerConnection = 512
)

// CallCarrier is a connection that is notified of calls whose message has arrived. It is notified of the end of a call by
// the function that CarryCall returns.
type CallCarrier interface{ CarryCall() (end func()) }

// pendingCalls bounds the calls whose message has not arrived: it ends the oldest ones. It is safe for
// concurrent use.
type pendingCalls struct {
	max int

	mu sync.Mutex
	// calls holds a *pendingCall for each call, the oldest first.
	calls list.List
}

// pendingCall is a call whose message has not arrived.
type pendingCall struct {
	// end ends the call, and forget stops waiting for its end.
	end    context.CancelFunc
	forget func() bool
}

func newPendingCalls(n int) *pendingCalls { return &pendingCalls{max: n} }

type pendingCallKey struct{}

// begin records a call, and ends the oldest one if there are too many.
func (p *pendingCalls) begin(ctx context.Context, _ *tap.Info) (context.Context, error) {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls.Len() >= p.max {
		oldest := p.calls.Front()
		p.calls.Remove(oldest)
		callsEnded.Inc()
		oldest.Value.(*pendingCall).end()
	}
	x := &pendingCall{end: cancel}
	e := p.calls.PushBack(x)
	x.forget = context.AfterFunc(ctx, func() { p.remove(e) })
	return context.WithValue(ctx, pendingCallKey{}, e), nil
}

// remove forgets a call whose message has arrived, or that has ended.
func (p *pendingCalls) remove(e *list.Element) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// It has no effect on an element that was removed.
	p.calls.Remove(e)
}

// received records that the message of a call has arrived, whose context ends with it.
func (p *pendingCalls) received(ctx context.Context) {
	if e, ok := ctx.Value(pendingCallKey{}).(*list.Element); ok {
		e.Value.(*pendingCall).forget()
		p.remove(e)
	}
	if x, ok := peer.FromContext(ctx); ok {
		if i, ok := x.AuthInfo.(carrierInfo); ok {
			context.AfterFunc(ctx, i.carrier.CarryCall())
		}
	}
}

func (p *pendingCalls) interceptUnary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
	p.received(ctx)
	return h(ctx, req)
}

func (p *pendingCalls) interceptStream(srv any, s grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
	return h(srv, &receivingStream{ServerStream: s, calls: p})
}

// receivingStream records the first message of a stream.
type receivingStream struct {
	grpc.ServerStream
	calls *pendingCalls
	once  sync.Once
}

// RecvMsg waits for a message.
func (s *receivingStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	if err == nil {
		s.once.Do(func() { s.calls.received(s.Context()) })
	}
	return err
}

// carrierCredentials are credentials whose connections are told of the calls that they carry.
type carrierCredentials struct {
	credentials.TransportCredentials
}

// carrierInfo names the connection of a call.
type carrierInfo struct {
	credentials.AuthInfo
	carrier CallCarrier
}

// ServerHandshake returns the connection, which the calls on it find in their peer.
func (c carrierCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	n, info, err := c.TransportCredentials.ServerHandshake(raw)
	if carrier, ok := raw.(CallCarrier); ok && err == nil {
		info = carrierInfo{info, carrier}
	}
	return n, info, err
}
