package keeper

import (
	"context"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	// pairEvery is the pause between tries to bring the mirror up to date.
	pairEvery = 100 * time.Millisecond
	// verifyEvery is the pause between questions to a mirror that is paired.
	verifyEvery = time.Second
	// wholeTimeout bounds the sending of a whole copy.
	wholeTimeout = 5 * time.Minute
	// partMost bounds the rows of one part of a whole copy.
	partMost = 500
)

// errCopyLost says that the mirror does not have what it had acknowledged.
var errCopyLost = merry.Sentinel("mirror lost its copy")

// mirrorSender implements mirrorLink over the connections to the peers.
type mirrorSender struct {
	peers *peers
	// Keeper is the mirror; nil where there is none.
	keeper messenger.BudgetKeeperClient
}

func newMirrorSender(p *peers) mirrorSender {
	m, ok := p.name(p.mirror)
	if !ok {
		return mirrorSender{peers: p}
	}
	return mirrorSender{peers: p, keeper: messenger.NewPackedMirror(m.budget())}
}

func (m mirrorSender) exists() bool { return m.peers.mirror != "" }

func (m mirrorSender) client() messenger.BudgetKeeperClient { return m.keeper }

func (m mirrorSender) copy(ctx context.Context, r *messenger.CopyRequest) error {
	_, err := m.client().Copy(ctx, r)
	return err
}

// mark asks the other keepers and the zone's routers on other VMs at once;
// one that holds the mark is enough, since a restore asks them all.
func (m mirrorSender) mark(ctx context.Context, mark *messenger.SoloMark) error {
	holders := append(m.peers.markHolders(), m.peers.routersElsewhere()...)
	return firstOf(ctx, holders, func(ctx context.Context, p peer) error {
		if p.process.Kind() == "keeper" {
			_, err := p.budget().Mark(ctx, &messenger.MarkRequest{Mark: mark})
			return err
		}
		_, err := p.router().Holdings(ctx, &messenger.HoldingsRequest{
			VaultIncarnation: mark.VaultIncarnation, SoloCommit: mark.SoloCommit,
		})
		return err
	})
}

// mirrorClient reaches the mirror's keeper.
type mirrorClient interface {
	exists() bool
	client() messenger.BudgetKeeperClient
}

// pairing keeps the mirror up to date whenever commits do not reach it.
type pairing struct {
	loop   *vaultLoop
	sender mirrorClient
	store  *storer.Store
	log    *zap.Logger
	// Mirror is the mirror's own incarnation as last heard.
	mirror uint64
	// Has is how far the copy reached when last heard while paired.
	has *messenger.CopyState
}

func (p *pairing) run(ctx context.Context) {
	var verified time.Time
	for ctx.Err() == nil {
		if p.loop.currentMode() != budgeter.ModePaired {
			if err := p.once(ctx); err != nil && ctx.Err() == nil {
				p.log.Debug("mirror is not up to date", zap.Error(err))
			}
		} else if time.Since(verified) > verifyEvery {
			p.verify(ctx)
			verified = time.Now()
		}
		pause(ctx, pairEvery)
	}
}

// verify asks a mirror that takes commits whether it has the earlier ones too:
// one that lost its disk while nothing was committed would otherwise pass for
// a second disk until this one is lost as well.
func (p *pairing) verify(ctx context.Context) {
	if !p.sender.exists() {
		return
	}
	has, err := p.copyOne(ctx, &messenger.CopyRequest{State: &messenger.CopyState{Zone: p.loop.vault.Zone()}})
	if err != nil {
		return
	}
	// The last commit may be under way; what the mirror had before may not be
	// gone.
	if has.GetIncarnation() != p.has.GetIncarnation() || has.GetNumber() < p.has.GetNumber() {
		p.loop.lost(errCopyLost)
		return
	}
	p.has = has
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// once sends what the mirror lacks until it has the last commit.
func (p *pairing) once(ctx context.Context) error {
	if !p.sender.exists() {
		return p.caughtUp(ctx, p.state())
	}
	state, err := p.copyOne(ctx, &messenger.CopyRequest{State: &messenger.CopyState{Zone: p.loop.vault.Zone()}})
	if err != nil {
		return err
	}
	for {
		p.loop.mu.Lock()
		commits, whole := p.loop.copier.Missing(state)
		p.loop.mu.Unlock()
		if whole {
			if state, err = p.sendWhole(ctx); err != nil {
				return err
			}
			continue
		}
		for _, r := range commits {
			if state, err = p.copyOne(ctx, r); err != nil {
				return err
			}
		}
		if len(commits) == 0 {
			return p.caughtUp(ctx, state)
		}
	}
}

func (p *pairing) state() *messenger.CopyState {
	p.loop.mu.Lock()
	defer p.loop.mu.Unlock()
	return p.loop.copier.State()
}

func (p *pairing) copyOne(ctx context.Context, r *messenger.CopyRequest) (*messenger.CopyState, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out, err := p.sender.client().Copy(ctx, r)
	p.mirror = max(p.mirror, out.GetMirrorIncarnation())
	return out.GetState(), err
}

// caughtUp notes on disk that the vault was paired: from then on it may go on
// without its mirror, since a lost disk can't pass for a first start.
func (p *pairing) caughtUp(ctx context.Context, state *messenger.CopyState) error {
	row := storer.Row{Bucket: bucketCommit, Key: keyPaired, Value: strconv.AppendUint(nil, state.Incarnation, 10)}
	if err := p.store.Apply([]storer.Row{row}); err != nil {
		return err
	}
	p.has = state
	p.loop.mu.Lock()
	paired := p.loop.copier.CaughtUp(state)
	p.loop.mu.Unlock()
	if !paired {
		return nil
	}
	_, err := p.loop.handle(ctx, budgeter.Paired{MirrorIncarnation: p.mirror})
	return err
}

// sendWhole replaces the mirror's copy by one consistent state of the store,
// and returns that state once the mirror has verified the digest.
func (p *pairing) sendWhole(ctx context.Context) (*messenger.CopyState, error) {
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	s, err := p.sender.client().Replace(ctx)
	if err != nil {
		return nil, err
	}
	err = p.store.View(func(v storer.View) error { return sendRows(v, bucketCommit, keyState, vaultRows, s.Send) })
	if err != nil {
		return nil, err
	}
	out, err := s.CloseAndRecv()
	if err != nil {
		return nil, err
	}
	p.log.Info("mirror has a whole copy", zap.Uint64("commit", out.State.Number), zap.Uint64("incarnation", out.State.Incarnation))
	return out.State, nil
}
