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

// Restarts of one vault, and the most events between two.
const (
	restartsOfVault   = 400
	eventsPerRestart  = 6
	restartsPerRouter = 9
)

// How the keeper ends: it closes its store, is killed between two commits,
// before the sync of one, after it, or after the mirror's too.
const (
	endClosed = iota
	endKilled
	endBeforeSync
	endBeforeMirror
	endBeforeAnswer
	endKinds
)

// holderLink is a mirror in the same process, on a store of its own.
type holderLink struct {
	*mirrorHolder
	// Lost commits do not reach it.
	lost bool
}

func (*holderLink) exists() bool                                    { return true }
func (*holderLink) mark(context.Context, *messenger.SoloMark) error { return errNotYet }
func (m *holderLink) copy(_ context.Context, r *messenger.CopyRequest) error {
	if m.lost {
		return errBroken
	}
	_, err := m.take(r)
	return err
}

// sent is an event with what its answer must say, the first time and again.
type sent struct {
	event budgeter.Event
	check func(x budgeter.Reply, again bool)
}

// holder is a router's lease as its side knows it.
type holder struct {
	workspace, router     string
	incarnation, sequence uint64
	held                  int64
}

// restarted is a vault on a real store, its mirror, and the flat book.
type restarted struct {
	t      *testing.T
	g      *gomega.WithT
	rand   *rand.Rand
	dir    string
	store  *storer.Store
	closes func() error
	loop   *vaultLoop
	mirror *holderLink

	books   map[string]*messenger.Book
	holders []*holder
	// TopUps and charges map identities to their first amounts.
	topUps, charges map[string]int64
	// Ids are the keys of charges, in order.
	ids []string
}

// open starts the keeper's vault on its folder, as keeper.open does, and pairs
// it with the mirror.
func (r *restarted) open() {
	var err error
	r.store, r.closes, err = storer.Open(r.dir)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.loop = newVaultLoop("a", r.store, r.mirror, zap.NewNop())
	begun, err := r.loop.begun()
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	if !begun {
		r.g.Expect(r.loop.begin(budgeter.Begin{Incarnation: 1})).To(gomega.Succeed())
		return
	}
	r.g.Expect(r.loop.load()).To(gomega.Succeed())
	r.g.Expect(r.loop.start()).To(gomega.Succeed())
}

// pair brings the mirror up to date by whole copies: the log of commits is
// gone with each restart.
func (r *restarted) pair() {
	state, _, err := r.mirror.head("a")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	if !proto.Equal(state, r.loop.copier.State()) {
		p := &parts{}
		r.g.Expect(r.store.View(func(v storer.View) error {
			return sendRows(v, bucketCommit, keyState, vaultRows, func(m *messenger.CopyPart) error {
				p.list = append(p.list, proto.CloneOf(m))
				return nil
			})
		})).To(gomega.Succeed())
		r.g.Expect(r.mirror.replace(p)).To(gomega.Succeed())
	}
	paired := storer.Row{Bucket: bucketCommit, Key: keyPaired, Value: []byte("1")}
	r.g.Expect(r.store.Apply([]storer.Row{paired})).To(gomega.Succeed())
	r.g.Expect(r.loop.copier.CaughtUp(r.loop.copier.State())).To(gomega.BeTrue())
}

// crash goes on with the bytes that the file has now, without closing it.
func (r *restarted) crash() {
	b, err := os.ReadFile(filepath.Join(r.dir, "rattanhoist.db"))
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	next := r.t.TempDir()
	r.g.Expect(os.WriteFile(filepath.Join(next, "rattanhoist.db"), b, 0o600)).To(gomega.Succeed())
	r.g.Expect(r.closes()).To(gomega.Succeed())
	r.g.Expect(os.RemoveAll(r.dir)).To(gomega.Succeed())
	r.dir = next
}

// commit has the vault answer a batch.
func (r *restarted) commit(batch []sent, again bool) {
	calls := make([]call, len(batch))
	for i, s := range batch {
		calls[i] = call{event: s.event, done: make(chan budgeter.Reply, 1)}
	}
	r.g.Expect(r.loop.commit(r.t.Context(), calls)).To(gomega.Succeed())
	for i, s := range batch {
		s.check(<-calls[i].done, again)
	}
}

// draw makes a batch and enters it into the flat book.
func (r *restarted) draw() (batch []sent) {
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
			batch = append(batch, r.giveBack(h, b))
		}
	}
	return batch
}

func (r *restarted) topUp(b *messenger.Book) sent {
	id := fmt.Sprintf("a/%s-%d", b.Workspace, r.rand.IntN(len(r.topUps)+2))
	n, known := r.topUps[id]
	if !known {
		n = 1 + r.rand.Int64N(1000)
		r.topUps[id] = n
		b.MintedTokens += n
		b.UnspentTokens += n
	}
	return sent{
		event: budgeter.Mint{Request: &messenger.TopUpRequest{Workspace: b.Workspace, TopUpId: id, Tokens: n}},
		check: func(x budgeter.Reply, _ bool) { r.g.Expect(x.Err).NotTo(gomega.HaveOccurred(), id) },
	}
}

func (r *restarted) lease(h *holder, b *messenger.Book) sent {
	h.sequence++
	want := r.rand.Int64N(400)
	grant := min(want, b.UnspentTokens)
	b.UnspentTokens -= grant
	b.LeasedTokens += grant
	h.held += grant
	sequence := h.sequence
	return sent{
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

// charge bills a new request, or one that may have been billed hundreds of
// restarts ago, then with another price.
func (r *restarted) charge(h *holder, b *messenger.Book) sent {
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
	return sent{
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

func (r *restarted) giveBack(h *holder, b *messenger.Book) sent {
	h.sequence++
	n := r.rand.Int64N(h.held + 1)
	h.held -= n
	b.LeasedTokens -= n
	b.UnspentTokens += n
	return sent{
		event: budgeter.Return{Request: &messenger.ReturnRequest{
			Workspace: h.workspace, Router: h.router, Incarnation: h.incarnation, Sequence: h.sequence, Tokens: n,
		}},
		check: func(x budgeter.Reply, _ bool) { r.g.Expect(x.Err).NotTo(gomega.HaveOccurred()) },
	}
}

// newRouter has a router come back under a new incarnation: the old one's
// remainder returns.
func (r *restarted) newRouter(name string) {
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
	r.commit([]sent{
		{budgeter.Register{Request: &messenger.RegisterRequest{Router: name, Incarnation: old + 1}}, good},
		{budgeter.Release{Router: name, Incarnation: old, Witness: &messenger.FenceWitnessReply{}}, good},
	}, false)
}

// expectBooks compares every account with the flat book.
func (r *restarted) expectBooks(when string, books map[string]*messenger.Book) {
	for name, want := range books {
		got := r.loop.vault.Book(name)
		r.g.Expect(proto.Equal(got, want)).To(gomega.BeTrue(), "%s: %v, want %v", when, got, want)
		r.g.Expect(got.ChargedTokens).To(gomega.BeNumerically("<=", got.MintedTokens), when)
	}
}

func (r *restarted) snapshot() map[string]*messenger.Book {
	out := map[string]*messenger.Book{}
	for k, b := range r.books {
		out[k] = proto.CloneOf(b)
	}
	return out
}

// end brings the keeper to its end during a batch and starts it again. The
// books are then those of before the batch or after it, nothing else.
func (r *restarted) end(kind int, batch []sent, before map[string]*messenger.Book) {
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
		r.mirror.lost = kind == endBeforeMirror
		var rows []budgeter.Write
		for _, s := range batch {
			w, _ := r.loop.step(s.event)
			rows = append(rows, w...)
		}
		r.g.Expect(r.loop.sync(r.t.Context(), budgeter.CopyRows(rows))).To(gomega.Succeed())
		r.mirror.lost = false
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

// TestBooksHoldOverHundredsOfRestarts
// Symptom: a budget is spent beyond what was paid, a request is billed twice
// or rights are gone, after a keeper has been restarted many times.
// Sequence: top-ups, leases, charges, returns and new incarnations of routers,
// old charges and top-ups resent; the keeper ends in one of five ways and
// starts again from the bytes of its file, 400 times; what was not answered,
// and sometimes what was, is sent again.
// Cause it guards against: a row that is written late, not at all, or taken
// in by a start otherwise than it was left.
func TestBooksHoldOverHundredsOfRestarts(t *testing.T) {
	r := &restarted{
		t: t, g: gomega.NewWithT(t), rand: rand.New(rand.NewPCG(7, 1)), dir: t.TempDir(),
		mirror: &holderLink{mirrorHolder: newHolder(t)},
		books:  map[string]*messenger.Book{}, topUps: map[string]int64{}, charges: map[string]int64{},
	}
	for _, w := range []string{"labone", "tesano", "dzorwulu"} {
		r.books[w] = &messenger.Book{Workspace: w, Zone: "a"}
		for _, name := range []string{"a-1", "a-2"} {
			r.holders = append(r.holders, &holder{workspace: w, router: name, incarnation: 1})
		}
	}
	r.open()
	r.pair()
	kinds := [endKinds]int{}
	for i := range restartsOfVault {
		before := r.snapshot()
		batch := r.draw()
		kind := r.rand.IntN(endKinds)
		kinds[kind]++
		r.end(kind, batch, before)
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
