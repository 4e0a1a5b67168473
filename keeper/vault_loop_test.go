package keeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

// gatedMirror takes commits at once until it is gated, and then reports each
// copy and waits for its outcome.
type gatedMirror struct {
	asked   chan struct{}
	outcome chan error
}

func (*gatedMirror) exists() bool                                    { return true }
func (*gatedMirror) mark(context.Context, *messenger.SoloMark) error { return errNotYet }
func (m *gatedMirror) copy(context.Context, *messenger.CopyRequest) error {
	if m.asked == nil {
		return nil
	}
	m.asked <- struct{}{}
	return <-m.outcome
}

// pairedLoop returns the loop of a paired vault of zone a, with 100 tokens of
// workspace w.
func pairedLoop(t *testing.T, m mirrorLink) (*vaultLoop, *storer.Store) {
	t.Helper()
	g := gomega.NewWithT(t)
	store := newHolder(t).store
	l := newVaultLoop("a", store, m, zap.NewNop())
	g.Expect(l.begin(budgeter.Begin{Incarnation: 1})).To(gomega.Succeed())
	l.copier.CaughtUp(l.copier.State())
	mint := call{
		event: budgeter.Mint{Request: &messenger.TopUpRequest{TopUpId: "a/1", Workspace: "w", Tokens: 100}},
		done:  make(chan budgeter.Reply, 1),
	}
	g.Expect(l.commit(t.Context(), []call{mint})).To(gomega.Succeed())
	g.Expect((<-mint.done).Err).NotTo(gomega.HaveOccurred())
	return l, store
}

func askCall() call {
	return call{
		event: budgeter.Ask{Request: &messenger.AskRequest{Workspace: "w", Zone: "b", WantTokens: 60}},
		done:  make(chan budgeter.Reply, 1),
	}
}

// Symptom: two zones spend the same rights. Sequence: zone b asks zone a for
// rights, and a's round of resends reads the pending transfers in the same
// batch; the transfer leaves; a crashes before its sync, and comes back with
// the rights that b spends. Cause: reads that see steps without a sync.
func TestReadsSeeOnlySyncedTransfers(t *testing.T) {
	g := gomega.NewWithT(t)
	l, store := pairedLoop(t, &gatedMirror{})
	ask := askCall()
	read := call{done: make(chan budgeter.Reply, 1), read: func(v *budgeter.Vault) {
		for _, p := range v.Pending() {
			row, err := store.Get(budgeter.BucketTransfers, p.TransferId)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(row).NotTo(gomega.BeNil(), "transfer %s is not synced", p.TransferId)
		}
	}}
	g.Expect(l.commit(t.Context(), []call{ask, read})).To(gomega.Succeed())
	<-read.done
	g.Expect((<-ask.done).Err).NotTo(gomega.HaveOccurred())
	g.Expect(l.vault.Pending()).To(gomega.HaveLen(1))
}

// Symptom: two zones spend the same rights. Sequence: a transfer of zone a is
// synced there and on its way to the mirror; a round of resends finds the mode
// still paired; the mirror does not take it; a loses its disk and is restored
// with the rights. Cause: a mode that was read before the outcome of the copy.
func TestCopiedWaitsForTheMirror(t *testing.T) {
	for _, x := range []struct {
		outcome error
		copied  bool
	}{{nil, true}, {errBroken, false}} {
		g := gomega.NewWithT(t)
		m := &gatedMirror{}
		l, _ := pairedLoop(t, m)
		m.asked, m.outcome = make(chan struct{}), make(chan error)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = l.run(ctx) }()
		ask := askCall()
		l.calls <- ask
		<-m.asked
		g.Expect(l.currentMode()).To(gomega.Equal(budgeter.ModePaired))
		copied := make(chan bool)
		go func() { copied <- l.copied(ctx) }()
		select {
		case <-copied:
			t.Fatal("answered before the mirror did")
		case m.outcome <- x.outcome:
		}
		g.Expect(<-copied).To(gomega.Equal(x.copied))
		cancel()
		<-l.ended
	}
}

// Symptom: a keeper reads memory that its loop is writing. Sequence: a caller
// goes while its read waits in the loop's queue; the call returns and looks at
// what the read writes; the loop runs the read at the same time. Cause: results
// that leave a read by captured variables. Only the race detector sees it.
func TestAbandonedReadsShareNoMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := newLogLoop("a", nil, &faultyStore{rows: map[string]map[string][]byte{}}, rand.New(rand.NewPCG(1, 1)), zap.NewNop(), func(*messenger.LogMessage) {})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = l.Run(t.Context()) }()
	s := &configurationServer{loop: l}
	for range 100 {
		busy, gate := make(chan struct{}), make(chan struct{})
		go func() {
			_ = l.Look(t.Context(), func() {
				close(busy)
				<-gate
			})
		}()
		<-busy
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for l.Waiting() == 0 {
				runtime.Gosched()
			}
			cancel()
			close(gate)
		}()
		sub := subscriber{version: 1}
		_, _, _ = s.update(ctx, &sub)
		cancel()
	}
}

// What a read that was given up returns later must not be seen.
func TestReadThatWasGivenUpReturnsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	l, _ := pairedLoop(t, &gatedMirror{})
	go func() { _ = l.run(t.Context()) }()
	ctx, giveUp := context.WithCancel(t.Context())
	returned := make(chan struct{})
	defer close(returned)
	got, err := readVault(ctx, l, func(*budgeter.Vault) int {
		giveUp()
		<-returned
		return 1
	})
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	g.Expect(got).To(gomega.BeZero())
}

// Symptom: a busy keeper spends its processor on calls to its mirror.
// Sequence: an event right after a commit, then others and a read; the time
// of a commit passes; an event long after. Cause: a commit for each event. A
// wait that held reads up, or an event of an idle keeper, would be as wrong.
func TestCommitsOfABusyKeeperAreGathered(t *testing.T) {
	g := gomega.NewWithT(t)
	l, _ := pairedLoop(t, &gatedMirror{})
	var clock atomic.Int64
	due, asked := make(chan time.Time), make(chan time.Duration, 1)
	l.now = func() time.Time { return time.Unix(0, clock.Load()) }
	l.after = func(d time.Duration) <-chan time.Time {
		asked <- d
		return due
	}
	for i := range pacedRouters {
		r := &messenger.RegisterRequest{Router: fmt.Sprint("r", i), Incarnation: 1}
		g.Expect(l.commit(t.Context(), []call{{event: budgeter.Register{Request: r}, done: make(chan budgeter.Reply, 1)}})).To(gomega.Succeed())
	}
	l.last = l.now()
	number := l.copier.State().Number
	clock.Add(int64(3 * time.Millisecond))
	go func() { _ = l.run(t.Context()) }()
	var calls []call
	for i := range 5 {
		c := call{done: make(chan budgeter.Reply, 1), event: budgeter.Mint{Request: &messenger.TopUpRequest{
			TopUpId: fmt.Sprint("a/", i+2), Workspace: "w", Tokens: 10,
		}}}
		calls = append(calls, c)
		l.calls <- c
		if i == 0 {
			g.Expect(<-asked).To(gomega.Equal(commitEvery - 3*time.Millisecond))
		}
	}
	unspent, err := readVault(t.Context(), l, func(v *budgeter.Vault) int64 { return v.Unspent("w") })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(unspent).To(gomega.Equal(int64(100)))
	for _, c := range calls {
		g.Expect(c.done).To(gomega.BeEmpty())
	}
	due <- time.Time{}
	for _, c := range calls {
		g.Expect((<-c.done).Err).NotTo(gomega.HaveOccurred())
	}
	state := func(*budgeter.Vault) uint64 { return l.copier.State().Number }
	got, err := readVault(t.Context(), l, state)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(number + 1))
	clock.Add(int64(commitEvery))
	l.calls <- calls[0]
	g.Expect((<-calls[0].done).Err).NotTo(gomega.HaveOccurred())
	g.Expect(asked).To(gomega.BeEmpty())
}

// TestPaceFollowsTheZone guards small zones: with two routers no commit waits.
func TestPaceFollowsTheZone(t *testing.T) {
	g := gomega.NewWithT(t)
	for routers, want := range map[int]time.Duration{0: 0, 2: 0, 10: commitEvery / 2, 18: commitEvery, 40: commitEvery} {
		g.Expect(paceOf(routers)).To(gomega.Equal(want), fmt.Sprint(routers))
	}
}
