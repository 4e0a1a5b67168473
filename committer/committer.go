// Package committer runs a replicated log: one goroutine steps the core, syncs
// the rows of all waiting events in one commit, and only then sends and
// answers.
package committer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	// tickEvery is a fifth of a heartbeat: the error of every timeout.
	tickEvery = 25 * time.Millisecond
	// batchMost bounds how many events share one sync.
	batchMost = 256
	// queueMost bounds the events that wait while a disk is slow.
	queueMost = 1024
	// storeRetry is the pause after a refused write. A full disk refuses
	// until space is made; the rows of a batch may be written again and again.
	storeRetry = 200 * time.Millisecond
)

// ErrBusy says that too many events wait for the disk; nothing was done.
// Compare with errors.Is.
var ErrBusy = merry.Sentinel("too many events wait for the disk")

// State is what the log has shown to the outside; immutable.
type State struct {
	applied     uint64
	confirmedAt time.Time
	leader      replicator.Member
	leads       bool
	voter       bool
	founded     bool
	voters      []replicator.Member
	changed     chan struct{}
}

// Applied returns the last index whose rows are synced and applied here.
func (s *State) Applied() uint64 { return s.applied }

// ConfirmedAt returns when a majority last confirmed the copy; zero if never
// since the start.
func (s *State) ConfirmedAt() time.Time { return s.confirmedAt }

// Leader returns the leader's name, or "".
func (s *State) Leader() string { return s.leader.Name }

// Leads reports whether this keeper leads and knows all that was committed.
func (s *State) Leads() bool { return s.leads }

// Votes reports whether this disk votes.
func (s *State) Votes() bool { return s.voter }

// Founded reports whether the disk belongs to a deployment.
func (s *State) Founded() bool { return s.founded }

// Voters returns the committed voters; callers must not change them.
func (s *State) Voters() []replicator.Member { return s.voters }

type call struct {
	event replicator.Event
	peers []string
	done  chan Outcome
}

// Options describe a loop.
type Options struct {
	Core replicator.Options
	// Store is owned by the loop alone.
	Store Store
	// Send passes a message on; it must not block.
	Send func(*messenger.LogMessage)
	// Committed is called in the loop after entries were applied and synced.
	Committed func()
	Log       *zap.Logger
}

// Loop runs one keeper's log.
type Loop struct {
	options Options
	core    *replicator.Core
	calls   chan call
	desk    Desk[Outcome]
	state   atomic.Pointer[State]
	ended   chan struct{}
}

// New restores the log from the store.
func New(o Options) (*Loop, error) {
	l := &Loop{
		options: o, calls: make(chan call, queueMost), ended: make(chan struct{}),
		desk: NewDesk(func(o Outcome) Outcome { return o }),
	}
	l.core = replicator.NewCore(o.Core)
	actions, err := Restore(l.core, o.Store)
	if err != nil {
		return nil, err
	}
	l.state.Store(&State{changed: make(chan struct{})})
	return l, l.carryOut(context.Background(), actions)
}

// State returns what is synced and applied.
func (l *Loop) State() *State { return l.state.Load() }

// Run steps the log until ctx ends or the core halts.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.ended)
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		var c call
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			c.event = replicator.Tick{}
		case c = <-l.calls:
		}
		if err := l.commit(ctx, l.batch(c)); err != nil {
			return err
		}
	}
}

func (l *Loop) batch(first call) []call {
	out := []call{first}
	for len(out) < batchMost {
		select {
		case c := <-l.calls:
			out = append(out, c)
		default:
			return out
		}
	}
	return out
}

func (l *Loop) commit(ctx context.Context, batch []call) error {
	now := time.Now()
	var actions []replicator.Action
	for _, c := range batch {
		switch e := c.event.(type) {
		case nil:
			l.core.SetPeers(c.peers)
		case replicator.Propose:
			e.Ticket = l.desk.Wait(c.done)
			actions = append(actions, l.core.Step(now, e)...)
		case replicator.Read:
			actions = append(actions, l.core.Step(now, replicator.Read{Ticket: l.desk.Wait(c.done)})...)
		default:
			actions = append(actions, l.core.Step(now, e)...)
		}
	}
	return l.carryOut(ctx, actions)
}

func (l *Loop) carryOut(ctx context.Context, actions []replicator.Action) error {
	return l.desk.CarryOut(actions, Ports{
		Sync: func(rows []storer.Row) error { return l.sync(ctx, rows) },
		Show: l.publish, Send: l.options.Send,
	})
}

// sync writes the rows until the disk takes them. The core is ahead of a disk
// that refuses, so nothing may leave meanwhile: to the others this keeper is
// silent, and a leader loses its role. Ending the process instead would only
// lose what it knows beside the disk.
func (l *Loop) sync(ctx context.Context, rows []storer.Row) error {
	if len(rows) == 0 {
		return nil
	}
	for refused := 0; ; refused++ {
		err := l.options.Store.Apply(rows)
		if err == nil {
			if refused > 0 {
				l.options.Log.Info("disk takes writes again", zap.Int("refused", refused))
			}
			return nil
		}
		if refused == 0 {
			l.options.Log.Warn("disk refuses writes; nothing is acknowledged", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(storeRetry):
		}
	}
}

// publish shows the state whose rows are synced.
func (l *Loop) publish() {
	old := l.state.Load()
	s := &State{
		applied: l.core.Commit(), confirmedAt: l.core.ConfirmedAt(), leader: l.core.Leader(),
		leads: l.core.Ready(), voter: l.core.Voter(), founded: l.core.Deployment() != "",
		changed: old.changed, voters: old.voters,
	}
	moved := s.applied != old.applied
	if moved || old.voters == nil {
		s.voters = l.core.CommittedVoters()
	}
	if moved {
		s.changed = make(chan struct{})
		l.options.Committed()
	}
	l.state.Store(s)
	if moved {
		close(old.changed)
	}
	if s.leader != old.leader || s.voter != old.voter || s.founded != old.founded || s.leads != old.leads {
		l.options.Log.Info("log", zap.String("leader", s.leader.Name), zap.Bool("leads", s.leads),
			zap.Bool("votes", s.voter), zap.Bool("founded", s.founded), zap.Uint64("term", l.core.Term()),
			zap.Int("voters", len(s.voters)))
	}
}

func (l *Loop) put(c call) error {
	select {
	case l.calls <- c:
		return nil
	default:
		return ErrBusy
	}
}

// do hands an event to the loop and waits for its answer.
func (l *Loop) do(ctx context.Context, e replicator.Event) (Outcome, error) {
	c := call{event: e, done: make(chan Outcome, 1)}
	if err := l.put(c); err != nil {
		return Outcome{}, err
	}
	select {
	case o := <-c.done:
		return o, o.Err
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	case <-l.ended:
		return Outcome{}, ErrOutcomeLost
	}
}

// Receive takes a message of another keeper in; it may be dropped.
func (l *Loop) Receive(m *messenger.LogMessage) error {
	return l.put(call{event: replicator.Receive{Message: m}})
}

// SetPeers replaces the names of the other keepers.
func (l *Loop) SetPeers(names []string) error { return l.put(call{peers: names}) }

// Propose commits a change and returns what the machine made of it.
func (l *Loop) Propose(ctx context.Context, data []byte) (any, error) {
	o, err := l.do(ctx, replicator.Propose{Data: data})
	return o.Result, err
}

// Confirm returns an index that covers all that was acknowledged before the
// call, confirmed by a majority after it.
func (l *Loop) Confirm(ctx context.Context) (uint64, error) {
	o, err := l.do(ctx, replicator.Read{})
	return o.Index, err
}

// Reached waits until everything up to an index is applied here.
func (l *Loop) Reached(ctx context.Context, index uint64) error {
	return Reached(ctx, func() (uint64, <-chan struct{}) {
		s := l.state.Load()
		return s.applied, s.changed
	}, index, l.ended, ErrOutcomeLost)
}
