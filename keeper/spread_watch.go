package keeper

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
)

// heartbeatEvery is the pause between messages to a subscriber without
// changes.
const heartbeatEvery = 500 * time.Millisecond

// Watch pushes changes and heartbeats to a subscriber until it goes. A keeper
// whose copy may be incomplete, because its disk was emptied, serves nobody
// before a majority has confirmed it.
func (s *configurationServer) Watch(r *messenger.WatchRequest, w grpc.ServerStreamingServer[messenger.Update]) error {
	sub := subscriber{version: r.Version, digest: r.Digest, confirmed: s.barrier(w.Context()) == nil}
	if st := s.loop.state.Load(); !sub.confirmed && !st.voter && st.confirmedAt.IsZero() {
		return s.cutOff("this keeper's copy may be incomplete")
	}
	t := time.NewTicker(heartbeatEvery)
	defer t.Stop()
	for {
		u, changed, err := s.update(w.Context(), &sub)
		if err != nil {
			return err
		}
		if err := w.Send(u); err != nil {
			return err
		}
		if err := s.awaitNews(w.Context(), &sub, changed, t.C); err != nil {
			return err
		}
	}
}

// subscriber is what one stream's other end has.
type subscriber struct {
	version uint64
	digest  uint64
	// Confirmed says that a majority confirmed the copy since it came.
	confirmed bool
}

// update returns what brings the subscriber to the local version: nothing,
// changes, or the whole configuration where the changes are no longer kept or
// where its copy of the version is another.
func (s *configurationServer) update(ctx context.Context, sub *subscriber) (*messenger.Update, <-chan struct{}, error) {
	u := &messenger.Update{AgeMs: s.ageMS(), Confirmed: sub.confirmed}
	var changed <-chan struct{}
	err := s.loop.view(ctx, func(b *configurer.Book) {
		changed = s.loop.state.Load().changed
		u.Version, u.Digest, u.BaseVersion = b.Version(), b.Digest(), sub.version
		changes, kept := b.Since(sub.version)
		if !kept || sub.version == u.Version && sub.digest != u.Digest {
			u.Configuration = s.loop.configuration()
			return
		}
		u.Changes = changes
	})
	if u.Version >= sub.version {
		sub.version, sub.digest = u.Version, u.Digest
	}
	return u, changed, err
}

// awaitNews waits for a change or the next heartbeat. Until the copy is
// confirmed it tries that again at each heartbeat.
func (s *configurationServer) awaitNews(ctx context.Context, sub *subscriber, changed <-chan struct{}, beat <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.loop.ended:
		return s.cutOff("the keeper stops")
	case <-changed:
	case <-beat:
		if !sub.confirmed {
			sub.confirmed = s.barrierOnce(ctx) == nil
		}
	}
	return nil
}
