// Package committer runs a replicated log. One goroutine steps the core, syncs the rows of
// all waiting events in one commit, and only then sends messages and answers.
package committer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	// tickInterval is a fifth of a heartbeat, and the error of every timeout.
	tickInterval = 25 * time.Millisecond
	// maxBatch bounds the events that share one sync.
	maxBatch = 256
	// maxQueue bounds the events that wait for a slow disk.
	maxQueue = 1024
	// writeRetryPause is the pause after a failed write. A full disk fails until space is
	// freed; the rows of a batch may be written repeatedly.
	writeRetryPause = 200 * time.Millisecond
)

// ErrBusy says that too many events wait for the disk; nothing was done. Compare with
// errors.Is.
var ErrBusy = merry.Sentinel("too many events wait for the disk")

// State is the state of the log that is visible outside of the loop; immutable.
type State struct {
	applied     uint64
	confirmedAt time.Time
	leader      replicator.Member
	leads       bool
	voter       bool
	term        uint64
	deployment  string
	voters      []replicator.Member
	responsive  int
	changed     chan struct{}
}

// Applied returns the last index whose rows are synced and applied here.
func (s *State) Applied() uint64 { return s.applied }

// ConfirmedAt returns when a majority last confirmed this copy; zero if none has since the
// start.
func (s *State) ConfirmedAt() time.Time { return s.confirmedAt }

// Leader returns the leader's name, or "".
func (s *State) Leader() string { return s.leader.Name }

// IsLeader reports whether this keeper leads and knows everything that was committed.
func (s *State) IsLeader() bool { return s.leads }

// IsVoter reports whether this keeper votes.
func (s *State) IsVoter() bool { return s.voter }

// Founded reports whether the disk belongs to a deployment.
func (s *State) Founded() bool { return s.deployment != "" }

// Deployment returns the id of the deployment; empty before it is founded.
func (s *State) Deployment() string { return s.deployment }

// Term returns the newest known term.
func (s *State) Term() uint64 { return s.term }

// Changed returns a channel that is closed once further entries are applied.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Voters returns the committed voters; callers must not change them.
func (s *State) Voters() []replicator.Member { return s.voters }

// ResponsiveVoters returns how many voters answer this keeper while it leads, itself included;
// otherwise 0.
func (s *State) ResponsiveVoters() int { return s.responsive }

// call is an input of the loop: exactly one of event, request, inspect and peers is set.
type call struct {
	event   replicator.Event
	request any
	inspect func()
	peers   []string
	done    chan Outcome
}

// Options configures a loop.
type Options struct {
	Core replicator.Options
	// Store is used by the loop only.
	Store Store
	// Send sends a message; it must not block.
	Send func(*messenger.LogMessage)
	// OnCommit is called in the loop after entries were applied and synced.
	OnCommit func()
	// Prepare encodes a request as the data of a log entry, just before it is proposed, or
	// returns the answer of a request that needs no entry. It is called in the loop. Only
	// ProposeRequest needs it.
	Prepare func(request any) (data []byte, answer any, err error)
	// StopOnWriteError makes Run return when a write fails, for a process that restarts
	// from what is on the disk; otherwise the write is retried.
	StopOnWriteError bool
	Log              *zap.Logger
}

// Loop runs the log of one keeper.
type Loop struct {
	options Options
	core    *replicator.Core
	calls   chan call
	pending PendingCalls[Outcome]
	state   atomic.Pointer[State]
	ended   chan struct{}
}

// New restores the log from the store.
func New(o Options) (*Loop, error) {
	l := &Loop{
		options: o, calls: make(chan call, maxQueue), ended: make(chan struct{}),
		pending: NewPendingCalls(func(o Outcome) Outcome { return o }),
	}
	l.core = replicator.NewCore(o.Core)
	actions, err := RestoreCore(l.core, o.Store)
	if err != nil {
		return nil, err
	}
	l.state.Store(&State{changed: make(chan struct{})})
	return l, l.execute(context.Background(), actions)
}

// FoundingSeeds returns the names of the keepers with which the disk may found a deployment, or none. It must
// not be called while Run runs.
func (l *Loop) FoundingSeeds() []string { return l.core.FoundingSeeds() }

// State returns the state that is synced and applied.
func (l *Loop) State() *State { return l.state.Load() }

// Run steps the log until ctx ends or the core halts.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.ended)
	t := time.NewTicker(tickInterval)
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
		if err := l.processBatch(ctx, l.collectBatch(c)); err != nil {
			return err
		}
	}
}

// collectBatch returns a call and those queued behind it, up to maxBatch.
func (l *Loop) collectBatch(first call) []call {
	out := []call{first}
	for len(out) < maxBatch {
		select {
		case c := <-l.calls:
			out = append(out, c)
		default:
			return out
		}
	}
	return out
}

// processBatch steps the core through a batch, executes the resulting actions, and then
// runs inspections and sends immediate answers.
func (l *Loop) processBatch(ctx context.Context, batch []call) error {
	var events []replicator.Event
	answers := make([]*Outcome, len(batch))
	for i, c := range batch {
		var e replicator.Event
		if e, answers[i] = l.eventFor(c); e != nil {
			events = append(events, e)
		}
	}
	if err := l.execute(ctx, l.core.Step(time.Now(), events...)); err != nil {
		return err
	}
	// Inspections and immediate answers may depend on an entry of this batch, so they wait
	// until its rows are synced.
	for i, c := range batch {
		if c.inspect != nil {
			c.inspect()
		}
		if answers[i] != nil {
			c.done <- *answers[i]
		}
	}
	return nil
}

// eventFor returns the core event of a call, or its answer if it needs no event, or
// neither.
func (l *Loop) eventFor(c call) (replicator.Event, *Outcome) {
	switch e := c.event.(type) {
	case replicator.Propose:
		e.Ticket = l.pending.Add(c.done)
		return e, nil
	case replicator.Read:
		return replicator.Read{Ticket: l.pending.Add(c.done)}, nil
	case nil:
	default:
		return e, nil
	}
	switch {
	case c.request != nil:
		return l.proposal(c)
	case c.inspect != nil:
		return nil, &Outcome{}
	}
	l.core.SetPeers(c.peers)
	return nil, nil
}

// proposal returns the event for a request, or its answer if it needs no entry.
func (l *Loop) proposal(c call) (replicator.Event, *Outcome) {
	if !l.core.Ready() {
		return nil, &Outcome{Err: ErrNotLeader}
	}
	data, answer, err := l.options.Prepare(c.request)
	if err != nil || answer != nil {
		return nil, &Outcome{Result: answer, Err: err}
	}
	return replicator.Propose{Ticket: l.pending.Add(c.done), Data: data}, nil
}

// execute carries out actions of the core with this loop's store and Send function.
func (l *Loop) execute(ctx context.Context, actions []replicator.Action) error {
	return l.pending.Execute(actions, ActionHandlers{
		Persist:      func(rows []storer.Row) error { return l.persist(ctx, rows) },
		PublishState: l.publishState, Send: l.options.Send,
	})
}

// persist writes the rows until the disk accepts them, or returns the error of a failed
// write if StopOnWriteError is set. The core is ahead of a disk that fails, so nothing may
// be sent meanwhile: to the others this keeper is silent, and a leader loses its role.
// Ending the process instead would only lose what is in memory but not on the disk.
func (l *Loop) persist(ctx context.Context, rows []storer.Row) error {
	if len(rows) == 0 {
		return nil
	}
	for failures := 0; ; failures++ {
		err := l.options.Store.Apply(rows)
		if err == nil {
			if failures > 0 {
				l.options.Log.Info("disk takes writes again", zap.Int("refused", failures))
			}
			return nil
		}
		if l.options.StopOnWriteError {
			return err
		}
		if failures == 0 {
			l.options.Log.Warn("disk write failed; retrying, nothing is acknowledged meanwhile", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(writeRetryPause):
		}
	}
}

// publishState updates the visible state after its rows are synced.
func (l *Loop) publishState() {
	old := l.state.Load()
	s := &State{
		applied: l.core.Commit(), confirmedAt: l.core.ConfirmedAt(), leader: l.core.Leader(),
		leads: l.core.Ready(), voter: l.core.IsVoter(), deployment: l.core.Deployment(), term: l.core.Term(),
		changed: old.changed, voters: old.voters, responsive: l.core.ResponsiveVoters(),
	}
	advanced := s.applied != old.applied
	if advanced || old.voters == nil {
		s.voters = l.core.CommittedVoters()
	}
	if advanced {
		s.changed = make(chan struct{})
		l.options.OnCommit()
	}
	l.state.Store(s)
	if advanced {
		close(old.changed)
	}
	if s.leader != old.leader || s.voter != old.voter || s.deployment != old.deployment || s.leads != old.leads || !slices.Equal(s.voters, old.voters) {
		l.options.Log.Info("log", zap.String("leader", s.leader.Name), zap.Bool("leads", s.leads),
			zap.Bool("votes", s.voter), zap.Bool("founded", s.Founded()), zap.Uint64("term", s.term),
			zap.Int("voters", len(s.voters)), zap.Stringers("disks", s.voters))
	}
}

// enqueue passes a call to the loop, or returns ErrBusy if the queue is full.
func (l *Loop) enqueue(c call) error {
	select {
	case l.calls <- c:
		return nil
	default:
		return ErrBusy
	}
}

// submit passes a call to the loop and waits for its outcome.
func (l *Loop) submit(ctx context.Context, c call) (Outcome, error) {
	c.done = make(chan Outcome, 1)
	if err := l.enqueue(c); err != nil {
		return Outcome{}, err
	}
	select {
	case o := <-c.done:
		return o, o.Err
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	case <-l.ended:
		return Outcome{}, ErrOutcomeUnknown
	}
}

// Receive passes a message of another keeper to the log; it may be dropped.
func (l *Loop) Receive(m *messenger.LogMessage) error {
	return l.enqueue(call{event: replicator.Receive{Message: m}})
}

// SetPeers replaces the names of the other keepers.
func (l *Loop) SetPeers(names []string) error { return l.enqueue(call{peers: names}) }

// Propose commits a change and returns the state machine's result.
func (l *Loop) Propose(ctx context.Context, data []byte) (any, error) {
	o, err := l.submit(ctx, call{event: replicator.Propose{Data: data}})
	return o.Result, err
}

// ProposeRequest commits the entry that Options.Prepare makes of a request and returns the
// state machine's result, or the answer that Prepare returned without an entry.
func (l *Loop) ProposeRequest(ctx context.Context, request any) (any, error) {
	o, err := l.submit(ctx, call{request: request})
	return o.Result, err
}

// Inspect calls f between two events, when the whole state of the machine is synced. If
// Inspect returns an error, f may still be called later.
func (l *Loop) Inspect(ctx context.Context, f func()) error {
	_, err := l.submit(ctx, call{inspect: f})
	return err
}

// QueueLength returns how many calls wait for the loop.
func (l *Loop) QueueLength() int { return len(l.calls) }

// Done returns a channel that is closed once the loop answers no more calls.
func (l *Loop) Done() <-chan struct{} { return l.ended }

// ReadIndex returns an index that covers everything acknowledged before the call. A
// majority confirms it after the call began.
func (l *Loop) ReadIndex(ctx context.Context) (uint64, error) {
	o, err := l.submit(ctx, call{event: replicator.Read{}})
	return o.Index, err
}

// WaitApplied waits until all entries up to an index are applied here.
func (l *Loop) WaitApplied(ctx context.Context, index uint64) error {
	return WaitApplied(ctx, func() (uint64, <-chan struct{}) {
		s := l.state.Load()
		return s.applied, s.changed
	}, index, l.ended, ErrOutcomeUnknown)
}
