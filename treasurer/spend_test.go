package treasurer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/treasurer"
)

// breakingKeeper serves a fake keeper. After every third call that it has
// handled, it closes all connections instead of answering.
type breakingKeeper struct {
	messenger.UnimplementedBudgetKeeperServer
	book        *fakeKeeper
	calls       atomic.Int64
	disconnects atomic.Int64
	mu          sync.Mutex
	conns       []net.Conn
}

const breakEvery = 3

// breakConnections closes the connections on every third call, before its
// answer.
func (k *breakingKeeper) breakConnections(ctx context.Context) {
	if k.calls.Add(1)%breakEvery != 0 {
		return
	}
	k.disconnects.Add(1)
	k.mu.Lock()
	for _, c := range k.conns {
		_ = c.Close()
	}
	k.conns = nil
	k.mu.Unlock()
	<-ctx.Done()
}

func (k *breakingKeeper) Register(ctx context.Context, r *messenger.RegisterRequest) (*messenger.RegisterReply, error) {
	return k.book.Register(ctx, r)
}

func (k *breakingKeeper) Spend(stream messenger.BudgetKeeper_SpendServer) error {
	return messenger.ServeSpend(k, stream)
}

func (k *breakingKeeper) Lease(ctx context.Context, r *messenger.LeaseRequest) (*messenger.LeaseReply, error) {
	defer k.breakConnections(ctx)
	return k.book.Lease(ctx, r)
}

func (k *breakingKeeper) Return(ctx context.Context, r *messenger.ReturnRequest) (*messenger.ReturnReply, error) {
	defer k.breakConnections(ctx)
	return k.book.Return(ctx, r)
}

func (k *breakingKeeper) Charge(ctx context.Context, r *messenger.ChargeRequest) (*messenger.ChargeReply, error) {
	defer k.breakConnections(ctx)
	return k.book.Charge(ctx, r)
}

// recordingListener records accepted connections for the keeper to close.
type recordingListener struct {
	net.Listener
	keeper *breakingKeeper
}

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.keeper.mu.Lock()
		l.keeper.conns = append(l.keeper.conns, c)
		l.keeper.mu.Unlock()
	}
	return c, err
}

// Guards against requests billed twice or not at all, callers that wait
// forever, and lost rights. The stream breaks repeatedly after charges,
// leases and returns were handled and before they are answered. Calls on a
// broken stream must be resent, under the same identity.
func TestBrokenStreamsBillEachChargeOnce(t *testing.T) {
	const paid, cost, requests = 10_000, 3, 60
	g := gomega.NewWithT(t)
	key := []byte("members' key of a test")
	k := &breakingKeeper{book: newKeeper(paid)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := messenger.NewServer(messenger.Keys{messenger.RoleMember: key})
	messenger.RegisterBudgetKeeperServer(server, k)
	go func() { _ = server.Serve(recordingListener{Listener: l, keeper: k}) }()
	defer server.Stop()
	conn, err := messenger.NewDialer("r", messenger.RoleMember, key).Dial(l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	keeperClient, closeSpender := messenger.NewSpender(messenger.NewBudgetKeeperClient(conn), "z")
	defer closeSpender()
	client, end := treasurer.New(treasurer.Options{Router: "r", Zone: "z", Incarnation: 1, Keeper: keeperClient, Policy: treasurer.DefaultPolicy()})
	defer end()

	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			r, err := client.Reserve(ctx, "w", 2*cost)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			billed, err := r.Charge(ctx, &messenger.Charge{Workspace: "w", RequestId: fmt.Sprint(i), Tokens: cost})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(int64(billed)).To(gomega.Equal(int64(cost)))
		})
		if i%10 == 9 {
			all.Wait()
		}
	}
	all.Wait()
	client.ReturnAll(ctx)
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "the return is not answered")
	g.Expect(k.disconnects.Load()).To(gomega.BeNumerically(">=", 2))
	unspent, leased, charged := k.book.books()
	g.Expect([]int64{unspent, leased, charged}).To(gomega.Equal([]int64{paid - requests*cost, 0, requests * cost}))
}
