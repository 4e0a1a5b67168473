package courier

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/publisher"
)

// ownedWorkspace returns the name of a workspace that a peer owns, or that this router owns.
func ownedWorkspace(r *rights, byPeer bool) string {
	for i := range 100 {
		w := string(rune('a'+i%26)) + string(rune('a'+i/26))
		if (len(r.owners.ahead(time.Now(), w)) > 0) == byPeer {
			return w
		}
	}
	return ""
}

// ownerStub lends the requested tokens to single requests, unless its total is spent.
type ownerStub struct {
	messenger.UnimplementedFleetRouterServer
	lent, returned chan int64
	spent          bool
	// shortages are reported if the total is spent.
	shortages []*messenger.RightsShortage
}

func (o *ownerStub) ReserveRights(_ context.Context, q *messenger.ReserveRightsRequest) (*messenger.ReserveRightsReply, error) {
	if o.spent {
		return &messenger.ReserveRightsReply{Spent: true, Shortages: o.shortages}, nil
	}
	o.lent <- q.Tokens
	return &messenger.ReserveRightsReply{Lent: q.Tokens}, nil
}

func (o *ownerStub) LeaveRights(_ context.Context, q *messenger.LeaveRightsRequest) (*messenger.LeaveRightsReply, error) {
	for _, x := range q.Gifts {
		o.returned <- x.Tokens
	}
	return &messenger.LeaveRightsReply{}, nil
}

// pooledRights returns the rights of a router in a fleet of 1,000, an
// owner in its zone and a keeper.
func pooledRights(t *testing.T) (*rights, *ownerStub, *keeperStub) {
	k := &keeperStub{}
	f := startFleet(t, serveStub(t, k))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &ownerStub{lent: make(chan int64, 100), returned: make(chan int64, 100)}
	s := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetRouterServer(s, o)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	f.updatePeers([]*messenger.FleetMember{{Address: l.Addr().String(), Zone: "z"}, f.self})
	f.routerCount.Store(1000)
	r := newRights(f, "127.0.0.1:1", zap.NewNop())
	r.totals = map[string]int64{}
	for _, byPeer := range []bool{true, false} {
		r.totals[ownedWorkspace(r, byPeer)] = 300_000
	}
	ctx, cancel := context.WithCancel(context.Background())
	go r.run(ctx)
	t.Cleanup(cancel)
	return r, o, k
}

// In a fleet of 1,000 routers, the even share of a workspace covers no request. Guards
// against rights that every router claims ahead of demand, and against unspent rights that
// stay with the routers that borrowed them.
func TestPooledRightsComeFromTheirOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	r, o, k := pooledRights(t)
	g.Eventually(k.claims.Load, 3*time.Second).Should(gomega.Equal(int64(1)), "the claim that reports the start")
	w := ownedWorkspace(r, true)
	got, err := r.Reserve(context.Background(), w, 3_000, reserveTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(o.lent).To(gomega.Receive(gomega.Equal(int64(3_000))))
	got.Settle(1_000)
	g.Eventually(o.returned, 3*time.Second).Should(gomega.Receive(gomega.Equal(int64(2_000))))
	g.Consistently(k.claims.Load, 3*time.Second).Should(gomega.Equal(int64(1)), "borrowed rights are not settled with keepers")
}

// Guards against a refusal for lack of rights, although there are some, when the owner of a
// workspace has ended.
func TestSilentOwnerIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _, k := pooledRights(t)
	w := ownedWorkspace(r, true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := l.Addr().String()
	_ = l.Close()
	r.fleet.updatePeers([]*messenger.FleetMember{{Address: address, Zone: "z"}, r.fleet.self})
	r.fleet.routerCount.Store(1000)
	for len(r.owners.ahead(time.Now(), w)) == 0 {
		w += "x"
	}
	r.mu.Lock()
	r.totals[w] = 300_000
	r.mu.Unlock()
	g.Eventually(r.fleet.currentKeeper.Load, 2*time.Second, 5*time.Millisecond).ShouldNot(gomega.BeNil())
	_, err = r.Reserve(context.Background(), w, 500, reserveTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the keepers grant 1,000")
	g.Expect(k.claims.Load()).To(gomega.BeNumerically(">", 0))
	g.Expect(r.owners.ahead(time.Now(), w)).To(gomega.BeEmpty(), "skipped for a while")
}

// Guards against a second search for rights after the owner has reported the total as spent.
func TestOwnerReportsSpentTotal(t *testing.T) {
	g := gomega.NewWithT(t)
	r, o, _ := pooledRights(t)
	o.spent = true
	_, err := r.Reserve(context.Background(), ownedWorkspace(r, true), 3_000, reserveTimeout)
	g.Expect(err).To(gomega.MatchError("prepaid total does not cover the request"))
}

// Guards against an owner's report of a spent total that has no effect once the owner is silent.
func TestOwnerReportsShortage(t *testing.T) {
	g := gomega.NewWithT(t)
	r, o, _ := pooledRights(t)
	w := ownedWorkspace(r, true)
	r.updateTotals(&publisher.Document{Workspaces: []publisher.Workspace{{Name: w, Prepaid: new(int64(300_000))}}})
	o.spent, o.shortages = true, []*messenger.RightsShortage{{Workspace: w, Total: 300_000, Unspent: 2_000}}
	_, err := r.Reserve(context.Background(), w, 3_000, reserveTimeout)
	g.Expect(err).To(gomega.MatchError(forwarder.ErrSpent))
	g.Expect(r.shortages.KnownSpent(w, 2_001)).To(gomega.BeTrue())
	g.Expect(r.shortages.KnownSpent(w, 2_000)).To(gomega.BeFalse())
}

// Guards against refusals for a known shortage while the owner holds tokens that other routers have
// returned: keepers count lent tokens as spent.
func TestOwnerIsAskedDespiteAKnownShortage(t *testing.T) {
	g := gomega.NewWithT(t)
	r, o, _ := pooledRights(t)
	w := ownedWorkspace(r, true)
	r.updateTotals(&publisher.Document{Workspaces: []publisher.Workspace{{Name: w, Prepaid: new(int64(300_000))}}})
	r.observeShortages([]*messenger.RightsShortage{{Workspace: w, Total: 300_000}})
	g.Expect(r.shortages.KnownSpent(w, 1)).To(gomega.BeTrue())
	g.Expect(r.KnownSpent(w, 3_000)).To(gomega.BeFalse(), "the check before a request waits for endpoints")
	_, err := r.Reserve(context.Background(), w, 3_000, reserveTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(o.lent).To(gomega.Receive(gomega.Equal(int64(3_000))))
}
