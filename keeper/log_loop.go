package keeper

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	tickEvery = 20 * time.Millisecond
	// logBatch bounds how many events share one sync.
	logBatch = 256
)

// logVars holds the state of the log of each keeper in this process.
var logVars = expvar.NewMap("configuration_log")

// logState is what the log has shown to the outside; immutable.
type logState struct {
	version uint64
	digest  uint64
	// Applied is the index that the version stands for.
	applied uint64
	// ConfirmedAt is when a majority last confirmed the copy; zero if never
	// since the start.
	confirmedAt time.Time
	leader      replicator.Member
	role        replicator.Role
	term        uint64
	voter       bool
	// Voters are the committed ones.
	voters     []replicator.Member
	deployment string
	// Changed is closed once applied has moved on.
	changed chan struct{}
}

// logCall is one event for the core, or a read between two events.
type logCall struct {
	event  replicator.Event
	change *messenger.Change
	read   func(*configurer.Book)
	done   chan logAnswer
}

type logAnswer struct {
	reply *messenger.ProposeReply
	index uint64
	err   error
}

// logLoop runs the replicated log: one goroutine steps the core, syncs the
// rows of all waiting events in one commit, and only then sends and answers.
type logLoop struct {
	callQueue[logCall]
	core  *replicator.Core
	book  *configurer.Book
	store committer.Store
	send  func(*messenger.LogMessage)
	log   *zap.Logger
	desk  committer.Desk[logAnswer]
	state atomic.Pointer[logState]
	// Whole is the configuration of wholeVersion, made when first asked for.
	whole        *messenger.Configuration
	wholeVersion uint64
}

// bookMachine applies committed entries to the book.
type bookMachine struct{ book *configurer.Book }

// Apply returns a *messenger.ProposeReply.
func (m bookMachine) Apply(data []byte) any {
	c := &messenger.LogChange{}
	if err := proto.Unmarshal(data, c); err != nil || c.Change == nil {
		return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_REFUSED, Faults: []string{"change: unreadable"}}
	}
	return m.book.Decide(c)
}

// Snapshot returns the whole book.
func (m bookMachine) Snapshot() []byte {
	b, err := m.book.Snapshot()
	if err != nil {
		// Changes came through a codec that refuses what can't be encoded.
		panic(err)
	}
	return b
}

// Restore replaces the book.
func (m bookMachine) Restore(b []byte) error { return m.book.Restore(b) }

// voters is how many keepers vote: an odd number, so that a spare adds no
// machine to the majority without adding a failure that it survives.
func voters(keepers int) int {
	switch {
	case keepers <= 3:
		return keepers
	case keepers == 4:
		return 3
	default:
		return 5
	}
}

// logCounters is the state of a log as its debug address shows it.
type logCounters struct {
	Version uint64 `json:"version"`
	Commit  uint64 `json:"commit"`
	Term    uint64 `json:"term"`
	Leader  string `json:"leader"`
	Leads   bool   `json:"leads"`
	Votes   bool   `json:"votes"`
	// AgeMS is the time since a majority confirmed the copy; -1 if never.
	AgeMS int64 `json:"age_ms"`
}

func (l *logLoop) vars() any {
	s := l.state.Load()
	return logCounters{
		Version: s.version, Commit: s.applied, Term: s.term, Leader: s.leader.Name,
		Leads: s.role == replicator.Leader, Votes: s.voter, AgeMS: ageMS(s.confirmedAt),
	}
}

func newRand() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:])))
}

// newLogLoop restores the log from the store.
func newLogLoop(name string, peers []string, store committer.Store, r *rand.Rand, log *zap.Logger, send func(*messenger.LogMessage)) (*logLoop, error) {
	l := &logLoop{
		book: configurer.NewBook(), store: store, send: send, log: log,
		callQueue: newCallQueue[logCall](logBatch), desk: committer.NewDesk(answerOf),
	}
	l.core = replicator.NewCore(replicator.Options{
		Name: name, Peers: peers, Voters: voters(len(peers) + 1), Timing: replicator.DefaultTiming(),
		Rand: r, Machine: bookMachine{book: l.book},
	})
	actions, err := committer.Restore(l.core, store)
	if err != nil {
		return nil, merry.Errorf("%w; to come back, stop this keeper, move its data folder away and start it: it copies from the others", err)
	}
	l.state.Store(&logState{changed: make(chan struct{})})
	logVars.Set(name, expvar.Func(l.vars))
	return l, l.carryOut(actions)
}

// run steps the log until ctx ends, the store fails or the core halts. After
// a failed write the memory is ahead of the disk, so the process must stop.
func (l *logLoop) run(ctx context.Context) error {
	defer close(l.ended)
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		var batch []logCall
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			batch = l.batch(logCall{event: replicator.Tick{}})
		case c := <-l.calls:
			batch = l.batch(c)
		}
		if err := l.commit(batch); err != nil {
			return err
		}
	}
}

func (l *logLoop) commit(batch []logCall) error {
	now := time.Now()
	var actions []replicator.Action
	answers := make([]logAnswer, len(batch))
	for i, c := range batch {
		e := c.event
		if c.change != nil {
			e, answers[i] = l.proposal(c)
		}
		if _, ok := e.(replicator.Read); ok {
			e = replicator.Read{Ticket: l.desk.Wait(c.done)}
		}
		if e != nil {
			actions = append(actions, l.core.Step(now, e)...)
		}
	}
	if err := l.carryOut(actions); err != nil {
		return err
	}
	for i, c := range batch {
		if c.read != nil {
			c.read(l.book)
		}
		if c.read != nil || answers[i] != (logAnswer{}) {
			c.done <- answers[i]
		}
	}
	return nil
}

// proposal returns the event for a change, or its answer where it needs none.
func (l *logLoop) proposal(c logCall) (replicator.Event, logAnswer) {
	if !l.core.Ready() {
		return nil, logAnswer{err: committer.ErrNotLeader}
	}
	if r, ok := l.book.Peek(c.change); ok {
		return nil, logAnswer{reply: r}
	}
	c.change.AcceptedAtMs = time.Now().UnixMilli()
	data, err := proto.Marshal(&messenger.LogChange{Change: c.change, Ahead: c.change.BaseVersion > l.book.Version()})
	if err != nil {
		return nil, logAnswer{err: err}
	}
	return replicator.Propose{Ticket: l.desk.Wait(c.done), Data: data}, logAnswer{}
}

func (l *logLoop) carryOut(actions []replicator.Action) error {
	return l.desk.CarryOut(actions, committer.Ports{Sync: l.store.Apply, Show: l.publish, Send: l.send})
}

func answerOf(o committer.Outcome) logAnswer {
	reply, _ := o.Result.(*messenger.ProposeReply)
	return logAnswer{reply: reply, index: o.Index, err: o.Err}
}

// publish shows the state whose rows are synced.
func (l *logLoop) publish() {
	old := l.state.Load()
	s := &logState{
		version: l.book.Version(), digest: l.book.Digest(), applied: l.core.Commit(),
		confirmedAt: l.core.ConfirmedAt(), leader: l.core.Leader(), role: l.core.Role(), term: l.core.Term(),
		voter: l.core.Voter(), deployment: l.core.Deployment(), changed: old.changed,
	}
	if s.applied != old.applied {
		s.changed = make(chan struct{})
	}
	s.voters = old.voters
	if s.applied != old.applied || old.voters == nil {
		s.voters = l.core.CommittedVoters()
	}
	l.state.Store(s)
	if s.applied != old.applied {
		close(old.changed)
	}
	if s.leader != old.leader || s.voter != old.voter || s.deployment != old.deployment {
		l.log.Info("configuration log", zap.String("leader", s.leader.Name), zap.Uint64("term", s.term),
			zap.Bool("votes", s.voter), zap.Bool("founded", s.deployment != ""), zap.Uint64("version", s.version))
	}
}

// do hands a call to the loop and waits for its answer.
func (l *logLoop) do(ctx context.Context, c logCall) (logAnswer, error) {
	c.done = make(chan logAnswer, 1)
	if err := l.put(ctx, c); err != nil {
		return logAnswer{}, err
	}
	a, err := await(ctx, l.callQueue, c.done)
	if err != nil {
		return logAnswer{}, err
	}
	return a, a.err
}

func receiveCall(m *messenger.LogMessage) logCall {
	return logCall{event: replicator.Receive{Message: m}}
}

// receive hands a message to the loop; it answers nothing.
func (l *logLoop) receive(ctx context.Context, m *messenger.LogMessage) error {
	return l.put(ctx, receiveCall(m))
}

// viewBook returns what f returns for the book between two events, or the
// zero value with an error; see readVault.
func viewBook[T any](ctx context.Context, l *logLoop, f func(*configurer.Book) T) (T, error) {
	var out, none T
	if _, err := l.do(ctx, logCall{read: func(b *configurer.Book) { out = f(b) }}); err != nil {
		return none, err
	}
	return out, nil
}

// configuration returns the whole configuration; called inside viewBook. All
// callers of one version share it and must not change it.
func (l *logLoop) configuration() *messenger.Configuration {
	if l.whole == nil || l.wholeVersion != l.book.Version() {
		l.whole, l.wholeVersion = l.book.Configuration(), l.book.Version()
	}
	return l.whole
}

// reached waits until everything up to an index is applied here.
func (l *logLoop) reached(ctx context.Context, index uint64) error {
	return committer.Reached(ctx, func() (uint64, <-chan struct{}) {
		s := l.state.Load()
		return s.applied, s.changed
	}, index, l.ended, storer.ErrStore)
}
