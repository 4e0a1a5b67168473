package committer_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

// disk is a store that refuses writes while it is full.
type disk struct {
	mu   sync.Mutex
	full bool
	rows map[string][]byte
}

func (d *disk) Apply(rows []storer.Row) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return merry.Errorf("%w: no space", storer.ErrStore)
	}
	for _, r := range rows {
		d.rows[r.Bucket+"/"+r.Key] = r.Value
	}
	return nil
}

func (d *disk) Each(string, func(string, []byte) error) error { return nil }

func (d *disk) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

func (d *disk) size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.rows)
}

// countingMachine is a state machine that counts the applied changes.
type countingMachine struct{ n int }

func (m *countingMachine) Apply(uint64, []byte) any {
	m.n++
	return m.n
}

func (m *countingMachine) Snapshot() []byte             { return nil }
func (m *countingMachine) Restore(uint64, []byte) error { return nil }

// Guards against acknowledging a change that is on no disk, and against a keeper that ends
// when a write fails. The disk is full while a change is proposed, and has space again
// later.
func TestNothingIsAcknowledgedWhileTheDiskIsFull(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &disk{rows: map[string][]byte{}}
	l, err := committer.New(committer.Options{
		Core: replicator.Options{
			Name: "a", Voters: 1, Timing: replicator.DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1)), Machine: &countingMachine{},
		},
		Store: d, Send: func(*messenger.LogMessage) {}, OnCommit: func() {}, Log: zap.NewNop(),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = l.Run(ctx) }()
	g.Eventually(func() bool { return l.State().IsLeader() }, 5*time.Second).Should(gomega.BeTrue())
	out, err := l.Propose(ctx, []byte("x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out).To(gomega.Equal(1))

	d.setFull(true)
	before := d.size()
	short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	_, err = l.Propose(short, []byte("y"))
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
	g.Expect(d.size()).To(gomega.Equal(before))
	d.setFull(false)
	g.Eventually(func() error {
		_, err := l.Propose(ctx, []byte("z"))
		return err
	}, 3*time.Second).Should(gomega.Succeed())
	i, err := l.ReadIndex(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(l.WaitApplied(ctx, i)).To(gomega.Succeed())
}
