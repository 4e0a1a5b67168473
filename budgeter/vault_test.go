package budgeter_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// noRows is an empty store.
type noRows struct{}

func (noRows) Get(string, string) ([]byte, error) { return nil, nil }

func newVault(zone string) *budgeter.Vault {
	v := budgeter.NewVault(zone, noRows{})
	v.Step(time.Time{}, budgeter.Begin{Incarnation: 1})
	return v
}

// ask steps an event and returns its reply.
func ask(v *budgeter.Vault, e budgeter.Event) budgeter.Reply {
	for _, a := range v.Step(time.Time{}, e) {
		if r, ok := a.(budgeter.Reply); ok {
			return r
		}
	}
	return budgeter.Reply{}
}

// Symptom: an operator who lost the answer to a top-up pays twice.
// Sequence: top up, lose the answer, resend under the same identity.
// Cause: a mint that does not remember identities.
func TestResentTopUpCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVault("osu-hall")
	m := budgeter.Mint{Request: &messenger.TopUpRequest{Workspace: "w", TopUpId: "osu-hall/1", Tokens: 100}}
	g.Expect(ask(v, m).Message.(*messenger.TopUpReply).RepeatedRequest).To(gomega.BeFalse())
	g.Expect(ask(v, m).Message.(*messenger.TopUpReply).RepeatedRequest).To(gomega.BeTrue())
	g.Expect(v.Book("w").MintedTokens).To(gomega.Equal(int64(100)))
	other := budgeter.Mint{Request: &messenger.TopUpRequest{Workspace: "w", TopUpId: "osu-hall/1", Tokens: 7}}
	g.Expect(ask(v, other).Err).To(gomega.MatchError(budgeter.ErrTopUpReused))
}

// Symptom: a request is billed twice.
// Sequence: the router charges, the answer is lost, the router charges again.
// Cause: charges that are not keyed by the request.
func TestResentChargeIsBilledOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVault("osu-hall")
	ask(v, budgeter.Mint{Request: &messenger.TopUpRequest{Workspace: "w", TopUpId: "osu-hall/1", Tokens: 100}})
	ask(v, budgeter.Lease{Request: &messenger.LeaseRequest{Workspace: "w", Router: "r", Incarnation: 1, Sequence: 1, WantTokens: 50}})
	c := budgeter.Bill{Request: &messenger.ChargeRequest{Router: "r", Incarnation: 1, Charges: []*messenger.Charge{{Workspace: "w", RequestId: "a", Tokens: 30}}}}
	ask(v, c)
	ask(v, c)
	b := v.Book("w")
	g.Expect([]int64{b.UnspentTokens, b.LeasedTokens, b.ChargedTokens}).To(gomega.Equal([]int64{50, 20, 30}))
}

// Symptom: a caller is told that the budget is spent while rights are on
// their way between two other zones. Sequence: zone A gives to zone C; before
// C has them, zone B asks both. Cause: rights in transfer that no zone names.
func TestRightsUnderWayAreNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVault("a")
	ask(v, budgeter.Mint{Request: &messenger.TopUpRequest{Workspace: "w", TopUpId: "a/1", Tokens: 100}})
	held := func(zone string, want int64) int64 {
		r := ask(v, budgeter.Ask{Request: &messenger.AskRequest{Workspace: "w", Zone: zone, WantTokens: want}})
		return r.Message.(*messenger.AskReply).HeldTokens
	}
	g.Expect(held("c", 100)).To(gomega.BeZero(), "the asker has its own transfer in hand")
	g.Expect(held("b", 10)).To(gomega.Equal(int64(100)))
	l := ask(v, budgeter.Lease{Request: &messenger.LeaseRequest{Workspace: "w", Router: "r", Incarnation: 1, Sequence: 1, WantTokens: 10}})
	g.Expect(l.Message.(*messenger.LeaseReply).HeldTokens).To(gomega.Equal(int64(100)))
	v.Step(time.Time{}, budgeter.Confirm{TransferIDs: []string{v.Pending()[0].TransferId}})
	g.Expect(held("b", 10)).To(gomega.BeZero())
}
