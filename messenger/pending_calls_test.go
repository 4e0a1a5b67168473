package messenger

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// Guards against clients that begin calls whose messages do not come, until the process is out of memory.
func TestCallsWithoutMessageEndTheOldest(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPendingCalls(2)
	var calls []context.Context
	for range 3 {
		ctx, err := p.begin(t.Context(), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		calls = append(calls, ctx)
	}
	g.Expect(calls[0].Err()).To(gomega.HaveOccurred())
	p.received(calls[1])
	for range 2 {
		_, err := p.begin(t.Context(), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(calls[1].Err()).NotTo(gomega.HaveOccurred(), "its message has arrived")
	g.Expect(calls[2].Err()).To(gomega.HaveOccurred())
}

// Guards against calls that stay counted after their end, until others are ended for them.
func TestEndedCallsAreNotPending(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPendingCalls(2)
	ctx, cancel := context.WithCancel(t.Context())
	_, err := p.begin(ctx, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cancel()
	pending := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.calls.Len()
	}
	g.Eventually(pending, time.Second).Should(gomega.BeZero())
}

// carryingListener returns connections that count their calls.
type carryingListener struct {
	net.Listener
	carried, ended chan struct{}
}

type carryingConn struct {
	net.Conn
	carried, ended chan struct{}
}

func (c carryingConn) CarryCall() func() {
	c.carried <- struct{}{}
	return func() { c.ended <- struct{}{} }
}

func (l carryingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return carryingConn{c, l.carried, l.ended}, err
}

// answeringKeeper answers Sync.
type answeringKeeper struct{ UnimplementedFleetKeeperServer }

func (answeringKeeper) Sync(context.Context, *SyncRequest) (*SyncReply, error) {
	return &SyncReply{}, nil
}

// Guards against connections of processes that are taken for those of strangers, and closed first.
func TestConnectionsAreToldOfTheirCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s, carried, ended := NewFleetServer(zap.NewNop()), make(chan struct{}, 10), make(chan struct{}, 10)
	RegisterFleetKeeperServer(s, answeringKeeper{})
	go func() { _ = s.Serve(carryingListener{l, carried, ended}) }()
	t.Cleanup(s.Stop)
	c, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_, err = NewFleetKeeperClient(c).Sync(t.Context(), &SyncRequest{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(carried).To(gomega.Receive())
	g.Eventually(ended, time.Second).Should(gomega.Receive())
}
