package committer_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
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

// troubledDisk is a store in a file whose syncs can be made to hang or to fail.
type troubledDisk struct {
	*storer.Store
	hangs sync.Mutex
	fails atomic.Bool
}

func (d *troubledDisk) Apply(rows []storer.Row) error {
	d.hangs.Lock()
	defer d.hangs.Unlock()
	if d.fails.Load() {
		return merry.Errorf("%w: input/output error", storer.ErrStore)
	}
	return d.Store.Apply(rows)
}

// Guards against a leader that acknowledges a change or confirms a read while its disk hangs or fails,
// although another keeper leads by then, and against one that still counts as leader afterwards.
func TestLeaderWithATroubledDiskAcknowledgesNothing(t *testing.T) {
	for name, trouble := range map[string]func(*troubledDisk) (end func()){
		"hangs": func(d *troubledDisk) func() {
			d.hangs.Lock()
			return d.hangs.Unlock
		},
		"fails": func(d *troubledDisk) func() {
			d.fails.Store(true)
			return func() { d.fails.Store(false) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			loops, disks := startKeepers(t, g, "a", "b", "c")
			leader := func(except string) func() string {
				return func() string {
					for name, l := range loops {
						if name != except && l.State().IsLeader() {
							return name
						}
					}
					return ""
				}
			}
			g.Eventually(leader(""), 10*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeEmpty())
			first := leader("")()
			_, err := loops[first].Propose(t.Context(), []byte("x"))
			g.Expect(err).NotTo(gomega.HaveOccurred())

			end := trouble(disks[first])
			answers := make(chan error, 2)
			go func() {
				_, err := loops[first].Propose(t.Context(), []byte("y"))
				answers <- err
			}()
			g.Eventually(leader(first), 10*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeEmpty())
			second := leader(first)()
			g.Eventually(func() error {
				_, err := loops[second].Propose(t.Context(), []byte("z"))
				return err
			}, 10*time.Second).Should(gomega.Succeed())
			committed := loops[second].State().Applied()
			go func() {
				_, err := loops[first].ReadIndex(t.Context())
				answers <- err
			}()
			g.Consistently(answers, 300*time.Millisecond).ShouldNot(gomega.Receive(), "the disk takes nothing yet")
			end()
			g.Eventually(func() uint64 { return loops[first].State().Applied() }, 10*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically(">=", committed))
			g.Expect(loops[first].State().Leader()).NotTo(gomega.Equal(first))
			for range 2 {
				g.Expect(<-answers).To(gomega.HaveOccurred())
			}
		})
	}
}

// startKeepers runs one loop for each name, with its store in a file.
func startKeepers(t *testing.T, g *gomega.WithT, names ...string) (map[string]*committer.Loop, map[string]*troubledDisk) {
	t.Helper()
	loops, disks := map[string]*committer.Loop{}, map[string]*troubledDisk{}
	for i, name := range names {
		store, closeStore, err := storer.Open(t.TempDir())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		disks[name] = &troubledDisk{Store: store}
		others := slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == name })
		loops[name], err = committer.New(committer.Options{
			Core: replicator.Options{
				Name: name, Peers: others, Voters: len(names), Timing: replicator.DefaultTiming(), Rand: rand.New(rand.NewPCG(uint64(i), 5)), Machine: &countingMachine{},
			},
			Store: disks[name], OnCommit: func() {}, Log: zap.NewNop(),
			Send: func(m *messenger.LogMessage) {
				if to := loops[m.To.GetName()]; to != nil {
					_ = to.Receive(m)
				}
			},
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { g.Expect(closeStore()).To(gomega.Succeed()) })
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, l := range loops {
		running.Go(func() { _ = l.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return loops, disks
}
