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
	v.Step(time.Time{}, budgeter.StartIncarnation{Incarnation: 1})
	return v
}

// ask handles an event and returns its reply.
func ask(v *budgeter.Vault, e budgeter.Event) budgeter.Reply {
	for _, a := range v.Step(time.Time{}, e) {
		if r, ok := a.(budgeter.Reply); ok {
			return r
		}
	}
	return budgeter.Reply{}
}

// Guards against an operator who pays twice: the answer to a top-up is lost,
// and the operator resends it with the same ID. The fault occurs if the vault
// does not store the IDs of top-ups.
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

// Guards against a request that is billed twice: the answer to a charge is lost
// and the router resends the charge. The fault occurs if charges are not keyed
// by request.
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

// Guards against a caller that is told that the budget is exhausted while
// rights are in flight between two other zones. Zone A transfers rights to zone
// C, and before they arrive zone B asks both. The fault occurs if no zone
// reports the rights in flight.
func TestRightsInFlightAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVault("a")
	ask(v, budgeter.Mint{Request: &messenger.TopUpRequest{Workspace: "w", TopUpId: "a/1", Tokens: 100}})
	held := func(zone string, want int64) int64 {
		r := ask(v, budgeter.RequestTransfer{Request: &messenger.AskRequest{Workspace: "w", Zone: zone, WantTokens: want}})
		return r.Message.(*messenger.AskReply).HeldTokens
	}
	g.Expect(held("c", 100)).To(gomega.BeZero(), "the asker has its own transfer in hand")
	g.Expect(held("b", 10)).To(gomega.Equal(int64(100)))
	l := ask(v, budgeter.Lease{Request: &messenger.LeaseRequest{Workspace: "w", Router: "r", Incarnation: 1, Sequence: 1, WantTokens: 10}})
	g.Expect(l.Message.(*messenger.LeaseReply).HeldTokens).To(gomega.Equal(int64(100)))
	v.Step(time.Time{}, budgeter.ConfirmTransfers{TransferIDs: []string{v.PendingTransfers()[0].TransferId}})
	g.Expect(held("b", 10)).To(gomega.BeZero())
}
