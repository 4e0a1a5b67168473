package steward

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/messenger"
)

// slowKeeper receives log messages; each call takes one round trip.
type slowKeeper struct {
	messenger.UnimplementedFleetKeeperServer
	// singleMessagesOnly makes it behave like an older version without CarryAll.
	singleMessagesOnly bool
	mu                 sync.Mutex
	terms              []uint64
}

const roundTrip = 40 * time.Millisecond

func (k *slowKeeper) receive(ctx context.Context, list ...*messenger.LogMessage) (*messenger.LogCarried, error) {
	k.mu.Lock()
	for _, m := range list {
		k.terms = append(k.terms, m.Term)
	}
	k.mu.Unlock()
	select {
	case <-time.After(roundTrip):
	case <-ctx.Done():
	}
	return &messenger.LogCarried{}, nil
}

func (k *slowKeeper) Carry(ctx context.Context, m *messenger.LogMessage) (*messenger.LogCarried, error) {
	return k.receive(ctx, m)
}

func (k *slowKeeper) CarryAll(ctx context.Context, m *messenger.LogMessages) (*messenger.LogCarried, error) {
	if k.singleMessagesOnly {
		return nil, status.Error(codes.Unimplemented, "old")
	}
	return k.receive(ctx, m.Messages...)
}

func (k *slowKeeper) receivedTerms() []uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]uint64{}, k.terms...)
}

func startSlowKeeper(t *testing.T, k *slowKeeper) (*peerLinks, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetKeeperServer(s, k)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	m := newPeerLinks("self", []string{l.Addr().String()}, messenger.NewLink, func([]string) error { return nil })
	m.run(t.Context())
	return m, l.Addr().String()
}

// Guards against a distant keeper whose copy falls behind because messages are sent one
// per round trip but are produced faster than that.
func TestMessagesToADistantKeeperAreBatched(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &slowKeeper{}
	m, address := startSlowKeeper(t, k)
	const messages = 200
	var want []uint64
	for i := range uint64(messages) {
		want = append(want, i)
		m.send(&messenger.LogMessage{To: &messenger.LogMember{Name: address}, Term: i})
		time.Sleep(5 * time.Millisecond)
	}
	g.Eventually(k.receivedTerms, 5*roundTrip, time.Millisecond).Should(gomega.Equal(want))
}

// Guards against an upgrade after which keepers of the previous version receive no
// messages.
func TestMessagesReachAKeeperOfAnOlderVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &slowKeeper{singleMessagesOnly: true}
	m, address := startSlowKeeper(t, k)
	for i := range uint64(3) {
		m.send(&messenger.LogMessage{To: &messenger.LogMember{Name: address}, Term: i})
	}
	g.Eventually(k.receivedTerms, time.Second, time.Millisecond).Should(gomega.Equal([]uint64{0, 1, 2}))
}

// Guards against routers that never learn which keepers are in their zone and keep using
// the seeds.
func TestPeerListIncludesZones(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newPeerLinks("10.0.0.1:7340", []string{"10.0.0.2:7340", "10.0.0.3:7340"}, messenger.NewLink, func([]string) error { return nil })
	m.setZone("10.0.0.3:7340", "z3")
	m.setZone("10.0.0.4:7340", "z4")
	m.setZone("10.0.0.1:7340", "z1")
	zones := map[string]string{}
	for _, k := range m.fleetMembers() {
		zones[k.Address] = k.Zone
	}
	g.Expect(zones).To(gomega.Equal(map[string]string{"10.0.0.2:7340": "", "10.0.0.3:7340": "z3", "10.0.0.4:7340": "z4"}))
}

// Guards against a keeper that never learns of the leader because its log was too busy to take the names of the others.
func TestNamesAreReportedAgainAfterAFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	err := committer.ErrBusy
	var reported [][]string
	m := newPeerLinks("10.0.0.1:7340", []string{"10.0.0.2:7340"}, messenger.NewLink, func(names []string) error {
		reported = append(reported, names)
		return err
	})
	m.reportNames()
	err = nil
	m.reportNames()
	m.reportNames()
	names := []string{"10.0.0.2:7340"}
	g.Expect(reported).To(gomega.Equal([][]string{names, names}))
}
