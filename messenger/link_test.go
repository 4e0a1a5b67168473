package messenger_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
)

// slowKeeper answers questions after a delay.
type slowKeeper struct {
	messenger.UnimplementedFleetKeeperServer
	delay atomic.Int64
}

func (k *slowKeeper) Sync(ctx context.Context, _ *messenger.SyncRequest) (*messenger.SyncReply, error) {
	select {
	case <-time.After(time.Duration(k.delay.Load())):
		return &messenger.SyncReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (k *slowKeeper) Fetch(context.Context, *messenger.FleetDocumentRequest) (*messenger.FleetDocumentReply, error) {
	return &messenger.FleetDocumentReply{Content: make([]byte, documentBytes)}, nil
}

const (
	documentBytes = 64 << 10
	// linkRate is in bytes a second.
	linkRate = 32 << 10
)

// throttledListener accepts connections that send linkRate bytes a second.
type throttledListener struct{ net.Listener }

type throttledConn struct{ net.Conn }

func (l throttledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return throttledConn{c}, err
}

func (c throttledConn) Write(b []byte) (int, error) {
	const chunk = 2 << 10
	sent := 0
	for sent < len(b) {
		n, err := c.Conn.Write(b[sent:min(sent+chunk, len(b))])
		sent += n
		if err != nil {
			return sent, err
		}
		time.Sleep(time.Duration(n) * time.Second / linkRate)
	}
	return sent, nil
}

// countingListener counts accepted connections, and lets each wait.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
	delay    time.Duration
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
		time.Sleep(l.delay)
	}
	return c, err
}

func slow(t *testing.T, accept time.Duration) (*slowKeeper, *countingListener, *messenger.Link) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k, counting := &slowKeeper{}, &countingListener{Listener: l, delay: accept}
	s := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetKeeperServer(s, k)
	go func() { _ = s.Serve(counting) }()
	link := messenger.NewLink(l.Addr().String())
	t.Cleanup(func() { link.Close(); s.Stop() })
	return k, counting, link
}

func sync(link *messenger.Link, timeout time.Duration) error {
	return link.Call(context.Background(), timeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
		_, err := c.Sync(ctx, &messenger.SyncRequest{})
		return err
	})
}

// Guards against a router that serves an old configuration because callers fill its network link:
// each call times out before its connection is open, or just before its answer arrives. If a
// timeout closes the connection, the next one takes as long again.
func TestShortTimeoutsLeaveASlowConnectionAlone(t *testing.T) {
	t.Run("being made", func(t *testing.T) {
		g := gomega.NewWithT(t)
		_, l, link := slow(t, 700*time.Millisecond)
		g.Eventually(func() error { return sync(link, 250*time.Millisecond) }, 3*time.Second, time.Millisecond).Should(gomega.Succeed())
		g.Expect(l.accepted.Load()).To(gomega.Equal(int64(1)), "connections made")
	})
	t.Run("late answers", func(t *testing.T) {
		g := gomega.NewWithT(t)
		k, l, link := slow(t, 0)
		g.Expect(sync(link, time.Second)).To(gomega.Succeed())
		k.delay.Store(int64(400 * time.Millisecond))
		for range 4 {
			g.Expect(sync(link, 100*time.Millisecond)).NotTo(gomega.Succeed())
			g.Expect(sync(link, time.Second)).To(gomega.Succeed())
		}
		g.Expect(l.accepted.Load()).To(gomega.Equal(int64(1)), "connections made")
	})
}

// Guards against a document that never arrives over a full link: calls beside it time out,
// and the connection is closed although the document's bytes are coming in.
func TestConnectionWithIncomingBytesIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	counting := &countingListener{Listener: throttledListener{l}}
	s := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetKeeperServer(s, &slowKeeper{})
	go func() { _ = s.Serve(counting) }()
	link := messenger.NewLink(l.Addr().String())
	defer s.Stop()
	defer link.Close()
	g.Expect(sync(link, time.Second)).To(gomega.Succeed())
	fetched := make(chan error, 1)
	go func() {
		fetched <- link.Call(context.Background(), 10*time.Second, func(ctx context.Context, c messenger.FleetKeeperClient) error {
			_, err := c.Fetch(ctx, &messenger.FleetDocumentRequest{})
			return err
		})
	}()
	for done := false; !done; {
		select {
		case err := <-fetched:
			g.Expect(err).NotTo(gomega.HaveOccurred())
			done = true
		default:
			_ = sync(link, 20*time.Millisecond)
		}
	}
	g.Expect(counting.accepted.Load()).To(gomega.Equal(int64(1)), "connections made")
}

// Guards against a process that receives nothing for many seconds after a network partition: an open
// connection whose packets were dropped retransmits at ever longer intervals.
func TestSilentConnectionIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	k, l, link := slow(t, 0)
	g.Expect(sync(link, time.Second)).To(gomega.Succeed())
	k.delay.Store(int64(time.Minute))
	begun := time.Now()
	g.Eventually(func() int64 {
		_ = sync(link, 250*time.Millisecond)
		return l.accepted.Load()
	}, 3*time.Second, time.Millisecond).Should(gomega.Equal(int64(2)), "connections made")
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 2*time.Second))
}
