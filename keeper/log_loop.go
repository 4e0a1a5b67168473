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

// logVars holds the state of the log of each keeper in this process.
var logVars = expvar.NewMap("configuration_log")

// logLoop is the replicated configuration at one keeper.
type logLoop struct {
	*committer.Loop
	book *configurer.Book
	// Shown is the version that State stands for: its rows are synced.
	shown atomic.Uint64
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
	s := l.State()
	return logCounters{
		Version: l.version(), Commit: s.Applied(), Term: s.Term(), Leader: s.Leader(),
		Leads: s.Leads(), Votes: s.Votes(), AgeMS: ageMS(s.ConfirmedAt()),
	}
}

// version returns the version that is synced here.
func (l *logLoop) version() uint64 { return l.shown.Load() }

func newRand() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:])))
}

// newLogLoop restores the log from the store. It ends at a refused write: the memory is
// ahead of the disk then, and a keeper of budgets must not go on so.
func newLogLoop(name string, peers []string, store committer.Store, r *rand.Rand, log *zap.Logger, send func(*messenger.LogMessage)) (*logLoop, error) {
	l := &logLoop{book: configurer.NewBook()}
	var err error
	l.Loop, err = committer.New(committer.Options{
		Core: replicator.Options{
			Name: name, Peers: peers, Voters: voters(len(peers) + 1), Timing: replicator.DefaultTiming(),
			Rand: r, Machine: bookMachine{book: l.book},
		},
		Store: store, Send: send, Committed: l.show, Prepare: l.prepare, EndsOnRefusal: true, Log: log,
	})
	if err != nil {
		return nil, merry.Errorf("%w; to come back, stop this keeper, move its data folder away and start it: it copies from the others", err)
	}
	logVars.Set(name, expvar.Func(l.vars))
	return l, nil
}

// show publishes the version whose rows are synced.
func (l *logLoop) show() { l.shown.Store(l.book.Version()) }

// prepare returns the log's data for a *messenger.Change, or the reply that it got
// before.
func (l *logLoop) prepare(request any) ([]byte, any, error) {
	c, ok := request.(*messenger.Change)
	if !ok {
		return nil, nil, merry.Errorf("%T is no change", request)
	}
	if r, ok := l.book.Peek(c); ok {
		return nil, r, nil
	}
	c.AcceptedAtMs = time.Now().UnixMilli()
	data, err := proto.Marshal(&messenger.LogChange{Change: c, Ahead: c.BaseVersion > l.book.Version()})
	return data, nil, err
}

// change decides a change, which the loop keeps.
func (l *logLoop) change(ctx context.Context, c *messenger.Change) (*messenger.ProposeReply, error) {
	out, err := l.Ask(ctx, c)
	reply, _ := out.(*messenger.ProposeReply)
	return reply, err
}

// viewBook returns what f returns for the book between two events, or the
// zero value with an error; see readVault.
func viewBook[T any](ctx context.Context, l *logLoop, f func(*configurer.Book) T) (T, error) {
	var out, none T
	if err := l.Look(ctx, func() { out = f(l.book) }); err != nil {
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
