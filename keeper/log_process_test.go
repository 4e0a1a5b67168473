package keeper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

var keepers = []string{"osu-hall-keeper", "tema-hall-keeper", "legon-hall-keeper"}

const callTimeout = 9 * time.Second

// operator calls individual keepers, as operators on different VMs do.
type operator struct {
	t       *testing.T
	f       *launcher.Fleet
	clients map[string]messenger.ConfigurationKeeperClient
	// base is the last version named in a reply.
	base uint64
}

func newOperator(t *testing.T, f *launcher.Fleet) *operator {
	o := &operator{t: t, f: f, clients: map[string]messenger.ConfigurationKeeperClient{}}
	d := messenger.NewDialer("test", messenger.RoleMember, f.Settings().DeploymentKey())
	for _, p := range f.Settings().Processes(loader.KindKeeper) {
		c, err := d.Dial(p.RPC())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		o.clients[p.Name()] = messenger.NewConfigurationKeeperClient(c)
	}
	return o
}

func (o *operator) propose(keeper, id string, base uint64) (*messenger.ProposeReply, error) {
	return o.proposeWithin(callTimeout, keeper, id, base)
}

func (o *operator) proposeWithin(d time.Duration, keeper, id string, base uint64) (*messenger.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return o.clients[keeper].Propose(ctx, &messenger.ProposeRequest{Change: &messenger.Change{
		ChangeId: id, BaseVersion: base,
		Edits: []*messenger.Edit{{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: &messenger.Workspace{Name: id}}}},
	}})
}

// read returns the keeper's copy, or nil if it refuses.
func (o *operator) read(keeper string, confirmed bool) *messenger.ReadReply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := o.clients[keeper].Read(ctx, &messenger.ReadRequest{Confirmed: confirmed})
	if err != nil {
		return nil
	}
	return r
}

func (o *operator) version(keeper string) uint64 {
	return o.read(keeper, false).GetConfiguration().GetVersion()
}

// leader waits until one of the listed keepers leads and returns it.
func (o *operator) leader(among ...string) string {
	var found string
	o.f.Eventually("a leader", func() bool {
		for _, k := range among {
			if r := o.read(k, true); r != nil && r.LeaderName != "" {
				found = r.LeaderName
				return true
			}
		}
		return false
	})
	return found
}

// accept gets a change accepted through any of the keepers, rebasing and
// resending it under the same id until then, and returns the version.
func (o *operator) accept(id string, r *rand.Rand) uint64 {
	var version uint64
	base := o.base
	o.f.Eventually("change "+id+" is accepted", func() bool {
		k := keepers[r.IntN(len(keepers))]
		if r.IntN(5) == 0 {
			// The short timeout simulates a reply that is lost on the way.
			_, _ = o.proposeWithin(time.Duration(r.IntN(4))*time.Millisecond, k, id, base)
		}
		out, err := o.propose(k, id, base)
		switch {
		case err != nil:
			return false
		case out.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED:
			version = out.Version
			return true
		case out.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT:
			base = out.Version
		}
		return false
	})
	o.base = max(o.base, version)
	return version
}

// history returns the ids of all changes accepted at one keeper.
func (o *operator) history(keeper string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := o.clients[keeper].History(ctx, &messenger.HistoryRequest{})
	if err != nil {
		o.t.Fatal(err)
	}
	var ids []string
	for i, e := range r.Entries {
		if e.Version != uint64(i)+1 {
			o.t.Fatalf("%s: entry %d has version %d", keeper, i, e.Version)
		}
		ids = append(ids, e.Change.ChangeId)
	}
	return ids
}

// expectAcked checks that every acknowledged change is present exactly once,
// at its version.
func (o *operator) expectAcked(acked map[string]uint64, keepers ...string) {
	o.t.Helper()
	for _, k := range keepers {
		h := o.history(k)
		seen := map[string]bool{}
		for _, id := range h {
			if seen[id] {
				o.t.Fatalf("%s: change %s is there twice", k, id)
			}
			seen[id] = true
		}
		for id, v := range acked {
			if uint64(len(h)) < v || h[v-1] != id {
				o.t.Fatalf("%s: change %s, acknowledged as version %d, is not there", k, id, v)
			}
		}
	}
}

// After kills and restarts of keepers, no acknowledged change may be missing,
// duplicated or out of order. A change acknowledged before a majority has it
// on disk would break this. 500 changes go through random keepers, some
// replies are lost and those changes resent, one keeper at a time is killed
// and restarted at seeded moments, and finally all are.
func TestChangesSurviveKills(t *testing.T) {
	t.Parallel()
	f := launcher.Start(t, launcher.Options{Net: 60})
	o := newOperator(t, f)
	o.leader(keepers...)
	r := rand.New(rand.NewPCG(20261202, 6))
	acked := map[string]uint64{}
	down := ""
	kills := 0
	for i := range 500 {
		if i%20 == 19 {
			if down != "" {
				f.Restart(down)
				down = ""
			} else {
				down = keepers[r.IntN(len(keepers))]
				f.Kill(down)
				kills++
			}
		}
		id := fmt.Sprint("change-", i)
		acked[id] = o.accept(id, r)
	}
	for _, k := range keepers {
		if k != down {
			f.Kill(k)
		}
	}
	for _, k := range keepers {
		f.Restart(k)
	}
	for _, k := range keepers {
		f.Eventually(k+" confirms all changes", func() bool { return o.read(k, true).GetConfiguration().GetVersion() == 500 })
	}
	o.expectAcked(acked, keepers...)
	for i := range 10 {
		id := fmt.Sprint("change-", i*50)
		if v := o.accept(id, r); v != acked[id] {
			t.Fatalf("resend of %s: version %d, first answer was %d", id, v, acked[id])
		}
	}
	t.Logf("500 changes, %d kills", kills)
}

// Two operators must not both be told that their change is the next version.
// A leader that continues without a majority would do that. The leader's zone
// is cut off by dropping packets, one operator calls the old leader, others
// propose concurrently at the remaining keepers with the same base versions,
// and the partition heals.
func TestIsolatedLeaderAcceptsNothing(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := launcher.Start(t, launcher.Options{Net: 61})
	o := newOperator(t, f)
	old := o.leader(keepers...)
	r := rand.New(rand.NewPCG(1, 1))
	base := o.accept("before", r)
	zone, rest := zoneOf(f, old), without(keepers, old)
	for _, k := range rest {
		f.Cut(zone, zoneOf(f, k))
	}
	cutAt := time.Now()
	var wg sync.WaitGroup
	replies := make([]*messenger.ProposeReply, 9)
	for i := range replies {
		wg.Go(func() { replies[i], _ = o.propose(append(rest, old)[i%3], fmt.Sprint("racer-", i), base) })
	}
	wg.Wait()
	won := 0
	for i, p := range replies {
		if p.GetOutcome() == messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED {
			won++
			g.Expect(i%3).NotTo(gomega.Equal(2), "the cut-off leader accepted a change")
			g.Expect(p.Version).To(gomega.Equal(base + 1))
		}
	}
	g.Expect(won).To(gomega.Equal(1), "replies: %v", replies)
	g.Expect(o.read(old, true)).To(gomega.BeNil(), "the cut-off keeper confirmed a read")
	stale := o.read(old, false)
	g.Expect(stale.Configuration.Version).To(gomega.Equal(base))
	g.Expect(stale.AgeMs).To(gomega.BeNumerically(">", 1000))
	g.Expect(stale.AgeMs).To(gomega.BeNumerically("<=", time.Since(cutAt).Milliseconds()+500))
	for _, k := range rest {
		f.Heal(zone, zoneOf(f, k))
	}
	f.Eventually("the old leader catches up", func() bool { return o.version(old) == base+1 })
	for i, p := range replies {
		// A resent change gets its first reply, also from another leader.
		again, err := o.propose(old, fmt.Sprint("racer-", i), base)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if p.GetOutcome() == messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED {
			g.Expect(again.Outcome).To(gomega.Equal(p.Outcome))
			g.Expect(again.Version).To(gomega.Equal(p.Version))
			continue
		}
		g.Expect(again.Outcome).To(gomega.Equal(messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT))
		g.Expect(again.Since).To(gomega.HaveLen(1))
	}
}

// A leader that was frozen must not continue as leader when it resumes. The
// other keepers accept a change in the meantime, and afterwards the old
// leader gets a change with the old base version.
func TestFrozenLeader(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := launcher.Start(t, launcher.Options{Net: 62})
	o := newOperator(t, f)
	old := o.leader(keepers...)
	r := rand.New(rand.NewPCG(1, 2))
	base := o.accept("before", r)
	f.Freeze(old)
	rest := without(keepers, old)
	var won *messenger.ProposeReply
	f.Eventually("the rest accepts", func() bool {
		var err error
		won, err = o.propose(rest[0], "during", base)
		return err == nil && won.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED
	})
	f.Thaw(old)
	after, err := o.propose(old, "after", base)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after.Outcome).To(gomega.Equal(messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT))
	g.Expect(after.Version).To(gomega.Equal(base + 1))
	g.Expect(after.Since).To(gomega.HaveLen(1))
	g.Expect(after.Since[0].ChangeId).To(gomega.Equal("during"))
}

// A change that was accepted before a first disk loss must survive a second
// one. It would be lost if a repair counted before its copy is complete, or
// if an empty disk voted under its old name. One keeper's disk is emptied
// and, as soon as it counts as repaired, another's.
func TestSecondLossAfterRepair(t *testing.T) {
	t.Parallel()
	f := launcher.Start(t, launcher.Options{Net: 63})
	o := newOperator(t, f)
	first := o.leader(keepers...)
	r := rand.New(rand.NewPCG(1, 3))
	acked := map[string]uint64{}
	for i := range 20 {
		id := fmt.Sprint("change-", i)
		acked[id] = o.accept(id, r)
	}
	for round, k := range []string{first, without(keepers, first)[0], without(keepers, first)[1]} {
		before := o.voterIncarnation(first, k)
		f.Kill(k)
		f.Wipe(k)
		f.Restart(k)
		f.Eventually(k+" counts as repaired", func() bool { now := o.voterIncarnation(k, k); return now != 0 && now != before })
		id := fmt.Sprint("after-", round)
		acked[id] = o.accept(id, r)
	}
	for _, k := range keepers {
		f.Eventually(k+" has all", func() bool { return o.version(k) == 23 })
	}
	o.expectAcked(acked, keepers...)
}

// voterIncarnation returns the incarnation that votes for a keeper according
// to another keeper's confirmed copy, or 0 if none does.
func (o *operator) voterIncarnation(at, of string) uint64 {
	for _, m := range o.read(at, true).GetKeepers() {
		if m.Name == of {
			return m.Incarnation
		}
	}
	return 0
}

func zoneOf(f *launcher.Fleet, keeper string) string {
	for _, p := range f.Settings().Processes(loader.KindKeeper) {
		if p.Name() == keeper {
			return p.Zone()
		}
	}
	return ""
}

func without(list []string, name string) []string {
	var out []string
	for _, k := range list {
		if k != name {
			out = append(out, k)
		}
	}
	return out
}
