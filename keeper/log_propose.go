package keeper

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// proposeTimeout bounds the tries of one change, below the time that an
	// operator's command waits.
	proposeTimeout = 8 * time.Second
	proposeTry     = time.Second
	proposeRetry   = 50 * time.Millisecond
	// leaderWait is how long a change waits for a leader before it is
	// refused; longer than an election takes.
	leaderWait = 2500 * time.Millisecond
)

// Propose accepts or refuses a change at any keeper. The keeper tries again
// under the same change id while leaders change; where the outcome stays
// unknown it says so.
func (s *configurationServer) Propose(ctx context.Context, r *messenger.ProposeRequest) (*messenger.ProposeReply, error) {
	if r.Change == nil {
		return nil, status.Error(codes.InvalidArgument, "change: missing")
	}
	if r.Forwarded {
		out, err := s.proposeHere(ctx, r.Change)
		if errors.Is(err, committer.ErrNotLeader) {
			return nil, status.Error(codes.FailedPrecondition, err.Error())
		}
		return out, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.proposeUntil(ctx, r.Change)
}

func (s *configurationServer) proposeUntil(ctx context.Context, c *messenger.Change) (*messenger.ProposeReply, error) {
	started := time.Now()
	begun := false
	for {
		out, err := s.proposeOnce(ctx, c)
		if err == nil {
			return out, nil
		}
		begun = begun || !errors.Is(err, committer.ErrNotLeader) && !errors.Is(err, committer.ErrBusy)
		if !begun && time.Since(started) > leaderWait {
			return nil, s.notBegun()
		}
		select {
		case <-ctx.Done():
			if !begun {
				return nil, s.notBegun()
			}
			return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_UNKNOWN, Version: s.version()}, nil
		case <-time.After(proposeRetry):
		}
	}
}

// proposeOnce tries the leader that is known now; committer.ErrNotLeader and ErrBusy
// say that nothing was begun.
func (s *configurationServer) proposeOnce(ctx context.Context, c *messenger.Change) (*messenger.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTry)
	defer cancel()
	l := s.loop.State().Leader()
	if p, ok := s.keeper.peers.name(l); ok {
		go s.endWithLeader(ctx, cancel, l)
		out, err := p.configuration().Propose(ctx, &messenger.ProposeRequest{Change: c, Forwarded: true})
		if status.Code(err) == codes.FailedPrecondition {
			return nil, committer.ErrNotLeader
		}
		return out, err
	}
	if l != s.keeper.self.Name() {
		return nil, committer.ErrNotLeader
	}
	return s.proposeHere(ctx, c)
}

// endWithLeader cancels a call once its leader is no longer taken for one: a
// leader that was cut off silently answers nothing, and the change need not
// wait for the end of the try.
func (s *configurationServer) endWithLeader(ctx context.Context, cancel func(), leader string) {
	t := time.NewTicker(proposeRetry)
	defer t.Stop()
	for s.loop.State().Leader() == leader {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
	cancel()
}

// proposeHere hands the loop its own copy: a caller that gives up may send
// the change again while the loop still reads it.
func (s *configurationServer) proposeHere(ctx context.Context, c *messenger.Change) (*messenger.ProposeReply, error) {
	return s.loop.change(ctx, proto.Clone(c).(*messenger.Change))
}

// notBegun says that no keeper has the change, so that an operator is not
// told that the outcome is unknown.
func (s *configurationServer) notBegun() error {
	return status.Error(codes.Aborted, status.Convert(s.cutOff("the change was not accepted")).Message())
}

// cutOff is the refusal of a keeper that finds no majority.
func (s *configurationServer) cutOff(what string) error {
	st := s.loop.State()
	age := "not confirmed since this keeper started"
	if !st.ConfirmedAt().IsZero() {
		age = "confirmed " + time.Since(st.ConfirmedAt()).Round(time.Millisecond).String() + " ago"
	}
	return status.Errorf(codes.Unavailable, "%s: %s reaches no majority of the keepers; its copy is version %d, %s",
		what, s.keeper.self.Name(), s.loop.version(), age)
}
