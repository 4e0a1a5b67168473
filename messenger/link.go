package messenger

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	// linkConnect bounds one try to connect. A link that callers fill holds
	// packets back for half a second and more, and a try that is given up too
	// early is never answered.
	linkConnect = time.Second
	linkBackoff = 50 * time.Millisecond
	// linkBackoffMost is how long after the end of a cut a link may still
	// rest.
	linkBackoffMost = 250 * time.Millisecond
	// linkBuffer keeps the memory of a connection small, in bytes.
	linkBuffer = 4 << 10
	// linkMessageMost bounds one message, in bytes: a whole configuration of
	// thousands of routes.
	linkMessageMost = 32 << 20
)

// Link calls one keeper. A call that times out closes the connection: one that
// was cut silently would else hang long after the cut has healed. It is safe
// for concurrent use.
type Link struct {
	address string
	mu      sync.Mutex
	conn    *grpc.ClientConn
}

// NewLink returns a link to an internal address; it connects when needed.
func NewLink(address string) *Link { return &Link{address: address} }

// Address returns the keeper's internal address.
func (l *Link) Address() string { return l.address }

func (l *Link) connection() (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return l.conn, nil
	}
	c, err := grpc.NewClient("passthrough:///"+l.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: linkBackoff, Multiplier: 2, MaxDelay: linkBackoffMost},
			MinConnectTimeout: linkConnect,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(linkMessageMost), grpc.MaxCallSendMsgSize(linkMessageMost)),
		grpc.WithReadBufferSize(linkBuffer), grpc.WithWriteBufferSize(linkBuffer), grpc.WithSharedWriteBuffer(true),
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	l.conn = c
	return c, nil
}

// Call makes one call to a keeper with a timeout.
func (l *Link) Call(ctx context.Context, timeout time.Duration, f func(context.Context, FleetKeeperClient) error) error {
	return l.call(ctx, timeout, func(ctx context.Context, c *grpc.ClientConn) error { return f(ctx, NewFleetKeeperClient(c)) })
}

// Lend asks a router for rights.
func (l *Link) Lend(ctx context.Context, timeout time.Duration, r *LendRequest) (int64, error) {
	var lent int64
	err := l.call(ctx, timeout, func(ctx context.Context, c *grpc.ClientConn) error {
		reply, err := NewFleetRouterClient(c).Lend(ctx, r)
		lent = reply.GetLent()
		return err
	})
	return lent, err
}

// LeaveRights hands rights over to a router.
func (l *Link) LeaveRights(ctx context.Context, timeout time.Duration, r *LeaveRightsRequest) error {
	return l.call(ctx, timeout, func(ctx context.Context, c *grpc.ClientConn) error {
		_, err := NewFleetRouterClient(c).LeaveRights(ctx, r)
		return err
	})
}

func (l *Link) call(ctx context.Context, timeout time.Duration, f func(context.Context, *grpc.ClientConn) error) error {
	c, err := l.connection()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = f(ctx, c)
	if status.Code(err) == codes.DeadlineExceeded {
		l.drop(c)
	}
	return err
}

func (l *Link) drop(c *grpc.ClientConn) {
	l.mu.Lock()
	if l.conn == c {
		l.conn = nil
	}
	l.mu.Unlock()
	_ = c.Close()
}

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	c := l.conn
	l.conn = nil
	l.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// NewFleetServer returns a server for the calls of a fleet's processes; the
// caller registers what it serves.
func NewFleetServer() *grpc.Server {
	return grpc.NewServer(
		grpc.MaxRecvMsgSize(linkMessageMost), grpc.MaxSendMsgSize(linkMessageMost),
		grpc.ReadBufferSize(linkBuffer), grpc.WriteBufferSize(linkBuffer), grpc.SharedWriteBuffer(true),
	)
}
