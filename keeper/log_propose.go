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
	// proposeTimeout bounds all attempts at one change. It is shorter than
	// the timeout of an operator's command.
	proposeTimeout        = 8 * time.Second
	proposeAttemptTimeout = time.Second
	proposeRetryInterval  = 50 * time.Millisecond
	// leaderWait is how long a change waits for a leader before it is
	// refused. It exceeds the duration of an election.
	leaderWait = 2500 * time.Millisecond
)

// Propose has a change accepted or refused; any keeper can be called. While
// leaders change the keeper retries under the same change id. If the outcome
// stays unknown, the reply says so.
func (s *configurationServer) Propose(ctx context.Context, r *messenger.ProposeRequest) (*messenger.ProposeReply, error) {
	if r.Change == nil {
		return nil, status.Error(codes.InvalidArgument, "change: missing")
	}
	if r.Forwarded {
		out, err := s.proposeLocally(ctx, r.Change)
		if errors.Is(err, committer.ErrNotLeader) {
			return nil, status.Error(codes.FailedPrecondition, err.Error())
		}
		return out, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.proposeUntil(ctx, r.Change)
}

// proposeUntil retries a change until it is decided or ctx ends.
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
			return nil, s.notAcceptedError()
		}
		select {
		case <-ctx.Done():
			if !begun {
				return nil, s.notAcceptedError()
			}
			return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_UNKNOWN, Version: s.version()}, nil
		case <-time.After(proposeRetryInterval):
		}
	}
}

// proposeOnce sends a change to the current leader. committer.ErrNotLeader
// and committer.ErrBusy mean that the change has reached no log.
func (s *configurationServer) proposeOnce(ctx context.Context, c *messenger.Change) (*messenger.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeAttemptTimeout)
	defer cancel()
	l := s.loop.State().Leader()
	if p, ok := s.keeper.peers.keeperByName(l); ok {
		go s.cancelOnLeaderChange(ctx, cancel, l)
		out, err := p.configuration().Propose(ctx, &messenger.ProposeRequest{Change: c, Forwarded: true})
		if status.Code(err) == codes.FailedPrecondition {
			return nil, committer.ErrNotLeader
		}
		return out, err
	}
	if l != s.keeper.self.Name() {
		return nil, committer.ErrNotLeader
	}
	return s.proposeLocally(ctx, c)
}

// cancelOnLeaderChange cancels a call as soon as this keeper no longer
// considers the callee the leader. A leader behind a network partition that
// drops packets never answers, and the change need not wait for the timeout
// of the attempt.
func (s *configurationServer) cancelOnLeaderChange(ctx context.Context, cancel func(), leader string) {
	t := time.NewTicker(proposeRetryInterval)
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

// proposeLocally proposes a copy of the change to this keeper's log: a caller
// that gives up may resend the change while the loop still reads it.
func (s *configurationServer) proposeLocally(ctx context.Context, c *messenger.Change) (*messenger.ProposeReply, error) {
	return s.loop.propose(ctx, proto.Clone(c).(*messenger.Change))
}

// notAcceptedError reports that no keeper has the change, so that the
// operator is not told that the outcome is unknown.
func (s *configurationServer) notAcceptedError() error {
	return status.Error(codes.Aborted, status.Convert(s.noMajorityError("the change was not accepted")).Message())
}

// noMajorityError returns the error of a keeper that reaches no majority,
// with the version and age of its copy. The text starts with what failed.
func (s *configurationServer) noMajorityError(what string) error {
	st := s.loop.State()
	age := "not confirmed since this keeper started"
	if !st.ConfirmedAt().IsZero() {
		age = "confirmed " + time.Since(st.ConfirmedAt()).Round(time.Millisecond).String() + " ago"
	}
	return status.Errorf(codes.Unavailable, "%s: %s reaches no majority of the keepers; its copy is version %d, %s",
		what, s.keeper.self.Name(), s.loop.version(), age)
}
