package keeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

// Number of restarts of one vault, maximum number of events between two, and
// number of restarts after which a router is replaced.
const (
	restartsOfVault   = 400
	eventsPerRestart  = 6
	restartsPerRouter = 9
)

// Ways for the keeper to end: it closes its store, or it is killed between two
// commits, before the sync of a commit, after that sync, or after the mirror's.
const (
	endClosed = iota
	endKilled
	endBeforeSync
	endBeforeMirror
	endBeforeAnswer
	endKinds
)

// localMirror is a mirror in the same process, with a store of its own.
type localMirror struct {
	*copyStore
	// dropCommits makes the mirror miss the commits sent to it.
	dropCommits bool
}

func (*localMirror) exists() bool                                    { return true }
func (*localMirror) mark(context.Context, *messenger.SoloMark) error { return errNotDurable }
func (m *localMirror) copy(_ context.Context, r *messenger.CopyRequest) error {
	if m.dropCommits {
		return errConnectionBroken
	}
	_, err := m.applyCommit(r)
	return err
}

// sentEvent is an event with a check of its reply, for the first time it is
// sent and for repetitions.
type sentEvent struct {
	event budgeter.Event
	check func(x budgeter.Reply, again bool)
}

// leaseHolder is a router's lease as the router knows it.
type leaseHolder struct {
	workspace, router     string
	incarnation, sequence uint64
	held                  int64
}

// restartHarness holds a vault on a real store, its mirror, and a plain model
// of the accounts in books.
type restartHarness struct {
	t      *testing.T
	g      *gomega.WithT
	rand   *rand.Rand
	dir    string
	store  *storer.Store
	closes func() error
	loop   *vaultLoop
	mirror *localMirror

	books   map[string]*messenger.Book
	holders []*leaseHolder
	// topUps and charges map ids to their first amounts.
	topUps, charges map[string]int64
	// ids holds the keys of charges, in order.
	ids []string
}

// open starts the keeper's vault from its folder, as budgetServer.openVault
// does, and pairs it with the mirror.
func (r *restartHarness) open() {
	var err error
	r.store, r.closes, err = storer.Open(r.dir)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.loop = newVaultLoop("a", r.store, r.mirror, zap.NewNop())
	begun, err := r.loop.initialized()
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	if !begun {
		r.g.Expect(r.loop.begin(budgeter.StartIncarnation{Incarnation: 1})).To(gomega.Succeed())
		return
	}
	r.g.Expect(r.loop.load()).To(gomega.Succeed())
	r.g.Expect(r.loop.start()).To(gomega.Succeed())
}

// pair brings the mirror up to date by full copies, because the commits kept
// in memory are lost with each restart.
func (r *restartHarness) pair() {
	state, _, err := r.mirror.readState("a")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	if !proto.Equal(state, r.loop.copier.State()) {
		p := &partStream{}
		r.g.Expect(r.store.View(func(v storer.View) error {
			return sendRows(v, bucketCommit, keyState, eachVaultRow, func(m *messenger.CopyPart) error {
				p.list = append(p.list, proto.CloneOf(m))
				return nil
			})
		})).To(gomega.Succeed())
		r.g.Expect(r.mirror.replace(p)).To(gomega.Succeed())
	}
	paired := storer.Row{Bucket: bucketCommit, Key: keyPaired, Value: []byte("1")}
	r.g.Expect(r.store.Apply([]storer.Row{paired})).To(gomega.Succeed())
	r.g.Expect(r.loop.copier.MirrorCaughtUp(r.loop.copier.State())).To(gomega.BeTrue())
}

// crash continues with the present bytes of the store's file, without closing
// it.
func (r *restartHarness) crash() {
	b, err := os.ReadFile(filepath.Join(r.dir, "rattanhoist.db"))
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	next := r.t.TempDir()
	r.g.Expect(os.WriteFile(filepath.Join(next, "rattanhoist.db"), b, 0o600)).To(gomega.Succeed())
	r.g.Expect(r.closes()).To(gomega.Succeed())
	r.g.Expect(os.RemoveAll(r.dir)).To(gomega.Succeed())
	r.dir = next
}

// commit has the vault process a batch and checks the replies.
func (r *restartHarness) commit(batch []sentEvent, again bool) {
	calls := make([]vaultCall, len(batch))
	for i, s := range batch {
		calls[i] = vaultCall{event: s.event, done: make(chan budgeter.Reply, 1)}
	}
	r.g.Expect(r.loop.commit(r.t.Context(), calls)).To(gomega.Succeed())
	for i, s := range batch {
		s.check(<-calls[i].done, again)
	}
}

// randomBatch makes a random batch and applies it to the model.
func (r *restartHarness) randomBatch() (batch []sentEvent) {
	for range 1 + r.rand.IntN(eventsPerRestart) {
		h := r.holders[r.rand.IntN(len(r.holders))]
		b := r.books[h.workspace]
		switch kind := r.rand.IntN(4); {
		case kind == 0:
			batch = append(batch, r.topUp(b))
		case kind == 1 || h.held == 0:
			batch = append(batch, r.lease(h, b))
		case kind == 2:
			batch = append(batch, r.charge(h, b))
		default:
			batch = append(batch, r.returnRights(h, b))
		}
	}
	return batch
}

func (r *restartHarness) topUp(b *messenger.Book) sentEvent {
	id := fmt.Sprintf("a/%s-%d", b.Workspace, r.rand.IntN(len(r.topUps)+2))
	n, known := r.topUps[id]
	if !known {
		n = 1 + r.rand.Int64N(1000)
		r.topUps[id] = n
		b.MintedTokens += n
		b.UnspentTokens += n
	}
	return sentEvent{
		event: budgeter.Mint{Request: &messenger.TopUpRequest{Workspace: b.Workspace, TopUpId: id, Tokens: n}},
		check: func(x budgeter.Reply, _ bool) { r.g.Expect(x.Err).NotTo(gomega.HaveOccurred(), id) },
	}
}

func (r *restartHarness) lease(h *leaseHolder, b *messenger.Book) sentEvent {
	h.sequence++
	want := r.rand.Int64N(400)
	grant := min(want, b.UnspentTokens)
	b.UnspentTokens -= grant
	b.LeasedTokens += grant
	h.held += grant
	sequence := h.sequence
	return sentEvent{
		event: budgeter.Lease{Request: &messenger.LeaseRequest{
			Workspace: h.workspace, Router: h.router, Incarnation: h.incarnation, Sequence: sequence, WantTokens: want,
		}},
		check: func(x budgeter.Reply, again bool) {
			r.g.Expect(x.Err).NotTo(gomega.HaveOccurred())
			// The vault keeps the last grant only.
			if !again || sequence == h.sequence {
				r.g.Expect(x.Message.(*messenger.LeaseReply).GrantedTokens).To(gomega.Equal(grant))
			}
		},
	}
}

// charge bills a new request, or repeats one that may have been billed
// hundreds of restarts ago, then at another price.
func (r *restartHarness) charge(h *leaseHolder, b *messenger.Book) sentEvent {
	tokens := r.rand.Int64N(h.held + 1)
	id := fmt.Sprintf("request-%d", r.rand.IntN(2*len(r.ids)+2))
	key := b.Workspace + "/" + id
	billed, known := r.charges[key]
	if !known {
		billed = tokens
		r.charges[key] = tokens
		r.ids = append(r.ids, key)
		h.held -= tokens
		b.LeasedTokens -= tokens
		b.ChargedTokens += tokens
	}
	return sentEvent{
		event: budgeter.Bill{Request: &messenger.ChargeRequest{Router: h.router, Incarnation: h.incarnation, Charges: []*messenger.Charge{
			{Workspace: h.workspace, RequestId: id, Tokens: tokens},
		}}},
		check: func(x budgeter.Reply, _ bool) {
			r.g.Expect(x.Err).NotTo(gomega.HaveOccurred())
			got := x.Message.(*messenger.ChargeReply).Results[0]
			r.g.Expect(got.State).To(gomega.Equal(messenger.ChargeState_CHARGE_STATE_BILLED), key)
			r.g.Expect(got.BilledTokens).To(gomega.Equal(billed), key)
		},
	}
}

func (r *restartHarness) returnRights(h *leaseHolder, b *messenger.Book) sentEvent {
	h.sequence++
	n := r.rand.Int64N(h.held + 1)
	h.held -= n
	b.LeasedTokens -= n
	b.UnspentTokens += n
	return sentEvent{
		event: budgeter.ReturnRights{Request: &messenger.ReturnRequest{
			Workspace: h.workspace, Router: h.router, Incarnation: h.incarnation, Sequence: h.sequence, Tokens: n,
		}},
		check: func(x budgeter.Reply, _ bool) { r.g.Expect(x.Err).NotTo(gomega.HaveOccurred()) },
	}
}

// newRouter registers a new incarnation of a router, upon which the remaining
// rights of the old one return.
func (r *restartHarness) newRouter(name string) {
	var old uint64
	for _, h := range r.holders {
		if h.router != name {
			continue
		}
		old = h.incarnation
		b := r.books[h.workspace]
		b.LeasedTokens -= h.held
		b.UnspentTokens += h.held
		h.held, h.sequence = 0, 0
		h.incarnation++
	}
	good := func(x budgeter.Reply, _ bool) { r.g.Expect(x.Err).NotTo(gomega.HaveOccurred()) }
	r.commit([]sentEvent{
		{budgeter.Register{Request: &messenger.RegisterRequest{Router: name, Incarnation: old + 1}}, good},
		{budgeter.Release{Router: name, Incarnation: old, Witness: &messenger.FenceWitnessReply{}}, good},
	}, false)
}

// expectBooks compares every account with the model.
func (r *restartHarness) expectBooks(when string, books map[string]*messenger.Book) {
	for name, want := range books {
		got := r.loop.vault.Book(name)
		r.g.Expect(proto.Equal(got, want)).To(gomega.BeTrue(), "%s: %v, want %v", when, got, want)
		r.g.Expect(got.ChargedTokens).To(gomega.BeNumerically("<=", got.MintedTokens), when)
	}
}

func (r *restartHarness) snapshot() map[string]*messenger.Book {
	out := map[string]*messenger.Book{}
	for k, b := range r.books {
		out[k] = proto.CloneOf(b)
	}
	return out
}

// stopAndRestart stops the keeper during a batch in the given way and
// restarts it. The accounts must then be exactly those before the batch or
// those after it.
func (r *restartHarness) stopAndRestart(kind int, batch []sentEvent, before map[string]*messenger.Book) {
	want := r.books
	switch kind {
	case endClosed, endKilled:
		r.commit(batch, false)
	case endBeforeSync:
		want = before
		for _, s := range batch {
			r.loop.step(s.event)
		}
	case endBeforeMirror, endBeforeAnswer:
		r.mirror.dropCommits = kind == endBeforeMirror
		var rows []budgeter.Write
		for _, s := range batch {
			w, _ := r.loop.step(s.event)
			rows = append(rows, w...)
		}
		r.g.Expect(r.loop.sync(r.t.Context(), budgeter.MergeWrites(rows))).To(gomega.Succeed())
		r.mirror.dropCommits = false
	}
	if kind == endClosed {
		r.g.Expect(r.closes()).To(gomega.Succeed())
	} else {
		r.crash()
	}
	r.open()
	r.expectBooks(fmt.Sprintf("after end %d", kind), want)
	r.pair()
}

// Restarting a keeper many times must not let a budget be overspent, a
// request be billed twice or rights be lost. These happen if a row is written
// late or not at all, or is restored differently from how it was stored.
// Random top-ups, leases, charges, returns, new router incarnations and
// resends of old charges and top-ups run against a vault that ends in one of
// five ways and restarts from the bytes of its file, 400 times. Unanswered
// events, and sometimes answered ones, are sent again.
func TestBooksHoldOverHundredsOfRestarts(t *testing.T) {
	r := &restartHarness{
		t: t, g: gomega.NewWithT(t), rand: rand.New(rand.NewPCG(7, 1)), dir: t.TempDir(),
		mirror: &localMirror{copyStore: newHolder(t)},
		books:  map[string]*messenger.Book{}, topUps: map[string]int64{}, charges: map[string]int64{},
	}
	for _, w := range []string{"labone", "tesano", "dzorwulu"} {
		r.books[w] = &messenger.Book{Workspace: w, Zone: "a"}
		for _, name := range []string{"a-1", "a-2"} {
			r.holders = append(r.holders, &leaseHolder{workspace: w, router: name, incarnation: 1})
		}
	}
	r.open()
	r.pair()
	kinds := [endKinds]int{}
	for i := range restartsOfVault {
		before := r.snapshot()
		batch := r.randomBatch()
		kind := r.rand.IntN(endKinds)
		kinds[kind]++
		r.stopAndRestart(kind, batch, before)
		if kind > endKilled || r.rand.IntN(2) == 0 {
			r.commit(batch, kind != endBeforeSync)
			r.expectBooks("after a resend", r.books)
		}
		if i%restartsPerRouter == 0 {
			r.newRouter([]string{"a-1", "a-2"}[r.rand.IntN(2)])
			r.expectBooks("after a router's restart", r.books)
		}
	}
	for _, key := range r.ids {
		b, err := r.store.Get(budgeter.BucketCharges, key)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		c := &messenger.Charge{}
		r.g.Expect(proto.Unmarshal(b, c)).To(gomega.Succeed())
		r.g.Expect(c.Tokens).To(gomega.Equal(r.charges[key]), key)
	}
	r.g.Expect(r.closes()).To(gomega.Succeed())
	t.Logf("ends by kind %v, requests billed %d, top-ups %d", kinds, len(r.ids), len(r.topUps))
}
