package messenger

import (
	"context"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	// linkConnectTimeout bounds one connection attempt. A network link that callers fill delays
	// packets by half a second and more, and an attempt that ends too early never succeeds. The
	// first packet is retransmitted after a second, so the timeout adds no delay after a network
	// partition.
	linkConnectTimeout = 2500 * time.Millisecond
	// linkMinBackoff is the first pause after a refused connection. A starting process listens by
	// then.
	linkMinBackoff = 50 * time.Millisecond
	// linkMaxBackoff is the longest pause between attempts, and so the longest delay after a network
	// partition.
	linkMaxBackoff = 250 * time.Millisecond
	// linkSilenceTimeout is how long a connection with waiting calls may receive nothing: twice the
	// round trip over a full network link. Retransmissions on a silent connection follow at ever
	// longer intervals.
	linkSilenceTimeout = time.Second
	// minLinkProgressBytes is how many bytes a connection whose calls time out must receive within
	// linkSilenceTimeout to be kept. Control frames take fewer.
	minLinkProgressBytes = 2 << 10
	// linkBufferBytes is the size of each buffer of a connection. It is small, since a process has a
	// connection to each peer.
	linkBufferBytes = 4 << 10
	// maxLinkMessageBytes is the maximum size of a message. A configuration of thousands of routes
	// fits.
	maxLinkMessageBytes = 32 << 20
	// maxLinkHeaderBytes is the maximum size of the metadata of a call or an answer.
	maxLinkHeaderBytes = 64 << 10
	// relayWindowBytes and serverWindowBytes bound what may be held of one stream whose receiver does not read: of an
	// endpoint's answer at the router that asked a relay, and of a call at a server. The library would raise its windows
	// to megabytes on a fast connection. linkWindowBytes is the window of a connection, which bounds what is on its way.
	relayWindowBytes  = 64 << 10
	serverWindowBytes = 256 << 10
	linkWindowBytes   = 1 << 20
	// linkHandshakeTimeout bounds the time until a new connection to a server has sent its settings. It is
	// longer than a client tries to connect.
	linkHandshakeTimeout = 5 * time.Second
)

// DialFunc opens a TCP connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Link calls one process. When calls time out and only control frames arrived for
// linkSilenceTimeout, the next call opens another connection: after a network partition the old one would hang
// for long. It is closed, or while other calls are under way once the process answers no probe on it. A
// connection that is being opened, or whose answers are late over a full network link, is kept,
// since a new one needs two round trips before its first call and would be closed again. It is safe
// for concurrent use.
type Link struct {
	address string
	// dialAddress opens its connections, for which there may be more options.
	dialAddress DialFunc
	options     []grpc.DialOption
	mu          sync.Mutex
	conn        *linkConn
	// retired holds the connections on which no more calls begin, but some are under way.
	retired map[*linkConn]bool
	// silentSince is when the first call began of those that timed out since the last answer; zero
	// if none did.
	silentSince time.Time
	// silentRead is the value of received at silentSince.
	silentRead int64
	// received counts the bytes received over all connections.
	received atomic.Int64
}

// countingConn counts the bytes that are received.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

// Read reads from the connection.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func (l *Link) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := l.dialAddress(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, received: &l.received}, nil
}

// NewLink returns a link to an internal address; it connects when needed.
func NewLink(address string) *Link {
	return NewLinkWithDialer(address, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
}

// NewLinkWithDialer returns a link whose connections are opened by dial.
func NewLinkWithDialer(address string, dial DialFunc) *Link {
	return &Link{address: address, dialAddress: dial, retired: map[*linkConn]bool{}}
}

// NewRelayLink returns a link for OpenRelay, whose connections are opened by dial.
func NewRelayLink(address string, dial DialFunc) *Link {
	l := NewLinkWithDialer(address, dial)
	l.options = []grpc.DialOption{grpc.WithStaticStreamWindowSize(relayWindowBytes), grpc.WithStaticConnWindowSize(linkWindowBytes)}
	return l
}

// Address returns the internal address of the process.
func (l *Link) Address() string { return l.address }

// begin returns the connection for a call, which ends with a call of end.
func (l *Link) begin() (*linkConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.open(); err != nil {
		return nil, err
	}
	l.conn.calls++
	return l.conn, nil
}

// open makes sure that there is a connection. The caller holds l.mu.
func (l *Link) open() error {
	if l.conn != nil {
		return nil
	}
	c, err := grpc.NewClient("passthrough:///"+l.address, append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(l.dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: linkMinBackoff, Multiplier: 2, MaxDelay: linkMaxBackoff},
			MinConnectTimeout: linkConnectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxLinkMessageBytes), grpc.MaxCallSendMsgSize(maxLinkMessageBytes),
			grpc.ForceCodecV2(newCountingCodec(nil))),
		grpc.WithReadBufferSize(linkBufferBytes), grpc.WithWriteBufferSize(linkBufferBytes), grpc.WithSharedWriteBuffer(true),
		grpc.WithMaxHeaderListSize(maxLinkHeaderBytes),
		grpc.WithDisableServiceConfig(),
	}, l.options...)...)
	if err != nil {
		return merry.Wrap(err)
	}
	l.conn, l.silentSince = &linkConn{ClientConn: c}, time.Time{}
	return nil
}

// Call makes one call to a keeper with a timeout.
func (l *Link) Call(ctx context.Context, timeout time.Duration, f func(context.Context, FleetKeeperClient) error) error {
	return l.call(ctx, timeout, func(ctx context.Context, c *linkConn) error { return f(ctx, NewFleetKeeperClient(c)) })
}

// Await connects, and returns nil once calls can be sent.
func (l *Link) Await(ctx context.Context, timeout time.Duration) error {
	c, err := l.begin()
	if err != nil {
		return err
	}
	defer l.end(c)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.Connect()
	for s := c.GetState(); s != connectivity.Ready; s = c.GetState() {
		if s == connectivity.TransientFailure || s == connectivity.Shutdown || !c.WaitForStateChange(ctx, s) {
			return merry.Errorf("%s: not connected", l.address)
		}
	}
	return nil
}

// Lend asks a router for rights.
func (l *Link) Lend(ctx context.Context, timeout time.Duration, r *LendRequest) (*LendReply, error) {
	var reply *LendReply
	err := l.call(ctx, timeout, func(ctx context.Context, c *linkConn) error {
		var err error
		reply, err = NewFleetRouterClient(c).Lend(ctx, r)
		return err
	})
	return reply, err
}

// LeaveRights transfers rights to a router.
func (l *Link) LeaveRights(ctx context.Context, timeout time.Duration, r *LeaveRightsRequest) error {
	return l.call(ctx, timeout, func(ctx context.Context, c *linkConn) error {
		_, err := NewFleetRouterClient(c).LeaveRights(ctx, r)
		return err
	})
}

// ReserveRights asks a router for the tokens of one request.
func (l *Link) ReserveRights(ctx context.Context, timeout time.Duration, r *ReserveRightsRequest) (*ReserveRightsReply, error) {
	var reply *ReserveRightsReply
	err := l.call(ctx, timeout, func(ctx context.Context, c *linkConn) error {
		var err error
		reply, err = NewFleetRouterClient(c).ReserveRights(ctx, r)
		return err
	})
	return reply, err
}

// RateLimits queries a router for the rate limits of endpoints.
func (l *Link) RateLimits(ctx context.Context, timeout time.Duration, r *RateLimitsRequest) (*RateLimitsReply, error) {
	var reply *RateLimitsReply
	err := l.call(ctx, timeout, func(ctx context.Context, c *linkConn) error {
		var err error
		reply, err = NewFleetRouterClient(c).RateLimits(ctx, r)
		return err
	})
	return reply, err
}

// RelayStream carries the bytes of a connection through a router.
type RelayStream struct {
	FleetRouter_RelayClient
	cancel context.CancelCauseFunc
	link   *Link
	conn   *linkConn
}

// Recv waits for a message.
func (s *RelayStream) Recv() (*RelayResponse, error) {
	m, err := s.FleetRouter_RelayClient.Recv()
	if err == nil {
		s.link.recordAnswer(s.conn)
	}
	return m, err
}

// Retired reports whether the stream's connection is taken for silent, so that no more requests are sent on it.
func (s *RelayStream) Retired() bool { return s.link.isRetired(s.conn) }

// Close ends the stream, and with it the connection.
func (s *RelayStream) Close() { s.cancel(context.Canceled) }

// OpenRelay asks a router, as a member of the fleet, for a connection to an endpoint, until timeout
// or the end of ctx. The stream outlives ctx; the caller closes it.
func (l *Link) OpenRelay(ctx context.Context, timeout time.Duration, self *FleetMember, endpoint string) (*RelayStream, *RelayResponse, error) {
	c, err := l.begin()
	if err != nil {
		return nil, nil, err
	}
	ready, begun := c.GetState() == connectivity.Ready, time.Now()
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(ctx.Err()) })
	expiry := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	stream, reply, err := openRelay(streamCtx, c, self, endpoint)
	if err == nil && stop() && expiry.Stop() {
		l.recordAnswer(c)
		context.AfterFunc(streamCtx, func() { l.end(c) })
		return &RelayStream{FleetRouter_RelayClient: stream, cancel: cancel, link: l, conn: c}, reply, nil
	}
	defer l.end(c)
	stop()
	if context.Cause(streamCtx) == context.DeadlineExceeded && ready {
		l.recordTimeout(c, begun)
	}
	if err == nil {
		// ctx ended, or the timeout passed, just as the response came.
		err = context.Canceled
	}
	cancel(err)
	return nil, nil, merry.Wrap(err)
}

// openRelay opens a relay stream and returns its first response.
func openRelay(ctx context.Context, c *linkConn, self *FleetMember, endpoint string) (FleetRouter_RelayClient, *RelayResponse, error) {
	stream, err := NewFleetRouterClient(c).Relay(ctx, grpc.PerRPCCredentials(memberProof(self)))
	if err != nil {
		return nil, nil, err
	}
	if err := stream.Send(&RelayRequest{Endpoint: endpoint}); err != nil && err != io.EOF {
		return nil, nil, err
	}
	// After io.EOF of Send, Recv returns the status.
	reply, err := stream.Recv()
	return stream, reply, err
}

func (l *Link) call(ctx context.Context, timeout time.Duration, f func(context.Context, *linkConn) error) error {
	c, err := l.begin()
	if err != nil {
		return err
	}
	defer l.end(c)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ready, begun := c.GetState() == connectivity.Ready, time.Now()
	err = f(ctx, c)
	switch {
	case err == nil:
		l.recordAnswer(c)
	case status.Code(err) == codes.DeadlineExceeded && ready:
		l.recordTimeout(c, begun)
	}
	return err
}

// recordAnswer records that a call over a connection was answered.
func (l *Link) recordAnswer(c *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.silentSince = time.Time{}
	}
}

// recordTimeout records that a call over a connection timed out, and when it began. It retires a connection that
// has been silent for too long; the next call then opens another one.
func (l *Link) recordTimeout(c *linkConn, begun time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != c {
		return
	}
	received := l.received.Load()
	if l.silentSince.IsZero() {
		l.silentSince, l.silentRead = begun, received
	}
	if time.Since(l.silentSince) < linkSilenceTimeout {
		return
	}
	if received-l.silentRead >= minLinkProgressBytes {
		l.silentSince, l.silentRead = time.Now(), received
		return
	}
	l.conn, l.retired[c] = nil, true
	// The call that timed out is one of them.
	if c.calls > 1 {
		go c.probeUntilClosed()
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.retired))
	if l.conn != nil {
		open = append(open, l.conn)
	}
	l.conn = nil
	clear(l.retired)
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// NewFleetServer returns a gRPC server for the calls of a fleet's processes. It logs messages that cannot be
// encoded or decoded; the caller bounds the rate of these lines, and registers the services.
func NewFleetServer(log *zap.Logger) *grpc.Server {
	p := newPendingCalls(maxPendingCalls)
	return grpc.NewServer(
		grpc.Creds(carrierCredentials{insecure.NewCredentials()}), grpc.MaxConcurrentStreams(maxCallsPerConnection),
		grpc.InTapHandle(p.begin), grpc.UnaryInterceptor(p.interceptUnary), grpc.StreamInterceptor(p.interceptStream),
		grpc.ForceServerCodecV2(newCountingCodec(log)),
		grpc.MaxRecvMsgSize(maxLinkMessageBytes), grpc.MaxSendMsgSize(maxLinkMessageBytes),
		grpc.ReadBufferSize(linkBufferBytes), grpc.WriteBufferSize(linkBufferBytes), grpc.SharedWriteBuffer(true),
		grpc.MaxHeaderListSize(maxLinkHeaderBytes), grpc.ConnectionTimeout(linkHandshakeTimeout),
		grpc.StaticStreamWindowSize(serverWindowBytes), grpc.StaticConnWindowSize(linkWindowBytes),
	)
}
