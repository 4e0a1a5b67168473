package router

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// TestResendsGrowRarer
// Symptom: a router spends its processor on a keeper that is down.
// Sequence: the keeper refuses connections, so that each call fails at once;
// every request that may not be repeated leaves the end of its claim to be
// resent for settleTimeout.
// Cause: the pause between resends stayed the same: at 100 such requests a
// second, 3000 at once would make 60000 calls a second.
func TestResendsGrowRarer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), settleTimeout)
		defer cancel()
		calls := 0
		_, err := resend(ctx, func(context.Context) (int, error) {
			calls++
			return 0, status.Error(codes.Unavailable, "down")
		})
		g.Expect(status.Code(err)).To(gomega.Equal(codes.Unavailable))
		g.Expect(calls).To(gomega.BeNumerically("<", 100))
		g.Expect(calls).To(gomega.BeNumerically(">", 20))
	})
}

// TestFirstResendComesSoon
// Symptom: a request waits although a keeper that restarted is back.
// Sequence: the first calls fail; the next one would be answered.
// Cause it guards against: a first pause as long as the later ones.
func TestFirstResendComesSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), 4*resendPause)
		defer cancel()
		calls := 0
		n, err := resend(ctx, func(context.Context) (int, error) {
			if calls++; calls < 3 {
				return 0, status.Error(codes.Unavailable, "down")
			}
			return calls, nil
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(3))
	})
}
