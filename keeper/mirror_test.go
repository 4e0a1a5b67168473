package keeper

import (
	"context"
	"errors"
	"testing"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

// partStream is a stream of a full copy that can break off.
type partStream struct {
	grpc.ClientStreamingServer[messenger.CopyPart, messenger.CopyReply]
	list []*messenger.CopyPart
}

var errConnectionBroken = errors.New("connection broken")

func (p *partStream) Recv() (*messenger.CopyPart, error) {
	if len(p.list) == 0 {
		return nil, errConnectionBroken
	}
	next := p.list[0]
	p.list = p.list[1:]
	return next, nil
}

func (*partStream) SendAndClose(*messenger.CopyReply) error { return nil }

func newHolder(t *testing.T) *copyStore {
	store, closeStore, err := storer.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeStore() })
	return &copyStore{store: store, log: zap.NewNop()}
}

func copyRow(key, value string) *messenger.CopyRow {
	return &messenger.CopyRow{Bucket: budgeter.BucketBooks, Key: key, Value: []byte(value)}
}

// fullCopyParts returns the parts of a copy, with one row in each.
func fullCopyParts(number uint64, rows ...*messenger.CopyRow) []*messenger.CopyPart {
	out := []*messenger.CopyPart{{State: &messenger.CopyState{Zone: "a", Incarnation: 1, Number: number}}}
	d := budgeter.NewRowDigest()
	for _, r := range rows {
		d.Add(r)
		out = append(out, &messenger.CopyPart{Rows: []*messenger.CopyRow{r}})
	}
	return append(out, &messenger.CopyPart{Last: true, RowsDigest: d.Sum()})
}

func readHeldCopy(t *testing.T, h *copyStore) (state *messenger.CopyState, values []string) {
	err := h.sendCopy("a", func(p *messenger.CopyPart) error {
		if p.State != nil {
			state = p.State
		}
		for _, r := range p.Rows {
			values = append(values, r.Key+"="+string(r.Value))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return state, values
}

// A keeper that lost its disk must not be restored from half a copy, as could
// happen if a copy were replaced in place. The mirror has a copy, and a newer
// full copy breaks off midway or arrives with a row missing.
func TestBrokenFullCopyKeepsTheOldOne(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHolder(t)
	g.Expect(h.replace(&partStream{list: fullCopyParts(1, copyRow("w", "1"), copyRow("x", "2"))})).To(gomega.Succeed())
	newer := fullCopyParts(9, copyRow("w", "3"), copyRow("y", "4"))
	g.Expect(h.replace(&partStream{list: newer[:2]})).To(gomega.MatchError(errConnectionBroken))
	missing := append(newer[:1:1], newer[2:]...)
	g.Expect(h.replace(&partStream{list: missing})).To(gomega.MatchError(budgeter.ErrCorrupt))
	state, values := readHeldCopy(t, h)
	g.Expect(state.Number).To(gomega.Equal(uint64(1)))
	g.Expect(values).To(gomega.Equal([]string{"w=1", "x=2"}))
	g.Expect(h.replace(&partStream{list: newer})).To(gomega.Succeed())
	_, values = readHeldCopy(t, h)
	g.Expect(values).To(gomega.Equal([]string{"w=3", "y=4"}))
}

// A restored zone must have all commits that it had answered. A mirror that
// accepted commits with a gap, or of another history, would lack some. Here
// one commit does not reach the mirror, and the next one does.
func TestMirrorRefusesAGap(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHolder(t)
	start := &messenger.CopyState{Zone: "a", Incarnation: 1, Number: 1}
	g.Expect(h.replace(&partStream{list: fullCopyParts(1)})).To(gomega.Succeed())
	c := budgeter.NewCopier(start, true, func(string, string) {})
	first := c.Prepare([]*messenger.CopyRow{copyRow("w", "1")})
	c.Commit(first)
	second := c.Prepare([]*messenger.CopyRow{copyRow("w", "2")})
	c.Commit(second)
	_, err := h.applyCommit(second)
	g.Expect(err).To(gomega.HaveOccurred())
	for _, r := range []*messenger.CopyRequest{first, first, second} {
		_, err = h.applyCommit(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	changed := budgeter.NewCopier(first.State, true, func(string, string) {}).Prepare([]*messenger.CopyRow{copyRow("w", "9")})
	_, err = h.applyCommit(changed)
	g.Expect(err).To(gomega.HaveOccurred())
	_, values := readHeldCopy(t, h)
	g.Expect(values).To(gomega.Equal([]string{"w=2"}))
}

// lossyMirror is a mirror that can lose its copy.
type lossyMirror struct {
	messenger.BudgetKeeperClient
	mirrorLink
	state *messenger.CopyState
}

func (*lossyMirror) exists() bool                                    { return true }
func (*lossyMirror) mark(context.Context, *messenger.SoloMark) error { return errNotDurable }
func (m *lossyMirror) client() messenger.BudgetKeeperClient          { return m }
func (m *lossyMirror) copy(_ context.Context, r *messenger.CopyRequest) error {
	m.state = r.State
	return nil
}

func (m *lossyMirror) Copy(context.Context, *messenger.CopyRequest, ...grpc.CallOption) (*messenger.CopyReply, error) {
	return &messenger.CopyReply{State: m.state}, nil
}

// A keeper that noticed a lost copy only at its next commit could lose the
// zone's budget: while it is idle its mirror loses its disk and returns, and
// then the keeper loses its own.
func TestIdleKeeperNoticesThatItsCopyIsLost(t *testing.T) {
	g := gomega.NewWithT(t)
	store := newHolder(t).store
	m := &lossyMirror{}
	l := newVaultLoop("a", store, m, zap.NewNop())
	g.Expect(l.begin(budgeter.StartIncarnation{Incarnation: 1})).To(gomega.Succeed())
	p := &mirrorSync{loop: l, sender: m, store: store, log: zap.NewNop()}
	m.state = p.state()
	l.copier.MirrorCaughtUp(m.state)
	p.lastCopyState = m.state
	p.verify(t.Context())
	g.Expect(l.currentMode()).To(gomega.Equal(budgeter.ModePaired))
	m.state = nil
	p.verify(t.Context())
	g.Expect(l.currentMode()).To(gomega.Equal(budgeter.ModeMarking))
}
