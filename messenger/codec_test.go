package messenger_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"rattanhoist.example/rattanhoist/messenger"
)

// listingKeeper answers syncs with one endpoint.
type listingKeeper struct {
	messenger.UnimplementedFleetKeeperServer
	endpoint string
}

func (k *listingKeeper) Sync(context.Context, *messenger.SyncRequest) (*messenger.SyncReply, error) {
	return &messenger.SyncReply{Endpoints: []*messenger.Sighting{{Id: k.endpoint}}}, nil
}

// Guards against a keeper whose replies all fail without a line or a counter on either side: a reply that
// cannot be encoded fails after the handler has returned.
func TestMessageThatCannotBeEncodedIsCountedAndLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	core, lines := observer.New(zap.InfoLevel)
	s := messenger.NewFleetServer(zap.New(core))
	messenger.RegisterFleetKeeperServer(s, &listingKeeper{endpoint: "\xff"})
	go func() { _ = s.Serve(l) }()
	link := messenger.NewLink(l.Addr().String())
	t.Cleanup(func() { link.Close(); s.Stop() })
	failed := messenger.MessagesFailed("encode", "SyncReply")
	before := failed.Get()
	g.Expect(sync(link, time.Second)).To(gomega.MatchError(gomega.ContainSubstring("invalid UTF-8")))
	g.Expect(failed.Get()).To(gomega.Equal(before + 1))
	g.Expect(lines.FilterMessage("message cannot be encoded or decoded").FilterField(zap.String("message", "SyncReply")).Len()).To(gomega.Equal(1))
}
