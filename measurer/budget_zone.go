package measurer

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/placer"
)

// rowMap is a disk: bucket and key to the synced row.
type rowMap map[[2]string][]byte

// Get implements budgeter.Rows.
func (m rowMap) Get(bucket, key string) ([]byte, error) { return m[[2]string{bucket, key}], nil }

// heard is what a zone last heard of another's rights and demand.
type heard struct {
	at     time.Time
	shares [budgetWorkspaces]rattanhoist.Tokens
	demand [budgetWorkspaces]float64
}

// sample is a router's demand as its last lease told it.
type sample struct {
	at   time.Time
	rate float64
}

// keeperFake is the shell of one zone's vault, without sockets and disks.
type keeperFake struct {
	fleet  *escrow
	number int
	vault  *budgeter.Vault
	// Disk is what is synced here; mirrored is the copy at the next zone,
	// taken with every commit.
	disk, mirrored rowMap
	commits        uint64
	down           bool
	routers        [routersPerZone]*routerFake
	heard          [budgetZones]heard
	demand         [budgetWorkspaces][routersPerZone]sample
	meters         [budgetWorkspaces]placer.DemandAverage
}

var budgetZoneNames, budgetWorkspaceNames = names("zone", budgetZones), names("workspace", budgetWorkspaces)

func names(kind string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", kind, i)
	}
	return out
}

func budgetZoneName(i int) string { return budgetZoneNames[i] }

func workspaceName(i int) string { return budgetWorkspaceNames[i] }

func newKeeperFake(f *escrow, number int) *keeperFake {
	k := &keeperFake{fleet: f, number: number, disk: rowMap{}, mirrored: rowMap{}}
	k.vault = budgeter.NewVault(budgetZoneName(number), k.disk)
	k.step(budgeter.StartIncarnation{Incarnation: 1})
	return k
}

// step has the vault handle an event; its rows are on both disks at once.
func (k *keeperFake) step(e budgeter.Event) (proto.Message, error) {
	var m proto.Message
	var err error
	for _, a := range k.vault.Step(k.fleet.clock.now, e) {
		switch a := a.(type) {
		case budgeter.Write:
			k.disk.write(a)
			k.mirrored.write(a)
		case budgeter.Reply:
			m, err = a.Message, a.Err
		}
	}
	k.commits++
	k.vault.Synced()
	return m, err
}

func (m rowMap) write(w budgeter.Write) {
	key := [2]string{w.Bucket, w.Key}
	if w.Value == nil {
		delete(m, key)
		return
	}
	m[key] = w.Value
}

func (k *keeperFake) unspent(workspace string) rattanhoist.Tokens {
	return rattanhoist.Tokens(k.vault.Unspent(workspace))
}

// lease answers a router: from the zone's rights, else from siblings, else
// from other zones. It returns after how long the answer leaves.
func (k *keeperFake) lease(r *messenger.LeaseRequest, router int) (*messenger.LeaseReply, time.Duration, error) {
	w := k.fleet.index[r.Workspace]
	k.demand[w][router] = sample{at: k.fleet.clock.now, rate: float64(r.DemandTokensPerSecond)}
	want := rattanhoist.Tokens(r.WantTokens)
	var took time.Duration
	var silent []string
	var elsewhere, held rattanhoist.Tokens
	if k.unspent(r.Workspace) < want {
		took += k.recall(r.Workspace, want, router)
	}
	if k.unspent(r.Workspace) < want {
		var more time.Duration
		silent, elsewhere, held, more = k.gather(r.Workspace, want)
		took += more
	}
	m, err := k.step(budgeter.Lease{Request: r})
	if err != nil {
		return nil, took, err
	}
	out := m.(*messenger.LeaseReply)
	out.UnreachableZones, out.ElsewhereTokens = silent, int64(elsewhere)
	out.HeldTokens += int64(held)
	return out, took, nil
}

// recall has the other routers of the zone return unreserved rights.
func (k *keeperFake) recall(workspace string, want rattanhoist.Tokens, except int) time.Duration {
	for i, r := range k.routers {
		if i == except || !r.alive {
			continue
		}
		if need := want - k.unspent(workspace); need > 0 {
			r.recalled(workspace, need)
		}
	}
	return 4 * hopWithin
}

// gather asks the other zones for what is missing, all at once.
func (k *keeperFake) gather(workspace string, want rattanhoist.Tokens) (silent []string, elsewhere, held rattanhoist.Tokens, took time.Duration) {
	took = 2*hopBetween + 4*hopWithin
	for z, other := range k.fleet.zones {
		need := want - k.unspent(workspace)
		if z == k.number {
			continue
		}
		if !k.fleet.connected(k.number, z) || other.down {
			silent = append(silent, budgetZoneName(z))
			took = askTimeout
			continue
		}
		if need > 0 {
			held += other.giveTo(k, workspace, need)
		}
		elsewhere += other.unspent(workspace)
	}
	return silent, elsewhere, held, took
}

// giveTo moves rights to another zone, recalling from routers where the
// zone's own are too few. It returns what the zone can't give now.
func (k *keeperFake) giveTo(to *keeperFake, workspace string, n rattanhoist.Tokens) rattanhoist.Tokens {
	if k.unspent(workspace) < n {
		k.recall(workspace, n, -1)
	}
	m, err := k.step(budgeter.RequestTransfer{Request: &messenger.AskRequest{
		Workspace: workspace, Zone: budgetZoneName(to.number), WantTokens: int64(n), VaultIncarnation: to.vault.Incarnation(),
	}})
	if err != nil {
		return 0
	}
	out := m.(*messenger.AskReply)
	k.deliver(to, out.Transfer)
	return rattanhoist.Tokens(out.HeldTokens)
}

// deliver hands a transfer over and confirms it, or leaves it pending.
func (k *keeperFake) deliver(to *keeperFake, t *messenger.Transfer) {
	if t == nil || !k.fleet.connected(k.number, to.number) || to.down {
		return
	}
	m, err := to.step(budgeter.ReceiveTransfers{Request: &messenger.GiveRequest{Transfers: []*messenger.Transfer{t}}})
	if err == nil {
		k.step(budgeter.ConfirmTransfers{TransferIDs: m.(*messenger.GiveReply).AcceptedIds})
	}
}

// resend delivers what is pending.
func (k *keeperFake) resend() {
	for _, t := range k.vault.PendingTransfers() {
		for z, other := range k.fleet.zones {
			if budgetZoneName(z) == t.ToZone {
				k.deliver(other, t)
			}
		}
	}
}
