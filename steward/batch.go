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
	// batchMost bounds the claims of one entry, and batchQueue those that wait.
	batchMost  = 64
	batchQueue = 512
	// batchTimeout ends an entry's wait; its outcome is then unknown.
	batchTimeout = 700 * time.Millisecond
)

// pending is a claim that waits for its entry.
type pending struct {
	change *messenger.RightsChange
	done   chan *messenger.RightsGrants
}

// batcher commits the claims of many routers in few entries: while one entry
// is under way, the claims that come wait for the next. Each entry costs a sync of every
// voter's disk.
type batcher struct {
	propose func(context.Context, []byte) (any, error)
	log     *zap.Logger
	queue   chan pending
}

func newBatcher(propose func(context.Context, []byte) (any, error), log *zap.Logger) *batcher {
	return &batcher{propose: propose, log: log, queue: make(chan pending, batchQueue)}
}

// claim returns what a claim was granted, once that is committed.
func (b *batcher) claim(ctx context.Context, c *messenger.RightsChange) (*messenger.RightsGrants, error) {
	p := pending{change: c, done: make(chan *messenger.RightsGrants, 1)}
	select {
	case b.queue <- p:
	default:
		return nil, merry.Errorf("%w: too many claims wait", ErrNotNow)
	}
	select {
	case g := <-p.done:
		if g == nil {
			return nil, ErrNotNow
		}
		return g, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-b.queue:
			b.commit(ctx, b.gather(p))
		}
	}
}

func (b *batcher) gather(first pending) []pending {
	out := []pending{first}
	for len(out) < batchMost {
		select {
		case p := <-b.queue:
			out = append(out, p)
		default:
			return out
		}
	}
	return out
}

func (b *batcher) commit(ctx context.Context, batch []pending) {
	grants, err := b.entry(ctx, batch)
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

func (b *batcher) entry(ctx context.Context, batch []pending) ([]*messenger.RightsGrants, error) {
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
