package keeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	// restoreEvery is the pause between tries to reach the mirror at a start
	// without a disk.
	restoreEvery = 200 * time.Millisecond
	// proveEvery is the pause between rounds of questions after a restore.
	proveEvery = 500 * time.Millisecond
)

// open loads the vault from its disk. An empty disk under an old name is a
// new incarnation: it takes its rows from the mirror's copy, and without an
// answer of the mirror it can't tell a first start from a lost disk, so it
// waits.
func (s *budgetServer) open(ctx context.Context) error {
	begun, err := s.loop.begun()
	if err != nil {
		return err
	}
	if begun {
		if err := s.loop.load(); err != nil {
			return err
		}
		return s.loop.start()
	}
	for ctx.Err() == nil {
		state, err := s.restore(ctx)
		if err == nil {
			return s.beginFrom(state)
		}
		s.log().Warn("empty disk: waiting for the mirror", zap.Error(err))
		pause(ctx, restoreEvery)
	}
	return ctx.Err()
}

// restore replaces the rows of the store by the mirror's copy; the state is
// nil where the mirror has none.
func (s *budgetServer) restore(ctx context.Context) (*messenger.CopyState, error) {
	store := s.keeper.store
	if err := store.Apply([]storer.Row{{Bucket: bucketCommit, Key: keyRestoring, Value: []byte{1}}}); err != nil {
		return nil, err
	}
	if err := store.Clear(budgeter.Buckets...); err != nil || !s.sender.exists() {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	f, err := s.sender.client().Fetch(ctx, &messenger.FetchRequest{Zone: s.keeper.self.Zone()})
	if err != nil {
		return nil, err
	}
	return takeRows(f.Recv, func(rows []*messenger.CopyRow) error {
		out := make([]storer.Row, 0, len(rows))
		for _, r := range rows {
			out = append(out, storer.Row{Bucket: r.Bucket, Key: r.Key, Value: r.Value})
		}
		return store.Apply(out)
	})
}

func (s *budgetServer) beginFrom(state *messenger.CopyState) error {
	if err := s.loop.load(); err != nil {
		return err
	}
	incarnation := max(uint64(time.Now().UnixNano()), state.GetIncarnation()+1)
	if err := s.loop.begin(budgeter.Begin{Incarnation: incarnation, Copy: state}); err != nil {
		return err
	}
	if state == nil {
		s.log().Info("new vault", zap.Uint64("incarnation", incarnation))
		return nil
	}
	s.log().Warn("vault restored from the mirror; unspent rights are frozen until proved",
		zap.Uint64("incarnation", incarnation), zap.Uint64("copied_commit", state.Number))
	return nil
}

// prove asks everybody who may know until nothing can be missing any more.
func (s *budgetServer) prove(ctx context.Context) {
	for ctx.Err() == nil {
		unproved, err := readVault(ctx, s.loop, (*budgeter.Vault).Unproved)
		if err != nil || !unproved {
			return
		}
		s.proveOnce(ctx)
		pause(ctx, proveEvery)
	}
}

func (s *budgetServer) proveOnce(ctx context.Context) {
	evidence, routers := s.evidence(ctx)
	complete, err := readVault(ctx, s.loop, func(v *budgeter.Vault) bool { return v.CopyComplete(evidence) })
	if err != nil {
		return
	}
	m, err := s.loop.handle(ctx, budgeter.Prove{Routers: routers, Holdings: evidence.Holdings, CopyComplete: complete})
	if err != nil {
		return
	}
	if row, ok := m.(*messenger.VaultRow); ok && !row.Unproved {
		s.log().Info("vault is proved; frozen rights are released", zap.Bool("copy_complete", complete))
	}
}

func (s *budgetServer) evidence(ctx context.Context) (budgeter.Evidence, []string) {
	p := s.keeper.peers
	var e budgeter.Evidence
	var names []string
	for _, x := range p.routersElsewhere() {
		e.Routers = append(e.Routers, x.process.Name())
	}
	for _, x := range p.routers {
		names = append(names, x.process.Name())
	}
	var mu sync.Mutex
	asking, _ := readVault(ctx, s.loop, (*budgeter.Vault).Incarnation)
	each(ctx, p.routers, func(ctx context.Context, x peer) error {
		h, err := x.router().Holdings(ctx, &messenger.HoldingsRequest{AskingIncarnation: asking})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		e.Holdings = append(e.Holdings, h)
		return nil
	})
	holders := p.markHolders()
	e.KeepersAsked = len(holders)
	each(ctx, holders, func(ctx context.Context, x peer) error {
		m, err := x.budget().Mark(ctx, &messenger.MarkRequest{Mark: &messenger.SoloMark{Zone: p.self.Zone()}})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		e.Keepers = append(e.Keepers, m)
		return nil
	})
	return e, names
}
