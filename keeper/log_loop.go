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
)

// logVars publishes the log state of each keeper in this process.
var logVars = expvar.NewMap("configuration_log")

// logLoop runs this keeper's replica of the configuration log.
type logLoop struct {
	*committer.Loop
	book *configurer.Book
	// syncedVersion is the version of the book whose rows are synced to disk.
	syncedVersion atomic.Uint64
	// cachedConfiguration is the configuration of cachedVersion, built on
	// first use.
	cachedConfiguration *messenger.Configuration
	cachedVersion       uint64
}

// bookMachine applies committed log entries to the book.
type bookMachine struct{ book *configurer.Book }

// Apply decides the change in a log entry and returns a
// *messenger.ProposeReply.
func (m bookMachine) Apply(_ uint64, data []byte) any {
	c := &messenger.LogChange{}
	if err := proto.Unmarshal(data, c); err != nil || c.Change == nil {
		return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_REFUSED, Faults: []string{"change: unreadable"}}
	}
	return m.book.Decide(c)
}

// Snapshot returns the encoded book.
func (m bookMachine) Snapshot() []byte {
	b, err := m.book.Snapshot()
	if err != nil {
		// All changes passed a codec that rejects what can't be encoded.
		panic(err)
	}
	return b
}

// Restore replaces the book by a snapshot.
func (m bookMachine) Restore(_ uint64, b []byte) error { return m.book.Restore(b) }

// voterCount returns how many of the keepers vote. Above two keepers the
// number is odd: one voter more would enlarge the majority by a machine
// without tolerating another failure.
func voterCount(keepers int) int {
	switch {
	case keepers <= 3:
		return keepers
	case keepers == 4:
		return 3
	default:
		return 5
	}
}

// logCounters is the state of a log as shown at the debug address.
type logCounters struct {
	Version uint64 `json:"version"`
	Commit  uint64 `json:"commit"`
	Term    uint64 `json:"term"`
	Leader  string `json:"leader"`
	Leads   bool   `json:"leads"`
	Votes   bool   `json:"votes"`
	// AgeMS is the time in milliseconds since a majority confirmed the copy,
	// or -1 if none has.
	AgeMS int64 `json:"age_ms"`
}

func (l *logLoop) counters() any {
	s := l.State()
	return logCounters{
		Version: l.version(), Commit: s.Applied(), Term: s.Term(), Leader: s.Leader(),
		Leads: s.IsLeader(), Votes: s.IsVoter(), AgeMS: ageMS(s.ConfirmedAt()),
	}
}

// version returns the version that is synced to this keeper's disk.
func (l *logLoop) version() uint64 { return l.syncedVersion.Load() }

func newRand() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:])))
}

// newLogLoop restores the log from the store. The loop stops at the first
// failed write: memory is then ahead of the disk, and a keeper of budgets
// must not continue in that state.
func newLogLoop(name string, peers []string, store committer.Store, r *rand.Rand, log *zap.Logger, send func(*messenger.LogMessage)) (*logLoop, error) {
	l := &logLoop{book: configurer.NewBook()}
	var err error
	l.Loop, err = committer.New(committer.Options{
		Core: replicator.Options{
			Name: name, Peers: peers, Voters: voterCount(len(peers) + 1), Timing: replicator.DefaultTiming(),
			Rand: r, Machine: bookMachine{book: l.book},
		},
		Store: store, Send: send, OnCommit: l.publishVersion, Prepare: l.prepare, StopOnWriteError: true, Log: log,
	})
	if err != nil {
		return nil, merry.Errorf("%w; to come back, stop this keeper, move its data folder away and start it: it copies from the others", err)
	}
	logVars.Set(name, expvar.Func(l.counters))
	return l, nil
}

// publishVersion makes the book's version visible once its rows are synced.
func (l *logLoop) publishVersion() { l.syncedVersion.Store(l.book.Version()) }

// prepare encodes a *messenger.Change for the log, or returns the earlier
// reply if the change was already decided.
func (l *logLoop) prepare(request any) ([]byte, any, error) {
	c, ok := request.(*messenger.Change)
	if !ok {
		return nil, nil, merry.Errorf("%T is no change", request)
	}
	if r, ok := l.book.EarlyReply(c); ok {
		return nil, r, nil
	}
	c.AcceptedAtMs = time.Now().UnixMilli()
	data, err := proto.Marshal(&messenger.LogChange{Change: c, Ahead: c.BaseVersion > l.book.Version()})
	return data, nil, err
}

// propose submits a change and waits for its decision. The loop retains c.
func (l *logLoop) propose(ctx context.Context, c *messenger.Change) (*messenger.ProposeReply, error) {
	out, err := l.ProposeRequest(ctx, c)
	reply, _ := out.(*messenger.ProposeReply)
	return reply, err
}

// viewBook calls f with the book between two events and returns its result,
// or the zero value with an error; see readVault for why the result is
// returned rather than captured.
func viewBook[T any](ctx context.Context, l *logLoop, f func(*configurer.Book) T) (T, error) {
	var out, none T
	if err := l.Inspect(ctx, func() { out = f(l.book) }); err != nil {
		return none, err
	}
	return out, nil
}

// configuration returns the full configuration. It must be called inside
// viewBook. All callers share one value per version and must not modify it.
func (l *logLoop) configuration() *messenger.Configuration {
	if l.cachedConfiguration == nil || l.cachedVersion != l.book.Version() {
		l.cachedConfiguration, l.cachedVersion = l.book.Configuration(), l.book.Version()
	}
	return l.cachedConfiguration
}
