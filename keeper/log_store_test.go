package keeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

var errDisk = errors.New("injected disk error")

// faultyStore fails its write number failAt: either before the write, as for
// a failed write, or after it, as for a failed sync whose rows reached the
// disk.
type faultyStore struct {
	mu     sync.Mutex
	rows   map[string]map[string][]byte
	writes int
	failAt int
	after  bool
}

func (s *faultyStore) Apply(rows []storer.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(rows) == 0 {
		return nil
	}
	s.writes++
	if s.writes == s.failAt && !s.after {
		return errDisk
	}
	for _, r := range rows {
		if s.rows[r.Bucket] == nil {
			s.rows[r.Bucket] = map[string][]byte{}
		}
		if r.Value == nil {
			delete(s.rows[r.Bucket], r.Key)
			continue
		}
		s.rows[r.Bucket][r.Key] = slices.Clone(r.Value)
	}
	if s.writes == s.failAt {
		return errDisk
	}
	return nil
}

func (s *faultyStore) Each(bucket string, f func(string, []byte) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.rows[bucket] {
		if err := f(k, v); err != nil {
			return err
		}
	}
	return nil
}

// cluster runs three logs in one process under synctest's clock.
type cluster struct {
	t      *testing.T
	ctx    context.Context
	mu     sync.Mutex
	loops  map[string]*logLoop
	stores map[string]*faultyStore
	rand   *rand.Rand
	failed int
}

var clusterNames = []string{"a", "b", "c"}

func (c *cluster) loop(name string) *logLoop {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loops[name]
}

func (c *cluster) start(name string) {
	peers := slices.DeleteFunc(slices.Clone(clusterNames), func(s string) bool { return s == name })
	c.mu.Lock()
	r := rand.New(rand.NewPCG(c.rand.Uint64(), c.rand.Uint64()))
	c.mu.Unlock()
	l, err := newLogLoop(name, peers, c.stores[name], r, zap.NewNop(), c.send)
	if errors.Is(err, errDisk) {
		c.failed++
		l, err = newLogLoop(name, peers, c.stores[name], r, zap.NewNop(), c.send)
	}
	if err != nil {
		c.t.Errorf("%s does not start: %v", name, err)
		return
	}
	c.mu.Lock()
	c.loops[name] = l
	c.mu.Unlock()
	go func() {
		if err := l.Run(c.ctx); errors.Is(err, errDisk) {
			c.mu.Lock()
			c.failed++
			c.mu.Unlock()
			c.start(name)
		}
	}()
}

func (c *cluster) send(m *messenger.LogMessage) {
	l := c.loop(m.To.Name)
	if l == nil {
		return
	}
	// A message that finds the queue full is dropped.
	_ = l.Receive(m)
}

func (c *cluster) accept(id string) uint64 { return c.acceptAt(id, 0) }

// acceptAt proposes a change at all keepers in turn, from the given base
// version on and rebased after a conflict, until it is accepted.
func (c *cluster) acceptAt(id string, base uint64) uint64 {
	for {
		for _, n := range clusterNames {
			l := c.loop(n)
			if l == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(c.ctx, time.Second)
			reply, err := l.propose(ctx, &messenger.Change{ChangeId: id, BaseVersion: base, Edits: []*messenger.Edit{
				{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: &messenger.Workspace{Name: id}}},
			}})
			cancel()
			switch {
			case err != nil:
			case reply.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED:
				return reply.Version
			case reply.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT:
				base = reply.Version
			}
		}
		time.Sleep(proposeRetryInterval)
	}
}

func (c *cluster) history(name string) []string {
	ids, _ := viewBook(c.ctx, c.loop(name), func(b *configurer.Book) (ids []string) {
		changes, _ := b.ChangesSince(0)
		for _, x := range changes {
			ids = append(ids, x.ChangeId)
		}
		return ids
	})
	return ids
}

// An acknowledged change must survive a disk error. It would be lost if a
// reply or vote left before its rows are synced, or if a process continued
// after a failed write. One keeper's write number n fails, before or after
// its rows reach the disk; the keeper must stop, and after a restart from its
// disk it must catch up. This repeats for every n until a run meets no
// failure.
func TestStoreFailsAtEveryWrite(t *testing.T) {
	for _, after := range []bool{false, true} {
		for n := 1; ; n++ {
			if n > 200 {
				t.Fatal("the failure is still met after 200 writes")
			}
			if !runWithFailedWrite(t, n, after) {
				t.Logf("sync failed after the rows: %v; %d writes failed one by one", after, n-1)
				break
			}
		}
	}
}

func runWithFailedWrite(t *testing.T, n int, after bool) (met bool) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, loops: map[string]*logLoop{}, stores: map[string]*faultyStore{}, rand: rand.New(rand.NewPCG(uint64(n), 3))}
		for _, name := range clusterNames {
			c.stores[name] = &faultyStore{rows: map[string]map[string][]byte{}}
		}
		c.stores["a"].failAt, c.stores["a"].after = n, after
		for _, name := range clusterNames {
			c.start(name)
		}
		var want []string
		for i := range 8 {
			id := fmt.Sprint("change-", i)
			if v := c.accept(id); v != uint64(i)+1 {
				t.Errorf("write %d: change %s became version %d", n, id, v)
			}
			want = append(want, id)
		}
		time.Sleep(5 * time.Second)
		for _, name := range clusterNames {
			if h := c.history(name); !slices.Equal(h, want) {
				t.Errorf("write %d, after %v: %s has %v", n, after, name, h)
			}
		}
		c.mu.Lock()
		met = c.failed > 0
		c.mu.Unlock()
		cancel()
		synctest.Wait()
	})
	return met
}

// A keeper must not vote or answer from a damaged log. One bit of one row is
// flipped while the keeper is down; its start must fail with an error that
// says what to do.
func TestDamagedDiskStopsKeeper(t *testing.T) {
	s := &faultyStore{rows: map[string]map[string][]byte{}}
	open := func() error {
		l, err := newLogLoop("a", nil, s, rand.New(rand.NewPCG(1, 1)), zap.NewNop(), func(*messenger.LogMessage) {})
		if err != nil {
			return err
		}
		// Two seconds are enough to found a deployment of one keeper and to
		// lead it.
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx) }()
		for !l.State().IsLeader() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	}
	if err := open(); err != nil {
		t.Fatal(err)
	}
	damaged := 0
	for _, bucket := range replicator.Buckets {
		for key, value := range s.rows[bucket] {
			whole := slices.Clone(value)
			value[len(value)-1] ^= 1
			err := open()
			if !errors.Is(err, replicator.ErrCorrupt) || !strings.Contains(err.Error(), "move its data folder away") {
				t.Fatalf("%s/%s: %v", bucket, key, err)
			}
			s.rows[bucket][key] = whole
			damaged++
		}
	}
	if damaged < 2 {
		t.Fatalf("only %d rows to damage", damaged)
	}
}
