package keeper

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

// errNotYet says that an answer would not be durable now: the vault starts,
// or neither the mirror nor another holder knows of the commit. The same
// request works later.
var errNotYet = merry.Sentinel("budget can't be answered durably now; ask again")

const (
	// commitMost bounds how many events share one sync.
	commitMost = 512
	// commitEvery is the least time from one commit to the next in a zone of
	// pacedRouters and more, and less in smaller ones, down to nothing with the
	// two routers that every zone has. An event that comes later than that
	// waits for nothing.
	commitEvery  = 5 * time.Millisecond
	pacedRouters = 18
	leastRouters = 2
	// mirrorTimeout bounds how long answers wait for the mirror before the
	// vault goes on alone.
	mirrorTimeout = 300 * time.Millisecond
)

// The row of the last commit, the incarnation that was paired, and the mark
// of a restore in progress.
const (
	bucketCommit = "budget_commit"
	keyState     = "state"
	keyPaired    = "paired"
	keyRestoring = "restoring"
)

// call is one event with the place for its answer, or a read.
type call struct {
	event budgeter.Event
	read  func(*budgeter.Vault)
	done  chan budgeter.Reply
}

// mirrorLink copies commits to the mirror and leaves solo marks.
type mirrorLink interface {
	// Exists reports whether there is a mirror at all.
	exists() bool
	// Copy returns nil once the mirror has synced the commit.
	copy(context.Context, *messenger.CopyRequest) error
	// Mark returns nil once another node than the mirror holds the mark.
	mark(context.Context, *messenger.SoloMark) error
}

// vaultLoop runs the vault: one goroutine steps it, syncs the rows of every
// waiting event in one commit on both disks, and only then answers.
type vaultLoop struct {
	callQueue[call]
	vault *budgeter.Vault
	store *storer.Store
	link  mirrorLink
	log   *zap.Logger
	// Last is when the latest commit of events began; of the goroutine of run.
	last time.Time
	// Now and after are the clock.
	now   func() time.Time
	after func(time.Duration) <-chan time.Time
	// Mu guards copier, which pairing shares.
	mu     sync.Mutex
	copier *budgeter.Copier
	// Mode is the copier's, for those who may not wait for mu.
	mode atomic.Value
	// Incarnation is the vault's, 0 until it is open.
	incarnation atomic.Uint64
}

func newVaultLoop(zone string, store *storer.Store, link mirrorLink, log *zap.Logger) *vaultLoop {
	l := &vaultLoop{
		vault: budgeter.NewVault(zone, store), store: store, link: link, log: log,
		callQueue: newCallQueue[call](commitMost), now: time.Now, after: time.After,
	}
	l.mode.Store(budgeter.ModeStarting)
	return l
}

// begun reports whether the store holds a vault whose first commit is synced.
func (l *vaultLoop) begun() (bool, error) {
	state, err := l.store.Get(bucketCommit, keyState)
	if err != nil {
		return false, err
	}
	restoring, err := l.store.Get(bucketCommit, keyRestoring)
	return state != nil && restoring == nil, err
}

// load takes the stored rows in and checks that the books balance.
func (l *vaultLoop) load() error {
	for _, b := range budgeter.Resident {
		err := l.store.Each(b, func(key string, value []byte) error { return l.vault.Restore(b, key, value) })
		if err != nil {
			return err
		}
	}
	return l.vault.Check()
}

// start prepares the copier from the stored state.
func (l *vaultLoop) start() error {
	b, err := l.store.Get(bucketCommit, keyState)
	if err != nil {
		return err
	}
	state := &messenger.CopyState{}
	if err := proto.Unmarshal(b, state); err != nil {
		return budgeter.ErrCorrupt
	}
	paired, err := l.store.Get(bucketCommit, keyPaired)
	if err != nil {
		return err
	}
	l.startCopier(state, string(paired) == strconv.FormatUint(state.Incarnation, 10))
	return nil
}

func (l *vaultLoop) startCopier(state *messenger.CopyState, paired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copier = budgeter.NewCopier(state, paired, func(from, to string) {
		l.setMode(to)
		l.log.Info("mirror mode changed", zap.String("from", from), zap.String("to", to))
	})
	l.incarnation.Store(state.Incarnation)
	l.setMode(l.copier.Mode())
}

func (l *vaultLoop) setMode(mode string) {
	l.mode.Store(mode)
	textMode.Set(mode)
}

// currentMode returns how commits are copied; see budgeter.ModePaired.
func (l *vaultLoop) currentMode() string { return l.mode.Load().(string) }

// begin makes the first commit of an incarnation. Rows that were restored
// count only from here on.
func (l *vaultLoop) begin(e budgeter.Begin) error {
	var writes []budgeter.Write
	for _, a := range l.vault.Step(time.Now(), e) {
		if w, ok := a.(budgeter.Write); ok {
			writes = append(writes, w)
		}
	}
	l.startCopier(&messenger.CopyState{Zone: l.vault.Zone(), Incarnation: e.Incarnation}, false)
	r := l.prepare(budgeter.CopyRows(writes))
	rows := append(storeRows(r), storer.Row{Bucket: bucketCommit, Key: keyRestoring}, storer.Row{Bucket: bucketCommit, Key: keyPaired})
	if err := l.store.Apply(rows); err != nil {
		return err
	}
	l.committed(r)
	return nil
}

// run steps the vault until ctx ends or the store fails. After a failed
// write the memory is ahead of the disk, so the process must not go on: it
// would answer from rights that a restart forgets.
func (l *vaultLoop) run(ctx context.Context) error {
	defer close(l.ended)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-l.calls:
			if err := l.commit(ctx, l.gather(ctx, c)); err != nil {
				return err
			}
		}
	}
}

// gather returns the events of the next commit: those that wait, and where the
// last commit is less than commitEvery ago, those that come until then. Each
// commit costs a call to the mirror and two syncs, whatever it holds: without
// this a busy keeper makes one of nearly every event. Reads are answered at
// once; the vault is as it was last synced.
func (l *vaultLoop) gather(ctx context.Context, first call) []call {
	events := l.answerReads(l.batch(first))
	wait := l.last.Add(paceOf(l.vault.Routers())).Sub(l.now())
	if len(events) == 0 || wait <= 0 {
		return events
	}
	due := l.after(wait)
	for len(events) < commitMost {
		select {
		case c := <-l.calls:
			events = append(events, l.answerReads([]call{c})...)
		case <-due:
			return events
		case <-ctx.Done():
			return events
		}
	}
	return events
}

// paceOf returns the least time between commits in a zone of so many routers.
// With few routers the commits are few, and a wait would only make a caller who
// sends one request after the other slower.
func paceOf(routers int) time.Duration {
	paced := min(max(routers, leastRouters), pacedRouters) - leastRouters
	return commitEvery * time.Duration(paced) / (pacedRouters - leastRouters)
}

// commit answers reads at once; the events share one sync. The reads go first:
// after a step they would see what a crash may still take back, and a transfer
// that left on the strength of it would exist in two zones.
func (l *vaultLoop) commit(ctx context.Context, batch []call) error {
	events := l.answerReads(batch)
	if len(events) == 0 {
		return nil
	}
	l.last = l.now()
	var writes []budgeter.Write
	replies := make([]budgeter.Reply, len(events))
	for i, c := range events {
		w, r := l.step(c.event)
		writes = append(writes, w...)
		replies[i] = r
	}
	if err := l.sync(ctx, budgeter.CopyRows(writes)); err != nil {
		return err
	}
	countEvents.Add(int64(len(events)))
	mode := l.currentMode()
	for i, c := range events {
		c.done <- release(mode, c.event, replies[i])
	}
	return nil
}

// answerReads returns the calls that are events.
func (l *vaultLoop) answerReads(batch []call) []call {
	var events []call
	for _, c := range batch {
		if c.read == nil {
			events = append(events, c)
			continue
		}
		c.read(l.vault)
		c.done <- budgeter.Reply{}
	}
	return events
}

func (l *vaultLoop) step(e budgeter.Event) (writes []budgeter.Write, reply budgeter.Reply) {
	mode := l.currentMode()
	if _, ok := e.(budgeter.Ask); mode == budgeter.ModeStarting || ok && mode == budgeter.ModeSolo {
		return nil, budgeter.Reply{Err: errNotYet}
	}
	for _, a := range l.vault.Step(time.Now(), e) {
		switch a := a.(type) {
		case budgeter.Write:
			writes = append(writes, a)
		case budgeter.Reply:
			reply = a
		}
	}
	return writes, reply
}

// release decides whether an answer may leave and says how durable it is.
func release(mode string, e budgeter.Event, r budgeter.Reply) budgeter.Reply {
	if r.Err != nil {
		return r
	}
	if mode != budgeter.ModePaired && (mode != budgeter.ModeSolo || budgeter.NeedsTwoDisks(e)) {
		countRefused.Add(1)
		return budgeter.Reply{Err: errNotYet}
	}
	if c, ok := r.Message.(*messenger.ChargeReply); ok {
		c.TwoDisks = mode == budgeter.ModePaired
	}
	return r
}

// sync writes the rows to this disk and then to the mirror's. Were the mirror
// written first or at the same time, it could hold a commit that a crash took
// from this disk, and a later restore would bring back rights that had been
// spent otherwise meanwhile.
func (l *vaultLoop) sync(ctx context.Context, rows []*messenger.CopyRow) error {
	if len(rows) == 0 {
		l.leaveMark(ctx)
		return nil
	}
	r := l.prepare(rows)
	if err := l.store.Apply(storeRows(r)); err != nil {
		return err
	}
	countCommits.Add(1)
	countRows.Add(int64(len(rows)))
	if l.committed(r) == budgeter.ModePaired {
		if err := l.copy(ctx, r); err != nil {
			l.lost(err)
		}
	}
	l.leaveMark(ctx)
	return nil
}

func (l *vaultLoop) copy(ctx context.Context, r *messenger.CopyRequest) error {
	if !l.link.exists() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	countMirrored.Add(int64(proto.Size(r)))
	return l.link.copy(ctx, r)
}

// prepare gives the rows the next commit number.
func (l *vaultLoop) prepare(rows []*messenger.CopyRow) *messenger.CopyRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copier.Prepare(rows)
}

// committed notes that a commit is synced here and returns the mode.
func (l *vaultLoop) committed(r *messenger.CopyRequest) string {
	l.vault.Synced()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copier.Commit(r)
	countAtRisk.Set(int64(l.copier.AtRisk()))
	return l.copier.Mode()
}

func (l *vaultLoop) lost(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Warn("mirror does not take commits", zap.Error(err))
	l.copier.Lost()
}

// leaveMark has another node remember that the copy falls behind, before
// anything is answered without it.
func (l *vaultLoop) leaveMark(ctx context.Context) {
	if l.currentMode() != budgeter.ModeMarking {
		return
	}
	l.mu.Lock()
	commit := l.copier.State().Number
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	if err := l.link.mark(ctx, l.vault.SoloMark(commit)); err != nil {
		l.log.Debug("nobody holds the solo mark", zap.Error(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copier.Marked()
}

// storeRows are the rows of a commit with its state, for this disk.
func storeRows(r *messenger.CopyRequest) []storer.Row {
	rows := make([]storer.Row, 0, len(r.Rows)+1)
	for _, x := range r.Rows {
		rows = append(rows, storer.Row{Bucket: x.Bucket, Key: x.Key, Value: x.Value})
	}
	return append(rows, storer.Row{Bucket: bucketCommit, Key: keyState, Value: marshal(r.State)})
}

func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		// Marshalling fails only on invalid UTF-8, which the wire rejects.
		panic(err)
	}
	return append([]byte{}, b...)
}

func (l *vaultLoop) do(ctx context.Context, c call) (proto.Message, error) {
	c.done = make(chan budgeter.Reply, 1)
	if err := l.put(ctx, c); err != nil {
		return nil, err
	}
	r, err := await(ctx, l.callQueue, c.done)
	if err != nil {
		return nil, err
	}
	return r.Message, r.Err
}

// handle has the vault handle an event and returns its durable answer.
func (l *vaultLoop) handle(ctx context.Context, e budgeter.Event) (proto.Message, error) {
	return l.do(ctx, call{event: e})
}

// copied reports whether the mirror has everything that was synced before the
// call. The mode alone does not say so: it stays paired while a commit is on
// its way to the mirror. Between two commits it does.
func (l *vaultLoop) copied(ctx context.Context) bool {
	mode, err := readVault(ctx, l, func(*budgeter.Vault) string { return l.currentMode() })
	return err == nil && mode == budgeter.ModePaired
}

// read runs f on the vault as it was last synced, between two commits; it
// waits for no sync but the one in progress.
func (l *vaultLoop) read(ctx context.Context, f func(*budgeter.Vault)) error {
	_, err := l.do(ctx, call{read: f})
	return err
}

// readVault returns what f returns for the vault as it was last synced, or
// the zero value with an error. A read that was given up may still run: its
// result must not be looked at then, so none leaves by captured variables.
func readVault[T any](ctx context.Context, l *vaultLoop, f func(*budgeter.Vault) T) (T, error) {
	var out, none T
	if _, err := l.do(ctx, call{read: func(v *budgeter.Vault) { out = f(v) }}); err != nil {
		return none, err
	}
	return out, nil
}
