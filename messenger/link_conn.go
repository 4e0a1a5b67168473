package messenger

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

const (
	// linkProbeTimeout bounds one probe of a connection under calls. It is longer than linkSilenceTimeout, since
	// calls fail when the connection is closed.
	linkProbeTimeout = 2 * linkSilenceTimeout
	// linkProbeInterval is the time from the answer to a probe to the next one.
	linkProbeInterval = time.Second
)

// linkConn is a connection of a link.
type linkConn struct {
	*grpc.ClientConn
	// calls counts the calls under way. The mutex of the link guards it.
	calls int
}

// end records the end of a call. The last one on a retired connection closes it.
func (l *Link) end(c *linkConn) {
	l.mu.Lock()
	c.calls--
	unused := l.retired[c] && c.calls == 0
	if unused {
		delete(l.retired, c)
	}
	l.mu.Unlock()
	if unused {
		_ = c.Close()
	}
}

// isRetired reports whether no more calls begin on a connection.
func (l *Link) isRetired(c *linkConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != c
}

// probeUntilClosed closes the connection once the process no longer answers on it.
func (c *linkConn) probeUntilClosed() {
	for c.GetState() == connectivity.Ready && c.answersProbe() {
		c.pause()
	}
	_ = c.Close()
}

// pause waits for linkProbeInterval, or until the connection has ended.
func (c *linkConn) pause() {
	ctx, cancel := context.WithTimeout(context.Background(), linkProbeInterval)
	defer cancel()
	c.WaitForStateChange(ctx, connectivity.Ready)
}

// answersProbe reports whether the process answers. One that does not know the call answers as well.
func (c *linkConn) answersProbe() bool {
	ctx, cancel := context.WithTimeout(context.Background(), linkProbeTimeout)
	defer cancel()
	_, err := healthpb.NewHealthClient(c).Check(ctx, &healthpb.HealthCheckRequest{})
	return err == nil || status.Code(err) == codes.Unimplemented
}
