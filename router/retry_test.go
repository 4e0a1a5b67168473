package router

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// TestRetryPauseGrows guards against a constant pause between calls to a keeper
// that refuses connections, so that each call fails at once. Every
// non-repeatable request leaves the end of its claim to be sent again for
// settleTimeout: at 100 such requests a second, 3000 at once would make 60000
// calls a second and use up the router's CPU.
func TestRetryPauseGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), settleTimeout)
		defer cancel()
		calls := 0
		_, err := callWithRetries(ctx, func(context.Context) (int, error) {
			calls++
			return 0, status.Error(codes.Unavailable, "down")
		})
		g.Expect(status.Code(err)).To(gomega.Equal(codes.Unavailable))
		g.Expect(calls).To(gomega.BeNumerically("<", 100))
		g.Expect(calls).To(gomega.BeNumerically(">", 20))
	})
}

// TestFirstRetryIsQuick guards against a first pause as long as the later ones:
// a request would wait although a restarted keeper is back.
func TestFirstRetryIsQuick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), 4*minRetryPause)
		defer cancel()
		calls := 0
		n, err := callWithRetries(ctx, func(context.Context) (int, error) {
			if calls++; calls < 3 {
				return 0, status.Error(codes.Unavailable, "down")
			}
			return calls, nil
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(3))
	})
}
