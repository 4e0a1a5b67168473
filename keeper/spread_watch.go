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
	if st := s.loop.State(); !sub.confirmed && !st.Votes() && st.ConfirmedAt().IsZero() {
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
	type news struct {
		update  *messenger.Update
		changed <-chan struct{}
	}
	has, age := *sub, s.ageMS()
	n, err := viewBook(ctx, s.loop, func(b *configurer.Book) news {
		return news{update: s.missing(b, has), changed: s.loop.State().Changed()}
	})
	if err != nil {
		return nil, nil, err
	}
	u := n.update
	u.AgeMs, u.Confirmed = age, sub.confirmed
	if u.Version >= sub.version {
		sub.version, sub.digest = u.Version, u.Digest
	}
	return u, n.changed, nil
}

// missing returns what the book has and a subscriber does not.
func (s *configurationServer) missing(b *configurer.Book, has subscriber) *messenger.Update {
	u := &messenger.Update{Version: b.Version(), Digest: b.Digest(), BaseVersion: has.version}
	changes, kept := b.Since(has.version)
	if !kept || has.version == u.Version && has.digest != u.Digest {
		u.Configuration = s.loop.configuration()
		return u
	}
	u.Changes = changes
	return u
}

// awaitNews waits for a change or the next heartbeat. Until the copy is
// confirmed it tries that again at each heartbeat.
func (s *configurationServer) awaitNews(ctx context.Context, sub *subscriber, changed <-chan struct{}, beat <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.loop.Ended():
		return s.cutOff("the keeper stops")
	case <-changed:
	case <-beat:
		if !sub.confirmed {
			sub.confirmed = s.barrierOnce(ctx) == nil
		}
	}
	return nil
}
