package budgeter_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// stepOn handles an event, syncs its rows to the disk and returns its reply.
func stepOn(d *disk, v *budgeter.Vault, e budgeter.Event) (out budgeter.Reply) {
	var writes []budgeter.Write
	for _, a := range v.Step(time.Time{}, e) {
		switch a := a.(type) {
		case budgeter.Write:
			writes = append(writes, a)
		case budgeter.Reply:
			out = a
		}
	}
	apply(d.rows, budgeter.MergeWrites(writes))
	v.Synced()
	return out
}

// restart returns a vault restored from the rows on a keeper's disk.
func restart(g *gomega.WithT, d *disk) *budgeter.Vault {
	v := budgeter.NewVault("a", d)
	for n, value := range d.rows {
		g.Expect(v.Restore(n.bucket, n.key, value)).To(gomega.Succeed())
	}
	g.Expect(v.Check()).To(gomega.Succeed())
	return v
}

var (
	mintEvent  = budgeter.Mint{Request: &messenger.TopUpRequest{Workspace: "w", TopUpId: "a/1", Tokens: 100}}
	leaseEvent = budgeter.Lease{Request: &messenger.LeaseRequest{Workspace: "w", Router: "r", Incarnation: 5, Sequence: 1, WantTokens: 40}}
	askEvent   = budgeter.RequestTransfer{Request: &messenger.AskRequest{Workspace: "w", Zone: "b", WantTokens: 1}}
)

// funded returns a vault with a top-up and a lease, and its disk.
func funded() (*disk, *budgeter.Vault) {
	d := newDisk()
	v := budgeter.NewVault("a", d)
	stepOn(d, v, budgeter.StartIncarnation{Incarnation: 1})
	stepOn(d, v, mintEvent)
	stepOn(d, v, leaseEvent)
	return d, v
}

// Guards against rights that stay unusable until a router restarts. The answer
// to a lease request is lost, the keeper restarts and the router repeats its
// request. The fault occurs if the lease row does not store the last grant.
func TestRestartedVaultRepeatsTheLastGrant(t *testing.T) {
	g := gomega.NewWithT(t)
	d, _ := funded()
	v := restart(g, d)
	got := stepOn(d, v, leaseEvent).Message.(*messenger.LeaseReply)
	g.Expect([]int64{got.GrantedTokens, got.TotalGrantedTokens, v.Unspent("w")}).To(gomega.Equal([]int64{40, 40, 60}))
}

// Guards against lost rights because a transfer is mistaken for one that was
// received before. A transfer is followed by a crash or the loss of the disk,
// and by another transfer. The fault occurs if the transfer number is stored
// later than the transfer, or restarts with an empty disk.
func TestTransferIdentitiesAreUsedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	d, v := funded()
	seen := map[string]bool{}
	give := func() {
		id := stepOn(d, v, askEvent).Message.(*messenger.AskReply).GetTransfer().GetTransferId()
		g.Expect(id).NotTo(gomega.BeEmpty())
		g.Expect(seen[id]).To(gomega.BeFalse(), id)
		seen[id] = true
	}
	give()
	stepOn(d, v, budgeter.ConfirmTransfers{TransferIDs: []string{"a/1/1"}})
	v = restart(g, d)
	give()
	v = restart(g, d)
	stepOn(d, v, budgeter.StartIncarnation{Incarnation: 2, Copy: &messenger.CopyState{Incarnation: 1}})
	stepOn(d, v, budgeter.VerifyRestore{CopyComplete: true})
	give()
}

// Guards against a keeper that grants rights nobody has paid for. The row of a
// book on the disk is older than its leases. The fault occurs if the keeper
// starts without checking its rows.
func TestBooksThatDoNotBalanceAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	d, v := funded()
	old := d.rows[rowName{budgeter.BucketBooks, "w"}]
	stepOn(d, v, budgeter.Lease{Request: &messenger.LeaseRequest{Workspace: "w", Router: "r", Incarnation: 5, Sequence: 2, WantTokens: 10}})
	d.rows[rowName{budgeter.BucketBooks, "w"}] = old
	torn := budgeter.NewVault("a", d)
	for n, value := range d.rows {
		g.Expect(torn.Restore(n.bucket, n.key, value)).To(gomega.Succeed())
	}
	g.Expect(torn.Check()).To(gomega.MatchError(budgeter.ErrCorrupt))
}

// Guards against a restored zone that spends rights twice. In the copy, 60
// rights are unspent, of which the lost disk had leased 30 without its mirror.
// The fault occurs if the vault grants rights before its routers have reported
// what they hold.
func TestRestoredVaultWaitsForItsRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	d, v := funded()
	stepOn(d, v, budgeter.StartIncarnation{Incarnation: 2, Copy: &messenger.CopyState{Incarnation: 1, Number: 3}})
	more := budgeter.Lease{Request: &messenger.LeaseRequest{Workspace: "w", Router: "r", Incarnation: 5, Sequence: 3, WantTokens: 100}}
	g.Expect(stepOn(d, v, more).Err).To(gomega.MatchError(budgeter.ErrRepairing))
	holdings := &messenger.HoldingsReply{
		Router: "r", Incarnation: 5,
		Holdings: []*messenger.Holding{{Workspace: "w", Sequence: 2, GrantedTokens: 70}},
		Charges:  []*messenger.Charge{{Workspace: "w", RequestId: "kept", Tokens: 7}},
	}
	stepOn(d, v, budgeter.VerifyRestore{Routers: []string{"r", "gone"}, Holdings: []*messenger.HoldingsReply{holdings}})
	g.Expect(v.RestoreUnverified()).To(gomega.BeTrue())
	want := &messenger.Book{Workspace: "w", Zone: "a", MintedTokens: 100, LeasedTokens: 63, ChargedTokens: 7, FrozenTokens: 30}
	g.Expect(proto.Equal(v.Book("w"), want)).To(gomega.BeTrue(), v.Book("w").String())
	stepOn(d, v, budgeter.VerifyRestore{Routers: []string{"r"}, Holdings: []*messenger.HoldingsReply{holdings}})
	g.Expect([]any{v.RestoreUnverified(), v.Unspent("w")}).To(gomega.Equal([]any{false, int64(30)}))
}
