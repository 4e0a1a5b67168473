package pooler_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/relayer"
)

// failingRelays are relays that find that the endpoint accepts no connections.
type failingRelays struct{}

func (failingRelays) Dial(ctx context.Context, _ relayer.Target) (*relayer.Conn, error) {
	select {
	case <-ctx.Done():
	case <-time.After(50 * time.Millisecond):
	}
	return nil, relayer.ErrEndpointDown
}

// Guards against taking the path to an endpoint that is down for lost, because callers leave before
// their connection attempts end: nothing then connected, and no relay did either.
func TestAbandonedAttemptsLoseNoPath(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pooler.New(func(http.Header, string) pooler.AnswerMatch { return pooler.MatchOwn }, func() {})
	p.UseDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	p.UseRelays(failingRelays{})
	for range 4 {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err := p.Exchange(ctx, pooler.Target{ID: "e", Address: "127.0.0.1:1", Service: "s", MaxConnections: 8},
			&pooler.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}, ID: "r"})
		g.Expect(err).To(gomega.MatchError(pooler.ErrNotSent))
		cancel()
	}
	g.Consistently(func() bool { return p.PathLost("e") }, time.Second, 20*time.Millisecond).Should(gomega.BeFalse())
}
