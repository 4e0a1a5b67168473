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

type evacuatedKeeper struct {
	messenger.UnimplementedFleetKeeperServer
}

func (evacuatedKeeper) Fetch(context.Context, *messenger.FleetDocumentRequest) (*messenger.FleetDocumentReply, error) {
	return &messenger.FleetDocumentReply{Evacuations: &messenger.Evacuations{
		Revision: 3, Zones: []string{"osu-hall"}, Returned: []*messenger.ZoneReturn{{Zone: "tema-hall", AgeMs: 4_200}},
	}}, nil
}

// Guards against an evacuated zone that is not shown to the operator.
func TestEvacuationsOfAKeeper(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetKeeperServer(s, evacuatedKeeper{})
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	out := &bytes.Buffer{}
	a := &app{out: out}
	g.Expect(a.evacuations(t.Context(), l.Addr().String())).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.Equal("ZONE       STATE            REVISION\nosu-hall   evacuated        3\ntema-hall  returned 4s ago  3\n"))
}
