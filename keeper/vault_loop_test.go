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

// gatedMirror accepts commits at once until it is gated. From then on it
// reports each copy and waits for the outcome to return.
type gatedMirror struct {
	asked   chan struct{}
	outcome chan error
}

func (*gatedMirror) exists() bool                                    { return true }
func (*gatedMirror) mark(context.Context, *messenger.SoloMark) error { return errNotDurable }
func (m *gatedMirror) copy(context.Context, *messenger.CopyRequest) error {
	if m.asked == nil {
		return nil
	}
	m.asked <- struct{}{}
	return <-m.outcome
}

// pairedLoop returns the loop of a paired vault of zone a, with 100 tokens in
// workspace w.
func pairedLoop(t *testing.T, m mirrorLink) (*vaultLoop, *storer.Store) {
	t.Helper()
	g := gomega.NewWithT(t)
	store := newHolder(t).store
	l := newVaultLoop("a", store, m, zap.NewNop())
	g.Expect(l.begin(budgeter.StartIncarnation{Incarnation: 1})).To(gomega.Succeed())
	l.copier.MirrorCaughtUp(l.copier.State())
	mint := vaultCall{
		event: budgeter.Mint{Request: &messenger.TopUpRequest{TopUpId: "a/1", Workspace: "w", Tokens: 100}},
		done:  make(chan budgeter.Reply, 1),
	}
	g.Expect(l.commit(t.Context(), []vaultCall{mint})).To(gomega.Succeed())
	g.Expect((<-mint.done).Err).NotTo(gomega.HaveOccurred())
	return l, store
}

func askCall() vaultCall {
	return vaultCall{
		event: budgeter.RequestTransfer{Request: &messenger.AskRequest{Workspace: "w", Zone: "b", WantTokens: 60}},
		done:  make(chan budgeter.Reply, 1),
	}
}

// Two zones must not spend the same rights because a read saw a step before
// its sync. Zone b requests rights from zone a, and a's resend round reads
// the pending transfers in the same batch. If the transfer left and a crashed
// before its sync, a would still have the rights that b spends.
func TestReadsSeeOnlySyncedTransfers(t *testing.T) {
	g := gomega.NewWithT(t)
	l, store := pairedLoop(t, &gatedMirror{})
	ask := askCall()
	read := vaultCall{done: make(chan budgeter.Reply, 1), read: func(v *budgeter.Vault) {
		for _, p := range v.PendingTransfers() {
			row, err := store.Get(budgeter.BucketTransfers, p.TransferId)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(row).NotTo(gomega.BeNil(), "transfer %s is not synced", p.TransferId)
		}
	}}
	g.Expect(l.commit(t.Context(), []vaultCall{ask, read})).To(gomega.Succeed())
	<-read.done
	g.Expect((<-ask.done).Err).NotTo(gomega.HaveOccurred())
	g.Expect(l.vault.PendingTransfers()).To(gomega.HaveLen(1))
}

// Two zones must not spend the same rights because the mode was read before
// the outcome of a copy. A transfer of zone a is synced there and on its way
// to the mirror while a resend round checks the mode, which is still paired.
// If the mirror then misses it and a loses its disk, a is restored with the
// rights.
func TestMirrorUpToDateWaitsForTheCopy(t *testing.T) {
	for _, x := range []struct {
		outcome error
		copied  bool
	}{{nil, true}, {errConnectionBroken, false}} {
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
		go func() { copied <- l.mirrorUpToDate(ctx) }()
		select {
		case <-copied:
			t.Fatal("answered before the mirror did")
		case m.outcome <- x.outcome:
		}
		g.Expect(<-copied).To(gomega.Equal(x.copied))
		cancel()
		<-l.stopped
	}
}

// A keeper must not access memory that its loop is writing. A caller gives up
// while its read is queued, and its function returns and accesses the read's
// result while the loop runs the read. This happens if results leave a read
// through captured variables; only the race detector finds it.
func TestAbandonedReadsShareNoMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := newLogLoop("a", nil, &faultyStore{rows: map[string]map[string][]byte{}}, rand.New(rand.NewPCG(1, 1)), zap.NewNop(), func(*messenger.LogMessage) {})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = l.Run(t.Context()) }()
	s := &configurationServer{loop: l}
	for range 100 {
		busy, gate := make(chan struct{}), make(chan struct{})
		go func() {
			_ = l.Inspect(t.Context(), func() {
				close(busy)
				<-gate
			})
		}()
		<-busy
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for l.QueueLength() == 0 {
				runtime.Gosched()
			}
			cancel()
			close(gate)
		}()
		sub := subscriberState{version: 1}
		_, _, _ = s.update(ctx, &sub)
		cancel()
	}
}

// The result that an abandoned read produces later must not become visible.
func TestAbandonedReadReturnsNothing(t *testing.T) {
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

// A busy keeper must not spend its processor time on one mirror call per
// event. An event right after a commit is followed by others and a read
// within the commit interval, and by an event long afterwards. Neither the
// read nor the event of an idle keeper may be delayed.
func TestBusyKeeperBatchesCommits(t *testing.T) {
	g := gomega.NewWithT(t)
	l, _ := pairedLoop(t, &gatedMirror{})
	var clock atomic.Int64
	due, asked := make(chan time.Time), make(chan time.Duration, 1)
	l.now = func() time.Time { return time.Unix(0, clock.Load()) }
	l.after = func(d time.Duration) <-chan time.Time {
		asked <- d
		return due
	}
	for i := range fullPacingRouters {
		r := &messenger.RegisterRequest{Router: fmt.Sprint("r", i), Incarnation: 1}
		g.Expect(l.commit(t.Context(), []vaultCall{{event: budgeter.Register{Request: r}, done: make(chan budgeter.Reply, 1)}})).To(gomega.Succeed())
	}
	l.lastCommit = l.now()
	number := l.copier.State().Number
	clock.Add(int64(3 * time.Millisecond))
	go func() { _ = l.run(t.Context()) }()
	var calls []vaultCall
	for i := range 5 {
		c := vaultCall{done: make(chan budgeter.Reply, 1), event: budgeter.Mint{Request: &messenger.TopUpRequest{
			TopUpId: fmt.Sprint("a/", i+2), Workspace: "w", Tokens: 10,
		}}}
		calls = append(calls, c)
		l.calls <- c
		if i == 0 {
			g.Expect(<-asked).To(gomega.Equal(maxCommitInterval - 3*time.Millisecond))
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
	clock.Add(int64(maxCommitInterval))
	l.calls <- calls[0]
	g.Expect((<-calls[0].done).Err).NotTo(gomega.HaveOccurred())
	g.Expect(asked).To(gomega.BeEmpty())
}

// Commits must not wait in small zones: with two routers the interval is
// zero.
func TestCommitIntervalGrowsWithRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	for routers, want := range map[int]time.Duration{0: 0, 2: 0, 10: maxCommitInterval / 2, 18: maxCommitInterval, 40: maxCommitInterval} {
		g.Expect(commitInterval(routers)).To(gomega.Equal(want), fmt.Sprint(routers))
	}
}
