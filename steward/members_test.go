package steward

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/messenger"
)

// farKeeper takes log messages, each call after the way there and back.
type farKeeper struct {
	messenger.UnimplementedFleetKeeperServer
	// Old says that it knows single messages only.
	old   bool
	mu    sync.Mutex
	terms []uint64
}

const farRoundTrip = 40 * time.Millisecond

func (k *farKeeper) take(ctx context.Context, list ...*messenger.LogMessage) (*messenger.LogCarried, error) {
	k.mu.Lock()
	for _, m := range list {
		k.terms = append(k.terms, m.Term)
	}
	k.mu.Unlock()
	select {
	case <-time.After(farRoundTrip):
	case <-ctx.Done():
	}
	return &messenger.LogCarried{}, nil
}

func (k *farKeeper) Carry(ctx context.Context, m *messenger.LogMessage) (*messenger.LogCarried, error) {
	return k.take(ctx, m)
}

func (k *farKeeper) CarryAll(ctx context.Context, m *messenger.LogMessages) (*messenger.LogCarried, error) {
	if k.old {
		return nil, status.Error(codes.Unimplemented, "old")
	}
	return k.take(ctx, m.Messages...)
}

func (k *farKeeper) taken() []uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]uint64{}, k.terms...)
}

func serveFar(t *testing.T, k *farKeeper) (*members, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := messenger.NewFleetServer()
	messenger.RegisterFleetKeeperServer(s, k)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	m := newMembers("self", []string{l.Addr().String()}, func([]string) {})
	m.run(t.Context())
	return m, l.Addr().String()
}

// Guards against a keeper far away whose copy falls behind: messages came faster than
// round trips.
func TestMessagesToAFarKeeperDoNotQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &farKeeper{}
	m, address := serveFar(t, k)
	const messages = 200
	var want []uint64
	for i := range uint64(messages) {
		want = append(want, i)
		m.send(&messenger.LogMessage{To: &messenger.LogMember{Name: address}, Term: i})
		time.Sleep(5 * time.Millisecond)
	}
	g.Eventually(k.taken, 5*farRoundTrip, time.Millisecond).Should(gomega.Equal(want))
}

// Guards against an upgrade after which keepers of the version before hear nothing.
func TestMessagesReachAKeeperOfAnOlderVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &farKeeper{old: true}
	m, address := serveFar(t, k)
	for i := range uint64(3) {
		m.send(&messenger.LogMessage{To: &messenger.LogMember{Name: address}, Term: i})
	}
	g.Eventually(k.taken, time.Second, time.Millisecond).Should(gomega.Equal([]uint64{0, 1, 2}))
}

// Guards against routers that never learn which keepers are in their zone, and stay with the
// seeds.
func TestKeepersTellTheZonesOfOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMembers("10.0.0.1:7340", []string{"10.0.0.2:7340", "10.0.0.3:7340"}, func([]string) {})
	m.located("10.0.0.3:7340", "z3")
	m.located("10.0.0.4:7340", "z4")
	m.located("10.0.0.1:7340", "z1")
	zones := map[string]string{}
	for _, k := range m.list() {
		zones[k.Address] = k.Zone
	}
	g.Expect(zones).To(gomega.Equal(map[string]string{"10.0.0.2:7340": "", "10.0.0.3:7340": "z3", "10.0.0.4:7340": "z4"}))
}
