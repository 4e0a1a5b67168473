package courier

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/predictor"
)

// Guards against a whole answer without length that is broken off, as if its endpoint had ended, because a connection
// that shows that it is alive takes long over this router's own link.
func TestEndpointIsAliveBehindASlowLink(t *testing.T) {
	for name, x := range map[string]struct {
		delay, connecting time.Duration
		alive             bool
	}{
		"link is slow": {time.Second, 1500 * time.Millisecond, true},
		"link is fast": {0, 1500 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				l := newLivenessChecks(zap.NewNop(), nil)
				l.delay = func() time.Duration { return x.delay }
				l.takeIdle = func(string, time.Time) io.ReadWriteCloser { return nil }
				l.replaced = func(enroller.Heartbeat) bool { return false }
				l.dial = func(ctx context.Context, _ string) (net.Conn, error) {
					select {
					case <-time.After(x.connecting):
						near, _ := net.Pipe()
						return near, nil
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				}
				l.probe = func(context.Context, io.ReadWriteCloser, string, string) (bool, error) { return true, nil }
				e := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "e"}})
				g.Expect(l.IsAlive(t.Context(), e, "/", time.Now())).To(gomega.Equal(x.alive))
			})
		})
	}
}
