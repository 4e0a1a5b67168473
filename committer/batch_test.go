package committer_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

// slowDisk is a store that takes a few milliseconds to sync.
type slowDisk struct{}

func (slowDisk) Apply([]storer.Row) error {
	time.Sleep(5 * time.Millisecond)
	return nil
}

func (slowDisk) Each(string, func(string, []byte) error) error { return nil }

// Five keepers, 400 changes at once. Guards against a leader that spends its processor on a message to
// each keeper for each change, and then loses its lead because it answers nobody in time.
func TestManyChangesShareTheirMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	names := []string{"a", "b", "c", "d", "e"}
	var mu sync.Mutex
	loops := map[string]*committer.Loop{}
	var sent atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i, name := range names {
		others := slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == name })
		l, err := committer.New(committer.Options{
			Core: replicator.Options{
				Name: name, Peers: others, Voters: len(names), Timing: replicator.DefaultTiming(), Rand: rand.New(rand.NewPCG(uint64(i), 1)), Machine: &countingMachine{},
			},
			Store: slowDisk{}, OnCommit: func() {}, Log: zap.NewNop(),
			Send: func(m *messenger.LogMessage) {
				sent.Add(1)
				mu.Lock()
				to := loops[m.To.GetName()]
				mu.Unlock()
				if to != nil {
					_ = to.Receive(m)
				}
			},
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		mu.Lock()
		loops[name] = l
		mu.Unlock()
	}
	for _, l := range loops {
		go func() { _ = l.Run(ctx) }()
	}
	leader := func() *committer.Loop {
		for _, l := range loops {
			if l.State().IsLeader() {
				return l
			}
		}
		return nil
	}
	g.Eventually(leader, 10*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
	first := leader()
	_, err := first.Propose(ctx, []byte("first"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	before, began := sent.Load(), time.Now()
	const changes = 400
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range changes {
		wg.Go(func() {
			if _, err := first.Propose(ctx, []byte("x")); err != nil {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	took := time.Since(began)
	messages := sent.Load() - before
	t.Logf("%d changes in %v, %d messages", changes, took, messages)
	g.Expect(failed.Load()).To(gomega.BeZero())
	g.Expect(messages).To(gomega.BeNumerically("<", changes), "each change went to four other keepers in its own message")
	g.Expect(first.State().IsLeader()).To(gomega.BeTrue())
}
