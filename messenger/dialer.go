package messenger

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"
)

const (
	reconnectBase     = 50 * time.Millisecond
	reconnectMax      = time.Second
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
)

// Dialer opens connections to the peers of one node.
type Dialer struct {
	node   string
	role   Role
	key    []byte
	cutter *Cutter
	// options are the security settings of connections.
	options options
}

// NewDialer returns a dialer that proves the role with the key.
func NewDialer(node string, role Role, key []byte, list ...Option) *Dialer {
	return &Dialer{node: node, role: role, key: key, cutter: NewCutter(), options: newOptions(list)}
}

// Cutter returns the cutter with which tests partition this node.
func (d *Dialer) Cutter() *Cutter { return d.cutter }

// Dial returns a connection to address that reconnects by itself. The caller closes it.
func (d *Dialer) Dial(address string) (*grpc.ClientConn, error) {
	options := append(clientTracing(),
		grpc.WithTransportCredentials(d.options.credentials()),
		grpc.WithPerRPCCredentials(proof{role: d.role, node: d.node, key: d.key, now: time.Now}),
		grpc.WithContextDialer(d.dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBase, Multiplier: 2, MaxDelay: reconnectMax},
			MinConnectTimeout: reconnectMax,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	return grpc.NewClient("passthrough:///"+address, options...)
}

func (d *Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if err := d.cutter.wait(ctx, address); err != nil {
		return nil, err
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return d.cutter.wrap(c, address), nil
}
