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
	term        uint64
	deployment  string
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
func (s *State) Founded() bool { return s.deployment != "" }

// Term returns the newest term that is known.
func (s *State) Term() uint64 { return s.term }

// Changed is closed once more is applied than here.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Voters returns the committed voters; callers must not change them.
func (s *State) Voters() []replicator.Member { return s.voters }

// call is one of an event, a request, a look and new peers.
type call struct {
	event   replicator.Event
	request any
	look    func()
	peers   []string
	done    chan Outcome
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
	// Prepare makes the data of a request just before it enters the log, or returns
	// its answer where it needs no entry, in the loop. Only Ask needs it.
	Prepare func(request any) (data []byte, answer any, err error)
	// EndsOnRefusal says that Run ends when the disk refuses a write, for a process
	// that starts anew from what is there; otherwise it is tried again.
	EndsOnRefusal bool
	Log           *zap.Logger
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
	answers := make([]*Outcome, len(batch))
	for i, c := range batch {
		var e replicator.Event
		if e, answers[i] = l.eventOf(c); e != nil {
			actions = append(actions, l.core.Step(now, e)...)
		}
	}
	if err := l.carryOut(ctx, actions); err != nil {
		return err
	}
	// What is looked at, or answered without an entry of its own, may come from an
	// entry of this batch: it leaves the process after the rows are synced.
	for i, c := range batch {
		if c.look != nil {
			c.look()
		}
		if answers[i] != nil {
			c.done <- *answers[i]
		}
	}
	return nil
}

// eventOf returns a call's event for the core, or its answer, or neither.
func (l *Loop) eventOf(c call) (replicator.Event, *Outcome) {
	switch e := c.event.(type) {
	case replicator.Propose:
		e.Ticket = l.desk.Wait(c.done)
		return e, nil
	case replicator.Read:
		return replicator.Read{Ticket: l.desk.Wait(c.done)}, nil
	case nil:
	default:
		return e, nil
	}
	switch {
	case c.request != nil:
		return l.proposal(c)
	case c.look != nil:
		return nil, &Outcome{}
	}
	l.core.SetPeers(c.peers)
	return nil, nil
}

// proposal returns the event for a request, or its answer where it needs none.
func (l *Loop) proposal(c call) (replicator.Event, *Outcome) {
	if !l.core.Ready() {
		return nil, &Outcome{Err: ErrNotLeader}
	}
	data, answer, err := l.options.Prepare(c.request)
	if err != nil || answer != nil {
		return nil, &Outcome{Result: answer, Err: err}
	}
	return replicator.Propose{Ticket: l.desk.Wait(c.done), Data: data}, nil
}

func (l *Loop) carryOut(ctx context.Context, actions []replicator.Action) error {
	return l.desk.CarryOut(actions, Ports{
		Sync: func(rows []storer.Row) error { return l.sync(ctx, rows) },
		Show: l.publish, Send: l.options.Send,
	})
}

// sync writes the rows until the disk takes them, or ends at a refusal where the
// options say so. The core is ahead of a disk that refuses, so nothing may leave
// meanwhile: to the others this keeper is silent, and a leader loses its role. Ending
// the process instead would only lose what it knows beside the disk.
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
		if l.options.EndsOnRefusal {
			return err
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
		leads: l.core.Ready(), voter: l.core.Voter(), deployment: l.core.Deployment(), term: l.core.Term(),
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
	if s.leader != old.leader || s.voter != old.voter || s.deployment != old.deployment || s.leads != old.leads {
		l.options.Log.Info("log", zap.String("leader", s.leader.Name), zap.Bool("leads", s.leads),
			zap.Bool("votes", s.voter), zap.Bool("founded", s.Founded()), zap.Uint64("term", s.term),
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
func (l *Loop) do(ctx context.Context, c call) (Outcome, error) {
	c.done = make(chan Outcome, 1)
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
	o, err := l.do(ctx, call{event: replicator.Propose{Data: data}})
	return o.Result, err
}

// Ask commits what Options.Prepare makes of a request, and returns what the machine
// made of that, or the answer that Prepare gave.
func (l *Loop) Ask(ctx context.Context, request any) (any, error) {
	o, err := l.do(ctx, call{request: request})
	return o.Result, err
}

// Look calls f between two events, when all that the machine holds is synced. If it
// returns an error, f may still be called later.
func (l *Loop) Look(ctx context.Context, f func()) error {
	_, err := l.do(ctx, call{look: f})
	return err
}

// Waiting returns how many calls wait for the loop.
func (l *Loop) Waiting() int { return len(l.calls) }

// Ended is closed once no call will be answered any more.
func (l *Loop) Ended() <-chan struct{} { return l.ended }

// Confirm returns an index that covers all that was acknowledged before the
// call, confirmed by a majority after it.
func (l *Loop) Confirm(ctx context.Context) (uint64, error) {
	o, err := l.do(ctx, call{event: replicator.Read{}})
	return o.Index, err
}

// Reached waits until everything up to an index is applied here.
func (l *Loop) Reached(ctx context.Context, index uint64) error {
	return Reached(ctx, func() (uint64, <-chan struct{}) {
		s := l.state.Load()
		return s.applied, s.changed
	}, index, l.ended, ErrOutcomeLost)
}
