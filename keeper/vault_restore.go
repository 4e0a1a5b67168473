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
	// restoreInterval is the pause between attempts to reach the mirror when
	// starting with an empty disk.
	restoreInterval = 200 * time.Millisecond
	// verifyRestoredInterval is the pause between rounds of queries after a
	// restore.
	verifyRestoredInterval = 500 * time.Millisecond
)

// openVault loads the vault from the disk. If the disk is empty, the vault
// starts a new incarnation from the mirror's copy. Until the mirror answers,
// a first start can't be told from a lost disk, so open waits.
func (s *budgetServer) openVault(ctx context.Context) error {
	initialized, err := s.loop.initialized()
	if err != nil {
		return err
	}
	if initialized {
		if err := s.loop.load(); err != nil {
			return err
		}
		return s.loop.start()
	}
	for ctx.Err() == nil {
		state, err := s.restoreFromMirror(ctx)
		if err == nil {
			return s.beginIncarnation(state)
		}
		s.log().Warn("empty disk: waiting for the mirror", zap.Error(err))
		sleep(ctx, restoreInterval)
	}
	return ctx.Err()
}

// restoreFromMirror replaces the store's rows by the mirror's copy. The
// returned state is nil if the mirror has no copy.
func (s *budgetServer) restoreFromMirror(ctx context.Context) (*messenger.CopyState, error) {
	store := s.keeper.store
	if err := store.Apply([]storer.Row{{Bucket: bucketCommit, Key: keyRestoring, Value: []byte{1}}}); err != nil {
		return nil, err
	}
	if err := store.Clear(budgeter.Buckets...); err != nil || !s.sender.exists() {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fullCopyTimeout)
	defer cancel()
	f, err := s.sender.client().Fetch(ctx, &messenger.FetchRequest{Zone: s.keeper.self.Zone()})
	if err != nil {
		return nil, err
	}
	return receiveRows(f.Recv, func(rows []*messenger.CopyRow) error {
		out := make([]storer.Row, 0, len(rows))
		for _, r := range rows {
			out = append(out, storer.Row{Bucket: r.Bucket, Key: r.Key, Value: r.Value})
		}
		return store.Apply(out)
	})
}

// beginIncarnation loads the restored rows and starts a new incarnation of
// the vault, with an id above that of the copy.
func (s *budgetServer) beginIncarnation(state *messenger.CopyState) error {
	if err := s.loop.load(); err != nil {
		return err
	}
	incarnation := max(uint64(time.Now().UnixNano()), state.GetIncarnation()+1)
	if err := s.loop.begin(budgeter.StartIncarnation{Incarnation: incarnation, Copy: state}); err != nil {
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

// verifyRestored queries routers and keepers until the vault can rule out
// that the restored rows lack anything.
func (s *budgetServer) verifyRestored(ctx context.Context) {
	for ctx.Err() == nil {
		unproved, err := readVault(ctx, s.loop, (*budgeter.Vault).RestoreUnverified)
		if err != nil || !unproved {
			return
		}
		s.verifyRestoredOnce(ctx)
		sleep(ctx, verifyRestoredInterval)
	}
}

// verifyRestoredOnce runs one round of queries and passes the result to the
// vault, which releases its frozen rights once the evidence suffices.
func (s *budgetServer) verifyRestoredOnce(ctx context.Context) {
	evidence, routers := s.collectEvidence(ctx)
	complete, err := readVault(ctx, s.loop, func(v *budgeter.Vault) bool { return v.CopyComplete(evidence) })
	if err != nil {
		return
	}
	m, err := s.loop.handle(ctx, budgeter.VerifyRestore{Routers: routers, Holdings: evidence.Holdings, CopyComplete: complete})
	if err != nil {
		return
	}
	if row, ok := m.(*messenger.VaultRow); ok && !row.Unproved {
		s.log().Info("vault is proved; frozen rights are released", zap.Bool("copy_complete", complete))
	}
}

// collectEvidence queries the zone's routers for what they hold and the other
// keepers for solo marks. It also returns the names of the zone's routers.
func (s *budgetServer) collectEvidence(ctx context.Context) (budgeter.Evidence, []string) {
	p := s.keeper.peers
	var e budgeter.Evidence
	var names []string
	for _, x := range p.routersOnOtherVMs() {
		e.Routers = append(e.Routers, x.process.Name())
	}
	for _, x := range p.routers {
		names = append(names, x.process.Name())
	}
	var mu sync.Mutex
	asking, _ := readVault(ctx, s.loop, (*budgeter.Vault).Incarnation)
	callAll(ctx, p.routers, func(ctx context.Context, x peer) error {
		h, err := x.router().Holdings(ctx, &messenger.HoldingsRequest{AskingIncarnation: asking})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		e.Holdings = append(e.Holdings, h)
		return nil
	})
	holders := p.soloMarkHolders()
	e.KeepersAsked = len(holders)
	callAll(ctx, holders, func(ctx context.Context, x peer) error {
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
