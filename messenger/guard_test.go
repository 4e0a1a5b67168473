package messenger

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

var (
	operatorKey = []byte("operators' key of a test")
	memberKey   = []byte("members' key of a test")
	noon        = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
)

func clock(t time.Time) func() time.Time { return func() time.Time { return t } }

// proved returns the incoming context of a call that carries a proof.
func proved(t *testing.T, p proof, method string) context.Context {
	t.Helper()
	ctx := credentials.NewContextWithRequestInfo(t.Context(), credentials.RequestInfo{Method: method})
	md, err := p.GetRequestMetadata(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return metadata.NewIncomingContext(t.Context(), metadata.New(md))
}

func TestGuardAdmits(t *testing.T) {
	keys := Keys{RoleMember: memberKey, RoleOperator: operatorKey}
	operator := proof{role: RoleOperator, node: "operator", key: operatorKey, now: clock(noon)}
	member := proof{role: RoleMember, node: "osu-hall-1", key: memberKey, now: clock(noon)}
	for _, c := range []struct {
		name           string
		proof          proof
		signed, called string
		at             time.Time
		want           codes.Code
	}{
		{"operator's top-up", operator, BudgetKeeper_TopUp_FullMethodName, BudgetKeeper_TopUp_FullMethodName, noon, codes.OK},
		{"member's lease", member, BudgetKeeper_Lease_FullMethodName, BudgetKeeper_Lease_FullMethodName, noon, codes.OK},
		{"operator's lease", operator, BudgetKeeper_Lease_FullMethodName, BudgetKeeper_Lease_FullMethodName, noon, codes.PermissionDenied},
		{"proof of another method", operator, BudgetKeeper_Books_FullMethodName, BudgetKeeper_TopUp_FullMethodName, noon, codes.Unauthenticated},
		{"operator's key in a member's role", proof{role: RoleMember, node: "x", key: operatorKey, now: clock(noon)}, BudgetKeeper_Lease_FullMethodName, BudgetKeeper_Lease_FullMethodName, noon, codes.Unauthenticated},
		{"unknown role with the empty key", proof{role: "guest", node: "x", now: clock(noon)}, BudgetKeeper_Lease_FullMethodName, BudgetKeeper_Lease_FullMethodName, noon, codes.Unauthenticated},
		{"old", member, BudgetKeeper_Lease_FullMethodName, BudgetKeeper_Lease_FullMethodName, noon.Add(proofMaxAge + time.Second), codes.Unauthenticated},
		{"from a clock far ahead", member, BudgetKeeper_Lease_FullMethodName, BudgetKeeper_Lease_FullMethodName, noon.Add(-proofMaxAge - time.Second), codes.Unauthenticated},
		{"clocks that differ a little", member, BudgetKeeper_Lease_FullMethodName, BudgetKeeper_Lease_FullMethodName, noon.Add(-proofMaxAge + time.Second), codes.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			err := newGuard(keys, clock(c.at)).check(proved(t, c.proof, c.signed), c.called)
			g.Expect(status.Code(err)).To(gomega.Equal(c.want), "%v", err)
		})
	}
}

func TestGuardWantsAProof(t *testing.T) {
	g := gomega.NewWithT(t)
	err := newGuard(Keys{RoleMember: memberKey}, clock(noon)).check(t.Context(), BudgetKeeper_Lease_FullMethodName)
	g.Expect(status.Code(err)).To(gomega.Equal(codes.Unauthenticated))
}

func TestGuardComparesTheNode(t *testing.T) {
	g := gomega.NewWithT(t)
	p := proof{role: RoleMember, node: "osu-hall-1", key: memberKey, now: clock(noon)}
	ctx := proved(t, p, BudgetKeeper_Lease_FullMethodName)
	md, _ := metadata.FromIncomingContext(ctx)
	md.Set(nodeHeader, "osu-hall-2")
	ctx = metadata.NewIncomingContext(t.Context(), md)
	err := newGuard(Keys{RoleMember: memberKey}, clock(noon)).check(ctx, BudgetKeeper_Lease_FullMethodName)
	g.Expect(status.Code(err)).To(gomega.Equal(codes.Unauthenticated))
}

// Guards against a replayed proof of an operator, which does not cover the body of the call: it is sent
// again to the same method with another body, at once or just before it expires.
func TestOperatorsProofCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := noon
	guard := newGuard(Keys{RoleOperator: operatorKey}, func() time.Time { return now })
	ahead := proof{role: RoleOperator, node: "operator", key: operatorKey, now: clock(noon.Add(proofMaxAge))}
	ctx := proved(t, ahead, BudgetKeeper_TopUp_FullMethodName)
	g.Expect(guard.check(ctx, BudgetKeeper_TopUp_FullMethodName)).To(gomega.Succeed())
	for range 4 {
		g.Expect(status.Code(guard.check(ctx, BudgetKeeper_TopUp_FullMethodName))).To(gomega.Equal(codes.Unauthenticated))
		now = now.Add(proofMaxAge - time.Second)
		other := proof{role: RoleOperator, node: "operator", key: operatorKey, now: clock(now)}
		g.Expect(guard.check(proved(t, other, BudgetKeeper_TopUp_FullMethodName), BudgetKeeper_TopUp_FullMethodName)).To(gomega.Succeed())
	}
}
