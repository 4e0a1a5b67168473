package commander

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
)

// holdingKeeper holds a part and a request back, and records the changes that it is asked for.
type holdingKeeper struct {
	messenger.UnimplementedFleetKeeperServer
	changes []*messenger.QuarantineChange
}

func (*holdingKeeper) Fetch(_ context.Context, r *messenger.FleetDocumentRequest) (*messenger.FleetDocumentReply, error) {
	if !r.ListQuarantines {
		return &messenger.FleetDocumentReply{}, nil
	}
	return &messenger.FleetDocumentReply{Quarantined: []*messenger.QuarantineTold{
		{Number: 4, LeftMs: 1_800_400, Trials: 1, Request: &messenger.Content{Workspace: "labone", Sum: 0x5c1e, Kind: messenger.ContentKind_CONTENT_KIND_PART}},
		{Number: 5, LeftMs: 60_000, Request: &messenger.Content{Workspace: "labone", Sum: 0x7}},
		{Number: 6, LeftMs: 60_000, Request: &messenger.Content{Sum: 0x9, Kind: messenger.ContentKind_CONTENT_KIND_PART_OF_ANY}},
	}}, nil
}

func (k *holdingKeeper) Order(_ context.Context, r *messenger.OrderRequest) (*messenger.OrderReply, error) {
	k.changes = append(k.changes, r.Change.GetQuarantine())
	return &messenger.OrderReply{Done: true}, nil
}

// Guards against a wrong quarantine that an operator can neither see nor end.
func TestQuarantinesAreShownAndLifted(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s, k := messenger.NewFleetServer(zap.NewNop()), &holdingKeeper{}
	messenger.RegisterFleetKeeperServer(s, k)
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	out := &bytes.Buffer{}
	a := &app{out: out}
	g.Expect(a.quarantines(t.Context(), l.Addr().String())).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.Equal(`NUMBER  KIND     HASH              WORKSPACE  LEFT   TRIALS
4       part     5c1e              labone     30m0s  1
5       request  0000000000000007  labone     1m0s   0
6       part     9                 *          1m0s   0
`))
	g.Expect(a.liftQuarantine(t.Context(), l.Addr().String(), "4")).To(gomega.Succeed())
	g.Expect(k.changes).To(gomega.HaveLen(1))
	g.Expect(k.changes[0].Requests[0].Sum).To(gomega.Equal(uint64(0x5c1e)))
	g.Expect(k.changes[0].Requests[0].Kind).To(gomega.Equal(messenger.ContentKind_CONTENT_KIND_PART))
	for _, number := range []string{"7", "x", ""} {
		g.Expect(a.liftQuarantine(t.Context(), l.Addr().String(), number)).NotTo(gomega.Succeed(), number)
	}
	g.Expect(k.changes).To(gomega.HaveLen(1))
}
