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
