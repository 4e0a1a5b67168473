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

// parts is a stream of a whole copy that may break off.
type parts struct {
	grpc.ClientStreamingServer[messenger.CopyPart, messenger.CopyReply]
	list []*messenger.CopyPart
}

var errBroken = errors.New("connection broken")

func (p *parts) Recv() (*messenger.CopyPart, error) {
	if len(p.list) == 0 {
		return nil, errBroken
	}
	next := p.list[0]
	p.list = p.list[1:]
	return next, nil
}

func (*parts) SendAndClose(*messenger.CopyReply) error { return nil }

func newHolder(t *testing.T) *mirrorHolder {
	store, closeStore, err := storer.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeStore() })
	return &mirrorHolder{store: store, log: zap.NewNop()}
}

func row(key, value string) *messenger.CopyRow {
	return &messenger.CopyRow{Bucket: budgeter.BucketBooks, Key: key, Value: []byte(value)}
}

// whole returns the parts of a copy with one row in each.
func whole(number uint64, rows ...*messenger.CopyRow) []*messenger.CopyPart {
	out := []*messenger.CopyPart{{State: &messenger.CopyState{Zone: "a", Incarnation: 1, Number: number}}}
	d := budgeter.NewRowDigest()
	for _, r := range rows {
		d.Add(r)
		out = append(out, &messenger.CopyPart{Rows: []*messenger.CopyRow{r}})
	}
	return append(out, &messenger.CopyPart{Last: true, RowsDigest: d.Sum()})
}

func held(t *testing.T, h *mirrorHolder) (state *messenger.CopyState, values []string) {
	err := h.fetch("a", func(p *messenger.CopyPart) error {
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

// Symptom: a keeper that lost its disk is restored from half a copy. Sequence:
// a mirror has a copy; a newer whole copy breaks off midway, or arrives with a
// row missing. Cause: a copy that is replaced in place.
func TestBrokenWholeCopyLeavesTheOldOne(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHolder(t)
	g.Expect(h.replace(&parts{list: whole(1, row("w", "1"), row("x", "2"))})).To(gomega.Succeed())
	newer := whole(9, row("w", "3"), row("y", "4"))
	g.Expect(h.replace(&parts{list: newer[:2]})).To(gomega.MatchError(errBroken))
	missing := append(newer[:1:1], newer[2:]...)
	g.Expect(h.replace(&parts{list: missing})).To(gomega.MatchError(budgeter.ErrCorrupt))
	state, values := held(t, h)
	g.Expect(state.Number).To(gomega.Equal(uint64(1)))
	g.Expect(values).To(gomega.Equal([]string{"w=1", "x=2"}))
	g.Expect(h.replace(&parts{list: newer})).To(gomega.Succeed())
	_, values = held(t, h)
	g.Expect(values).To(gomega.Equal([]string{"w=3", "y=4"}))
}

// Symptom: a restored zone lacks commits that it had answered. Sequence: a
// commit does not reach the mirror, the next one does. Cause: a mirror that
// takes commits with a gap, or of another past.
func TestMirrorRefusesAGap(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHolder(t)
	start := &messenger.CopyState{Zone: "a", Incarnation: 1, Number: 1}
	g.Expect(h.replace(&parts{list: whole(1)})).To(gomega.Succeed())
	c := budgeter.NewCopier(start, true, func(string, string) {})
	first := c.Prepare([]*messenger.CopyRow{row("w", "1")})
	c.Commit(first)
	second := c.Prepare([]*messenger.CopyRow{row("w", "2")})
	c.Commit(second)
	_, err := h.take(second)
	g.Expect(err).To(gomega.HaveOccurred())
	for _, r := range []*messenger.CopyRequest{first, first, second} {
		_, err = h.take(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	changed := budgeter.NewCopier(first.State, true, func(string, string) {}).Prepare([]*messenger.CopyRow{row("w", "9")})
	_, err = h.take(changed)
	g.Expect(err).To(gomega.HaveOccurred())
	_, values := held(t, h)
	g.Expect(values).To(gomega.Equal([]string{"w=2"}))
}

// forgetfulMirror is a mirror whose copy can vanish.
type forgetfulMirror struct {
	messenger.BudgetKeeperClient
	mirrorLink
	state *messenger.CopyState
}

func (*forgetfulMirror) exists() bool                                    { return true }
func (*forgetfulMirror) mark(context.Context, *messenger.SoloMark) error { return errNotYet }
func (m *forgetfulMirror) client() messenger.BudgetKeeperClient          { return m }
func (m *forgetfulMirror) copy(_ context.Context, r *messenger.CopyRequest) error {
	m.state = r.State
	return nil
}

func (m *forgetfulMirror) Copy(context.Context, *messenger.CopyRequest, ...grpc.CallOption) (*messenger.CopyReply, error) {
	return &messenger.CopyReply{State: m.state}, nil
}

// Symptom: a zone forgets its budget. Sequence: a keeper is idle; its mirror
// loses its disk and comes back; then the keeper loses its own. Cause: a
// keeper that notices a lost copy at its next commit only.
func TestIdleKeeperNoticesThatItsCopyIsLost(t *testing.T) {
	g := gomega.NewWithT(t)
	store := newHolder(t).store
	m := &forgetfulMirror{}
	l := newVaultLoop("a", store, m, zap.NewNop())
	g.Expect(l.begin(budgeter.Begin{Incarnation: 1})).To(gomega.Succeed())
	p := &pairing{loop: l, sender: m, store: store, log: zap.NewNop()}
	m.state = p.state()
	l.copier.CaughtUp(m.state)
	p.has = m.state
	p.verify(t.Context())
	g.Expect(l.currentMode()).To(gomega.Equal(budgeter.ModePaired))
	m.state = nil
	p.verify(t.Context())
	g.Expect(l.currentMode()).To(gomega.Equal(budgeter.ModeMarking))
}
