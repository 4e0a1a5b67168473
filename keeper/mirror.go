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
	// syncInterval is the pause between attempts to bring the mirror up to
	// date.
	syncInterval = 100 * time.Millisecond
	// verifyInterval is the pause between checks of a mirror that is up to
	// date.
	verifyInterval = time.Second
	// fullCopyTimeout bounds the transfer of a full copy.
	fullCopyTimeout = 5 * time.Minute
	// maxRowsPerPart bounds the rows in one part of a full copy.
	maxRowsPerPart = 500
)

// errMirrorLostCopy means that the mirror no longer has commits that it had
// acknowledged.
var errMirrorLostCopy = merry.Sentinel("mirror lost its copy")

// mirrorSender implements mirrorLink and mirrorClient over the connections to
// the peers.
type mirrorSender struct {
	peers *peers
	// mirror is the client of the mirror, nil if there is none.
	mirror messenger.BudgetKeeperClient
}

func newMirrorSender(p *peers) mirrorSender {
	m, ok := p.keeperByName(p.mirror)
	if !ok {
		return mirrorSender{peers: p}
	}
	return mirrorSender{peers: p, mirror: messenger.NewPackedMirror(m.budget())}
}

func (m mirrorSender) exists() bool { return m.peers.mirror != "" }

func (m mirrorSender) client() messenger.BudgetKeeperClient { return m.mirror }

func (m mirrorSender) copy(ctx context.Context, r *messenger.CopyRequest) error {
	_, err := m.client().Copy(ctx, r)
	return err
}

// mark stores the solo mark at another keeper or at one of the zone's routers
// on other VMs. It asks all of them concurrently. One holder is enough,
// because a restore asks them all.
func (m mirrorSender) mark(ctx context.Context, mark *messenger.SoloMark) error {
	holders := append(m.peers.soloMarkHolders(), m.peers.routersOnOtherVMs()...)
	return firstSuccess(ctx, holders, func(ctx context.Context, p peer) error {
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

// mirrorClient gives access to the keeper that is the mirror.
type mirrorClient interface {
	exists() bool
	client() messenger.BudgetKeeperClient
}

// mirrorSync sends the mirror the commits that it has missed.
type mirrorSync struct {
	loop   *vaultLoop
	sender mirrorClient
	store  *storer.Store
	log    *zap.Logger
	// mirrorIncarnation is the highest incarnation that the mirror has
	// reported for its own vault.
	mirrorIncarnation uint64
	// lastCopyState is how far the copy reached when last reported while
	// paired.
	lastCopyState *messenger.CopyState
}

func (p *mirrorSync) run(ctx context.Context) {
	var verified time.Time
	for ctx.Err() == nil {
		if p.loop.currentMode() != budgeter.ModePaired {
			if err := p.syncOnce(ctx); err != nil && ctx.Err() == nil {
				p.log.Debug("mirror is not up to date", zap.Error(err))
			}
		} else if time.Since(verified) > verifyInterval {
			p.verify(ctx)
			verified = time.Now()
		}
		sleep(ctx, syncInterval)
	}
}

// verify checks that a mirror which takes commits still has the earlier ones.
// If the mirror lost its disk while nothing was committed, it would otherwise
// count as the second disk until this one is lost too.
func (p *mirrorSync) verify(ctx context.Context) {
	if !p.sender.exists() {
		return
	}
	has, err := p.sendCommit(ctx, &messenger.CopyRequest{State: &messenger.CopyState{Zone: p.loop.vault.Zone()}})
	if err != nil {
		return
	}
	// The last commit may still be in transit, but what the mirror had at the
	// previous check must not be missing.
	if has.GetIncarnation() != p.lastCopyState.GetIncarnation() || has.GetNumber() < p.lastCopyState.GetNumber() {
		p.loop.mirrorLost(errMirrorLostCopy)
		return
	}
	p.lastCopyState = has
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// syncOnce sends the commits that the mirror lacks, or a full copy, until it
// has the last commit.
func (p *mirrorSync) syncOnce(ctx context.Context) error {
	if !p.sender.exists() {
		return p.markPaired(ctx, p.state())
	}
	state, err := p.sendCommit(ctx, &messenger.CopyRequest{State: &messenger.CopyState{Zone: p.loop.vault.Zone()}})
	if err != nil {
		return err
	}
	for {
		p.loop.mu.Lock()
		commits, whole := p.loop.copier.MissingCommits(state)
		p.loop.mu.Unlock()
		if whole {
			if state, err = p.sendFullCopy(ctx); err != nil {
				return err
			}
			continue
		}
		for _, r := range commits {
			if state, err = p.sendCommit(ctx, r); err != nil {
				return err
			}
		}
		if len(commits) == 0 {
			return p.markPaired(ctx, state)
		}
	}
}

func (p *mirrorSync) state() *messenger.CopyState {
	p.loop.mu.Lock()
	defer p.loop.mu.Unlock()
	return p.loop.copier.State()
}

// sendCommit sends one commit and returns how far the copy then reaches. A
// request without a commit number only queries the copy.
func (p *mirrorSync) sendCommit(ctx context.Context, r *messenger.CopyRequest) (*messenger.CopyState, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out, err := p.sender.client().Copy(ctx, r)
	p.mirrorIncarnation = max(p.mirrorIncarnation, out.GetMirrorIncarnation())
	return out.GetState(), err
}

// markPaired records on disk that the vault was paired, and notifies the
// vault if the mirror has its last commit. With this record the vault may
// continue without its mirror, since a lost disk can then no longer be
// mistaken for a first start.
func (p *mirrorSync) markPaired(ctx context.Context, state *messenger.CopyState) error {
	row := storer.Row{Bucket: bucketCommit, Key: keyPaired, Value: strconv.AppendUint(nil, state.Incarnation, 10)}
	if err := p.store.Apply([]storer.Row{row}); err != nil {
		return err
	}
	p.lastCopyState = state
	p.loop.mu.Lock()
	paired := p.loop.copier.MirrorCaughtUp(state)
	p.loop.mu.Unlock()
	if !paired {
		return nil
	}
	_, err := p.loop.handle(ctx, budgeter.MirrorPaired{MirrorIncarnation: p.mirrorIncarnation})
	return err
}

// sendFullCopy replaces the mirror's copy by one consistent snapshot of the
// store. It returns the snapshot's state once the mirror has verified the
// digest.
func (p *mirrorSync) sendFullCopy(ctx context.Context) (*messenger.CopyState, error) {
	ctx, cancel := context.WithTimeout(ctx, fullCopyTimeout)
	defer cancel()
	s, err := p.sender.client().Replace(ctx)
	if err != nil {
		return nil, err
	}
	err = p.store.View(func(v storer.View) error { return sendRows(v, bucketCommit, keyState, eachVaultRow, s.Send) })
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
