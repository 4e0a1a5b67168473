package keeper

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
)

// heartbeatInterval is the pause between messages to a subscriber while there
// are no changes.
const heartbeatInterval = 500 * time.Millisecond

// Watch streams changes and heartbeats to a subscriber until it disconnects.
// A keeper whose copy may be incomplete, because its disk was emptied, serves
// no subscriber until a majority has confirmed the copy.
func (s *configurationServer) Watch(r *messenger.WatchRequest, w grpc.ServerStreamingServer[messenger.Update]) error {
	sub := subscriberState{version: r.Version, digest: r.Digest, confirmed: s.barrier(w.Context()) == nil}
	if st := s.loop.State(); !sub.confirmed && !st.IsVoter() && st.ConfirmedAt().IsZero() {
		return s.noMajorityError("this keeper's copy may be incomplete")
	}
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		u, changed, err := s.update(w.Context(), &sub)
		if err != nil {
			return err
		}
		if err := w.Send(u); err != nil {
			return err
		}
		if err := s.waitForUpdate(w.Context(), &sub, changed, t.C); err != nil {
			return err
		}
	}
}

// subscriberState is the copy that the other end of a stream has.
type subscriberState struct {
	version uint64
	digest  uint64
	// confirmed is set once a majority has confirmed the keeper's copy since
	// the subscriber connected.
	confirmed bool
}

// update returns the message that brings the subscriber to the local version,
// and a channel that is closed at the next change. The message holds no
// changes, the missing changes, or the whole configuration if the changes are
// no longer kept or the subscriber's copy of its version differs.
func (s *configurationServer) update(ctx context.Context, sub *subscriberState) (*messenger.Update, <-chan struct{}, error) {
	type news struct {
		update  *messenger.Update
		changed <-chan struct{}
	}
	has, age := *sub, s.ageMS()
	n, err := viewBook(ctx, s.loop, func(b *configurer.Book) news {
		return news{update: s.missingUpdate(b, has), changed: s.loop.State().Changed()}
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

// missingUpdate returns the part of the book that a subscriber lacks.
func (s *configurationServer) missingUpdate(b *configurer.Book, has subscriberState) *messenger.Update {
	u := &messenger.Update{Version: b.Version(), Digest: b.Digest(), BaseVersion: has.version}
	changes, kept := b.ChangesSince(has.version)
	if !kept || has.version == u.Version && has.digest != u.Digest {
		u.Configuration = s.loop.configuration()
		return u
	}
	u.Changes = changes
	return u
}

// waitForUpdate waits for a change or the next heartbeat. At each heartbeat
// it retries to confirm the copy, if that has not succeeded yet.
func (s *configurationServer) waitForUpdate(ctx context.Context, sub *subscriberState, changed <-chan struct{}, beat <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.loop.Done():
		return s.noMajorityError("the keeper stops")
	case <-changed:
	case <-beat:
		if !sub.confirmed {
			sub.confirmed = s.barrierOnce(ctx) == nil
		}
	}
	return nil
}
