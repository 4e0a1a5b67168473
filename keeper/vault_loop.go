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

// errNotDurable means that an answer would not be durable at present: the
// vault is starting, or neither the mirror nor a holder of the solo mark
// knows of the commit. The same request succeeds later.
var errNotDurable = merry.Sentinel("budget can't be answered durably now; ask again")

const (
	// maxBatchEvents bounds the events that share one sync.
	maxBatchEvents = 512
	// maxCommitInterval is the minimum time between two commits in a zone of
	// fullPacingRouters or more. It decreases with the number of routers, to
	// zero at minRouters, the fewest that a zone has. An event that arrives
	// later than that after the last commit does not wait.
	maxCommitInterval = 5 * time.Millisecond
	fullPacingRouters = 18
	minRouters        = 2
	// mirrorTimeout bounds how long answers wait for the mirror before the
	// vault continues without it.
	mirrorTimeout = 300 * time.Millisecond
)

// Rows for the state of the last commit, the incarnation that was paired, and
// a restore in progress.
const (
	bucketCommit = "budget_commit"
	keyState     = "state"
	keyPaired    = "paired"
	keyRestoring = "restoring"
)

// vaultCall is an event with the channel for its reply, or a read of the
// vault.
type vaultCall struct {
	event budgeter.Event
	read  func(*budgeter.Vault)
	done  chan budgeter.Reply
}

// mirrorLink copies commits to the mirror and stores solo marks.
type mirrorLink interface {
	// exists reports whether a mirror is configured.
	exists() bool
	// copy returns nil once the mirror has synced the commit.
	copy(context.Context, *messenger.CopyRequest) error
	// mark returns nil once a node other than the mirror has stored the mark.
	mark(context.Context, *messenger.SoloMark) error
}

// vaultLoop runs the vault. One goroutine steps it, syncs the rows of all
// queued events in one commit on both disks, and only then replies.
type vaultLoop struct {
	callQueue[vaultCall]
	vault *budgeter.Vault
	store *storer.Store
	link  mirrorLink
	log   *zap.Logger
	// lastCommit is when the latest commit of events began. Only the
	// goroutine of run uses it.
	lastCommit time.Time
	// now and after are the clock, replaced in tests.
	now   func() time.Time
	after func(time.Duration) <-chan time.Time
	// mu guards copier, which mirrorSync uses too.
	mu     sync.Mutex
	copier *budgeter.Copier
	// mode is the copier's mode, readable without waiting for mu.
	mode atomic.Value
	// incarnation is the vault's incarnation, 0 until the vault is open.
	incarnation atomic.Uint64
}

func newVaultLoop(zone string, store *storer.Store, link mirrorLink, log *zap.Logger) *vaultLoop {
	l := &vaultLoop{
		vault: budgeter.NewVault(zone, store), store: store, link: link, log: log,
		callQueue: newCallQueue[vaultCall](maxBatchEvents), now: time.Now, after: time.After,
	}
	l.mode.Store(budgeter.ModeStarting)
	return l
}

// initialized reports whether the store holds a vault whose first commit is
// synced.
func (l *vaultLoop) initialized() (bool, error) {
	state, err := l.store.Get(bucketCommit, keyState)
	if err != nil {
		return false, err
	}
	restoring, err := l.store.Get(bucketCommit, keyRestoring)
	return state != nil && restoring == nil, err
}

// load restores the vault from the stored rows and checks that its accounts
// balance.
func (l *vaultLoop) load() error {
	for _, b := range budgeter.ResidentBuckets {
		err := l.store.Each(b, func(key string, value []byte) error { return l.vault.Restore(b, key, value) })
		if err != nil {
			return err
		}
	}
	return l.vault.Check()
}

// start creates the copier from the stored state.
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
	modeVar.Set(mode)
}

// currentMode returns how commits are copied; see budgeter.ModePaired.
func (l *vaultLoop) currentMode() string { return l.mode.Load().(string) }

// begin makes the first commit of an incarnation. Restored rows become valid
// with this commit.
func (l *vaultLoop) begin(e budgeter.StartIncarnation) error {
	var writes []budgeter.Write
	for _, a := range l.vault.Step(time.Now(), e) {
		if w, ok := a.(budgeter.Write); ok {
			writes = append(writes, w)
		}
	}
	l.startCopier(&messenger.CopyState{Zone: l.vault.Zone(), Incarnation: e.Incarnation}, false)
	r := l.nextCommit(budgeter.MergeWrites(writes))
	rows := append(storeRows(r), storer.Row{Bucket: bucketCommit, Key: keyRestoring}, storer.Row{Bucket: bucketCommit, Key: keyPaired})
	if err := l.store.Apply(rows); err != nil {
		return err
	}
	l.committed(r)
	return nil
}

// run steps the vault until ctx ends or the store fails. After a failed write
// memory is ahead of the disk, so the process must not continue: it would
// answer from rights that are gone after a restart.
func (l *vaultLoop) run(ctx context.Context) error {
	defer close(l.stopped)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-l.calls:
			if err := l.commit(ctx, l.collectEvents(ctx, c)); err != nil {
				return err
			}
		}
	}
}

// collectEvents returns the events of the next commit: those already queued
// and, if the last commit was less than commitInterval ago, those that arrive
// until then. Each commit costs a call to the mirror and two syncs whatever
// its size, and a busy keeper would otherwise make one for nearly every
// event. Reads are answered at once from the vault as last synced.
func (l *vaultLoop) collectEvents(ctx context.Context, first vaultCall) []vaultCall {
	events := l.answerReads(l.batch(first))
	wait := l.lastCommit.Add(commitInterval(l.vault.RouterCount())).Sub(l.now())
	if len(events) == 0 || wait <= 0 {
		return events
	}
	due := l.after(wait)
	for len(events) < maxBatchEvents {
		select {
		case c := <-l.calls:
			events = append(events, l.answerReads([]vaultCall{c})...)
		case <-due:
			return events
		case <-ctx.Done():
			return events
		}
	}
	return events
}

// commitInterval returns the minimum time between commits in a zone with the
// given number of routers. With few routers commits are rare, and a wait
// would only slow down a caller that sends its requests one after another.
func commitInterval(routers int) time.Duration {
	paced := min(max(routers, minRouters), fullPacingRouters) - minRouters
	return maxCommitInterval * time.Duration(paced) / (fullPacingRouters - minRouters)
}

// commit steps the vault with a batch and syncs all events together. Reads
// are answered before the step: afterwards they would see changes that a
// crash can still undo, and a transfer sent because of such a read would
// exist in two zones.
func (l *vaultLoop) commit(ctx context.Context, batch []vaultCall) error {
	events := l.answerReads(batch)
	if len(events) == 0 {
		return nil
	}
	l.lastCommit = l.now()
	var writes []budgeter.Write
	replies := make([]budgeter.Reply, len(events))
	for i, c := range events {
		w, r := l.step(c.event)
		writes = append(writes, w...)
		replies[i] = r
	}
	if err := l.sync(ctx, budgeter.MergeWrites(writes)); err != nil {
		return err
	}
	countEvents.Add(int64(len(events)))
	mode := l.currentMode()
	for i, c := range events {
		c.done <- releaseReply(mode, c.event, replies[i])
	}
	return nil
}

// answerReads answers the reads in a batch and returns the events.
func (l *vaultLoop) answerReads(batch []vaultCall) []vaultCall {
	var events []vaultCall
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

// step applies an event to the vault and returns the rows to write and the
// reply. It refuses all events while the vault is starting, and transfers to
// other zones while it runs without its mirror.
func (l *vaultLoop) step(e budgeter.Event) (writes []budgeter.Write, reply budgeter.Reply) {
	mode := l.currentMode()
	if _, ok := e.(budgeter.RequestTransfer); mode == budgeter.ModeStarting || ok && mode == budgeter.ModeSolo {
		return nil, budgeter.Reply{Err: errNotDurable}
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

// releaseReply returns the reply to send after a commit: the vault's own,
// marked with how durable it is, or errNotDurable.
func releaseReply(mode string, e budgeter.Event, r budgeter.Reply) budgeter.Reply {
	if r.Err != nil {
		return r
	}
	if mode != budgeter.ModePaired && (mode != budgeter.ModeSolo || budgeter.NeedsTwoDisks(e)) {
		countRefused.Add(1)
		return budgeter.Reply{Err: errNotDurable}
	}
	if c, ok := r.Message.(*messenger.ChargeReply); ok {
		c.TwoDisks = mode == budgeter.ModePaired
	}
	return r
}

// sync writes the rows to this disk and then to the mirror's. If the mirror
// were written first or concurrently, it could hold a commit that this disk
// lost in a crash. A later restore would then bring back rights that have
// been spent in another way since.
func (l *vaultLoop) sync(ctx context.Context, rows []*messenger.CopyRow) error {
	if len(rows) == 0 {
		l.placeSoloMark(ctx)
		return nil
	}
	r := l.nextCommit(rows)
	if err := l.store.Apply(storeRows(r)); err != nil {
		return err
	}
	countCommits.Add(1)
	countRows.Add(int64(len(rows)))
	if l.committed(r) == budgeter.ModePaired {
		if err := l.copy(ctx, r); err != nil {
			l.mirrorLost(err)
		}
	}
	l.placeSoloMark(ctx)
	return nil
}

// copy sends a commit to the mirror, if there is one.
func (l *vaultLoop) copy(ctx context.Context, r *messenger.CopyRequest) error {
	if !l.link.exists() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	countMirrored.Add(int64(proto.Size(r)))
	return l.link.copy(ctx, r)
}

// nextCommit assigns the next commit number to the rows.
func (l *vaultLoop) nextCommit(rows []*messenger.CopyRow) *messenger.CopyRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copier.Prepare(rows)
}

// committed records that a commit is synced to this disk and returns the
// mode.
func (l *vaultLoop) committed(r *messenger.CopyRequest) string {
	l.vault.Synced()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copier.Commit(r)
	countAtRisk.Set(int64(l.copier.UnmirroredCommits()))
	return l.copier.Mode()
}

// mirrorLost records that the mirror does not take commits.
func (l *vaultLoop) mirrorLost(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Warn("mirror does not take commits", zap.Error(err))
	l.copier.MirrorLost()
}

// placeSoloMark stores a mark at another node, which records that the
// mirror's copy is falling behind. Nothing is answered without the mirror
// before that.
func (l *vaultLoop) placeSoloMark(ctx context.Context) {
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
	l.copier.SoloMarkStored()
}

// storeRows returns the rows of a commit and its state as rows of this
// keeper's store.
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
		// Marshalling fails only on invalid UTF-8, which gRPC rejects on
		// receipt.
		panic(err)
	}
	return append([]byte{}, b...)
}

// submit enqueues a call and waits for its reply.
func (l *vaultLoop) submit(ctx context.Context, c vaultCall) (proto.Message, error) {
	c.done = make(chan budgeter.Reply, 1)
	if err := l.enqueue(ctx, c); err != nil {
		return nil, err
	}
	r, err := await(ctx, l.callQueue, c.done)
	if err != nil {
		return nil, err
	}
	return r.Message, r.Err
}

// handle has the vault process an event and returns the reply once it is
// durable.
func (l *vaultLoop) handle(ctx context.Context, e budgeter.Event) (proto.Message, error) {
	return l.submit(ctx, vaultCall{event: e})
}

// mirrorUpToDate reports whether the mirror has everything that was synced
// before the call. Reading the mode directly is not enough, because it stays
// paired while a commit is on its way to the mirror. A read by the loop runs
// between two commits, where the mode is conclusive.
func (l *vaultLoop) mirrorUpToDate(ctx context.Context) bool {
	mode, err := readVault(ctx, l, func(*budgeter.Vault) string { return l.currentMode() })
	return err == nil && mode == budgeter.ModePaired
}

// read runs f between two commits, on the vault as last synced. It waits for
// at most the sync in progress.
func (l *vaultLoop) read(ctx context.Context, f func(*budgeter.Vault)) error {
	_, err := l.submit(ctx, vaultCall{read: f})
	return err
}

// readVault returns the result of f for the vault as last synced, or the zero
// value with an error. An abandoned read may still run, so its result must
// not be accessed then; callers therefore get it as a return value and not
// through captured variables.
func readVault[T any](ctx context.Context, l *vaultLoop, f func(*budgeter.Vault) T) (T, error) {
	var out, none T
	if _, err := l.submit(ctx, vaultCall{read: func(v *budgeter.Vault) { out = f(v) }}); err != nil {
		return none, err
	}
	return out, nil
}
