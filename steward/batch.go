package steward

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// maxBatchClaims bounds the claims in one log entry, and maxQueuedClaims the claims
	// that wait for an entry.
	maxBatchClaims  = 64
	maxQueuedClaims = 512
	// batchTimeout bounds the wait for an entry to be committed; after it, the outcome is
	// unknown.
	batchTimeout = 700 * time.Millisecond
)

// pendingClaim is a claim that waits for its log entry.
type pendingClaim struct {
	change *messenger.RightsChange
	done   chan *messenger.RightsGrants
}

// batcher commits the claims of many routers in few log entries: claims that arrive while
// one entry is being committed wait for the next. Each entry costs a disk sync at every
// voter.
type batcher struct {
	propose func(context.Context, []byte) (any, error)
	log     *zap.Logger
	queue   chan pendingClaim
	// onCommit is called with the time that each committed or failed entry took.
	onCommit func(time.Duration)
}

// newBatcher returns a batcher that commits entries with propose.
func newBatcher(propose func(context.Context, []byte) (any, error), log *zap.Logger) *batcher {
	return &batcher{propose: propose, log: log, queue: make(chan pendingClaim, maxQueuedClaims), onCommit: func(time.Duration) {}}
}

// submit returns what a claim was granted, once the grant is committed.
func (b *batcher) submit(ctx context.Context, c *messenger.RightsChange) (*messenger.RightsGrants, error) {
	p := pendingClaim{change: c, done: make(chan *messenger.RightsGrants, 1)}
	select {
	case b.queue <- p:
	default:
		return nil, merry.Errorf("%w: too many claims wait", ErrNoMajority)
	}
	select {
	case g := <-p.done:
		if g == nil {
			return nil, ErrNoMajority
		}
		return g, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run commits batches until ctx ends.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-b.queue:
			b.commitBatch(ctx, b.collectBatch(p))
		}
	}
}

// collectBatch returns a claim and those queued behind it, up to maxBatchClaims.
func (b *batcher) collectBatch(first pendingClaim) []pendingClaim {
	out := []pendingClaim{first}
	for len(out) < maxBatchClaims {
		select {
		case p := <-b.queue:
			out = append(out, p)
		default:
			return out
		}
	}
	return out
}

// commitBatch commits the claims of a batch and answers each; nil stands for a failure.
func (b *batcher) commitBatch(ctx context.Context, batch []pendingClaim) {
	began := time.Now()
	grants, err := b.proposeBatch(ctx, batch)
	b.onCommit(time.Since(began))
	for i, p := range batch {
		if err != nil || i >= len(grants) {
			p.done <- nil
			continue
		}
		g := grants[i]
		if g.WrittenOff > 0 || g.Recovered > 0 {
			b.log.Info("account of a router ended", zap.String("router", p.change.Router), zap.Bool("closing", p.change.Closing),
				zap.Int64("written_off", g.WrittenOff), zap.Int64("recovered", g.Recovered), zap.Duration("after_last_claim", time.Duration(g.EndedAfterMs)*time.Millisecond))
		}
		p.done <- g
	}
}

// proposeBatch proposes one entry with all claims of a batch and returns their grants in
// order.
func (b *batcher) proposeBatch(ctx context.Context, batch []pendingClaim) ([]*messenger.RightsGrants, error) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	m := &messenger.RightsBatch{}
	for _, p := range batch {
		m.Changes = append(m.Changes, p.change)
	}
	data, err := proto.Marshal(&messenger.FleetChange{Body: &messenger.FleetChange_Batch{Batch: m}})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	out, err := b.propose(ctx, data)
	if err != nil {
		return nil, err
	}
	grants, _ := out.([]*messenger.RightsGrants)
	return grants, nil
}
