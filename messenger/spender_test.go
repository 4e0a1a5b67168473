package messenger

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// spendKeeper bills each request once and counts streams.
type spendKeeper struct {
	UnimplementedBudgetKeeperServer
	mu      sync.Mutex
	streams int
	bills   map[string]*ChargeRequest
	// Billed is called after a bill and before its answer.
	billed func(context.Context)
	// Old has it not know the stream.
	old bool
	// Hold keeps leases waiting.
	hold chan struct{}
}

func (k *spendKeeper) Spend(stream BudgetKeeper_SpendServer) error {
	k.mu.Lock()
	k.streams++
	k.mu.Unlock()
	if k.old {
		return status.Error(codes.Unimplemented, "unknown method Spend")
	}
	return ServeSpend(k, stream)
}

func (k *spendKeeper) Charge(ctx context.Context, r *ChargeRequest) (*ChargeReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := &ChargeReply{}
	for _, c := range r.Charges {
		if k.bills[c.RequestId] == nil {
			k.bills[c.RequestId] = r
		}
		out.Results = append(out.Results, &ChargeResult{State: ChargeState_CHARGE_STATE_BILLED, BilledTokens: c.Tokens})
	}
	if k.billed != nil {
		k.billed(ctx)
	}
	return out, nil
}

func (k *spendKeeper) Lease(ctx context.Context, _ *LeaseRequest) (*LeaseReply, error) {
	select {
	case <-k.hold:
		return &LeaseReply{GrantedTokens: 7}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

func (*spendKeeper) Return(context.Context, *ReturnRequest) (*ReturnReply, error) {
	return nil, status.Error(codes.FailedPrecondition, "fenced")
}

// spendBench is a keeper behind a real server, and a router's way to it.
type spendBench struct {
	*gomega.WithT
	keeper *spendKeeper
	dialer *Dialer
	raw    BudgetKeeperClient
	client BudgetKeeperClient
	server *grpc.Server
}

// spendAddress has a port that no client gets: the kernel would give one that a
// stopped server has left to whoever dials next.
const spendAddress = "127.35.0.1:7071"

func newSpendBench(t *testing.T, node string, key []byte) *spendBench {
	b := &spendBench{
		WithT: gomega.NewWithT(t), dialer: NewDialer(node, RoleMember, key),
		keeper: &spendKeeper{bills: map[string]*ChargeRequest{}, hold: make(chan struct{})},
	}
	b.serve()
	conn, err := b.dialer.Dial(spendAddress)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.raw = NewBudgetKeeperClient(conn)
	client, closeSpender := NewSpender(b.raw, "osu-hall")
	b.client = client
	t.Cleanup(func() {
		closeSpender()
		_ = conn.Close()
		b.server.Stop()
	})
	return b
}

func (b *spendBench) serve() {
	l, err := net.Listen("tcp", spendAddress)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.server = NewServer(Keys{RoleMember: memberKey})
	RegisterBudgetKeeperServer(b.server, b.keeper)
	go func(s *grpc.Server) { _ = s.Serve(l) }(b.server)
}

func (b *spendBench) charge(id string, incarnation uint64, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := b.client.Charge(ctx, &ChargeRequest{Router: "osu-hall-1", Incarnation: incarnation, Zone: "osu-hall", Charges: []*Charge{{RequestId: id, Tokens: 3}}})
	return err
}

// Guards against a call that waits for the answer of another, or gets it, because answers are matched
// by their order and not by number. The keeper delays a lease, answers charges meanwhile and refuses
// a return, whose error code must arrive.
func TestAnswersOnAStreamAreMatchedByNumber(t *testing.T) {
	b := newSpendBench(t, "osu-hall-1", memberKey)
	ctx := t.Context()
	leased := make(chan *LeaseReply, 1)
	go func() {
		r, _ := b.client.Lease(ctx, &LeaseRequest{Router: "osu-hall-1", Incarnation: 5})
		leased <- r
	}()
	var all sync.WaitGroup
	for i := range 300 {
		all.Go(func() { b.Expect(b.charge(fmt.Sprint(i), 5, time.Minute)).To(gomega.Succeed()) })
	}
	all.Wait()
	_, err := b.client.Return(ctx, &ReturnRequest{Router: "osu-hall-1", Incarnation: 5})
	b.Expect(status.Code(err)).To(gomega.Equal(codes.FailedPrecondition))
	close(b.keeper.hold)
	b.Expect((<-leased).GetGrantedTokens()).To(gomega.Equal(int64(7)))
	b.Expect(b.keeper.bills).To(gomega.HaveLen(300))
	b.Expect(b.keeper.streams).To(gomega.Equal(1))
	for _, r := range b.keeper.bills {
		b.Expect([]any{r.Router, r.Incarnation, r.Zone}).To(gomega.Equal([]any{"osu-hall-1", uint64(5), "osu-hall"}))
	}
}

// Guards against answers that don't complete while zones are partitioned: more leases than a stream
// serves at a time wait for zones that don't answer, and must not take the slots of charges.
func TestWaitingLeasesHoldUpNoCharge(t *testing.T) {
	b := newSpendBench(t, "osu-hall-1", memberKey)
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	b.Expect(b.charge("before", 5, time.Minute)).To(gomega.Succeed())
	for range 2 * maxConcurrentSpends {
		all.Go(func() { _, _ = b.client.Lease(ctx, &LeaseRequest{Router: "osu-hall-1", Incarnation: 5}) })
	}
	t.Cleanup(all.Wait)
	t.Cleanup(cancel)
	current := b.client.(*spender).current
	b.Eventually(func() int {
		current.mu.Lock()
		defer current.mu.Unlock()
		return len(current.unanswered) - len(current.calls)
	}, "10s").Should(gomega.Equal(2 * maxConcurrentSpends))
	b.Expect(b.charge("meanwhile", 5, 5*time.Second)).To(gomega.Succeed())
	close(b.keeper.hold)
	all.Wait()
}

// Guards against spending as another router: a stream is opened with another key, for another router
// than the proof's node, or without an opening; or a message on it names another router.
func TestStreamIsBoundToItsProof(t *testing.T) {
	t.Run("another node", func(t *testing.T) {
		b := newSpendBench(t, "osu-hall-2", memberKey)
		b.Expect(status.Code(b.charge("a", 5, time.Minute))).To(gomega.Equal(codes.PermissionDenied))
	})
	t.Run("another key", func(t *testing.T) {
		b := newSpendBench(t, "osu-hall-1", operatorKey)
		b.Expect(status.Code(b.charge("a", 5, time.Minute))).To(gomega.Equal(codes.Unauthenticated))
	})
	own := newSpendBench(t, "osu-hall-1", memberKey)
	stream, err := own.raw.Spend(t.Context())
	own.Expect(err).NotTo(gomega.HaveOccurred())
	forged := &SpendRequest{Number: 1, Call: &SpendRequest_Charge{Charge: &ChargeRequest{Router: "osu-hall-2", Incarnation: 9, Charges: []*Charge{{RequestId: "a"}}}}}
	own.Expect(stream.Send(forged)).To(gomega.Succeed())
	_, err = stream.Recv()
	own.Expect(status.Code(err)).To(gomega.Equal(codes.InvalidArgument))
	own.Expect(own.keeper.bills).To(gomega.BeEmpty())

	stream, err = own.raw.Spend(t.Context())
	own.Expect(err).NotTo(gomega.HaveOccurred())
	own.Expect(stream.Send(&SpendRequest{Call: &SpendRequest_Opening{Opening: &SpendOpening{Router: "osu-hall-1", Incarnation: 5}}})).To(gomega.Succeed())
	own.Expect(stream.Send(forged)).To(gomega.Succeed())
	_, err = stream.Recv()
	own.Expect(err).NotTo(gomega.HaveOccurred())
	own.Expect(own.keeper.bills["a"].Router).To(gomega.Equal("osu-hall-1"))
	own.Expect(own.keeper.bills["a"].Incarnation).To(gomega.Equal(uint64(5)))
}

// Guards against charges that hang or fail after the keeper was killed. The process ends after it
// billed charges and before it answered; another one starts at the same address, and the charges are
// sent again. Unanswered calls must fail, and the stream must be opened again.
func TestStreamComesBackAfterAKill(t *testing.T) {
	b := newSpendBench(t, "osu-hall-1", memberKey)
	killed, once := make(chan struct{}), sync.Once{}
	b.keeper.billed = func(ctx context.Context) {
		once.Do(func() {
			go func(s *grpc.Server) {
				s.Stop()
				close(killed)
			}(b.server)
		})
		// The stream ends before the answer can leave.
		<-ctx.Done()
	}
	b.Expect(status.Code(b.charge("a", 5, time.Minute))).To(gomega.Equal(codes.Unavailable))
	<-killed
	b.keeper.billed = nil
	b.serve()
	b.Eventually(func() error { return b.charge("a", 5, time.Second) }, "10s").Should(gomega.Succeed())
	b.Expect(b.charge("b", 6, time.Second)).To(gomega.Succeed(), "the next incarnation opens its own")
	b.Expect(b.charge("c", 5, time.Second)).To(gomega.Succeed(), "what the last one left goes plain")
	b.Expect(b.keeper.bills).To(gomega.HaveLen(3))
	b.Expect(b.keeper.bills["c"].Incarnation).To(gomega.Equal(uint64(5)))
	b.Expect(b.keeper.streams).To(gomega.Equal(3))
}

// Guards against a router that does not notice that its keeper is unreachable, so that no witness gets
// the charge. In a silent network partition, with more calls than the connection buffers, callers
// must not wait for the sender of the stream, which waits for the connection.
func TestCallOnACutStreamEndsInTime(t *testing.T) {
	b := newSpendBench(t, "osu-hall-1", memberKey)
	b.Expect(b.charge("before", 5, time.Minute)).To(gomega.Succeed())
	b.dialer.Cutter().Cut(spendAddress)
	const within = 200 * time.Millisecond
	var all sync.WaitGroup
	for i := range 2000 {
		all.Go(func() {
			err := b.charge(fmt.Sprint("cut-with-a-long-name-to-fill-the-buffers-", i), 5, within)
			b.Expect(status.Code(err)).To(gomega.Equal(codes.DeadlineExceeded))
		})
	}
	begun := time.Now()
	all.Wait()
	b.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 20*within))
	b.dialer.Cutter().Heal(spendAddress)
	b.Eventually(func() error { return b.charge("after", 5, time.Second) }, "10s").Should(gomega.Succeed())
	current := b.client.(*spender).current
	current.mu.Lock()
	defer current.mu.Unlock()
	b.Expect(current.unanswered).To(gomega.BeEmpty())
}

// Guards against a router that gets no rights while its keeper is of an earlier version, which does not
// support the stream.
func TestKeeperWithoutStreamsIsCalledPlain(t *testing.T) {
	b := newSpendBench(t, "osu-hall-1", memberKey)
	b.keeper.old = true
	b.Eventually(func() error { return b.charge("a", 5, time.Second) }, "10s").Should(gomega.Succeed())
	b.Expect(b.keeper.bills).To(gomega.HaveLen(1))
}
