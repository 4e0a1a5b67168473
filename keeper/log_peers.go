package keeper

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// maxOutboxMessages bounds the messages queued for one keeper. Further
	// ones are dropped, which the log handles like loss on a network.
	maxOutboxMessages = 256
	streamRetryDelay  = 50 * time.Millisecond
	// barrierTimeout bounds how long a confirmed read waits for a majority.
	barrierTimeout       = 1500 * time.Millisecond
	barrierRetryInterval = 50 * time.Millisecond
)

// outbox sends log messages to one keeper, in order.
type outbox struct {
	peer     peer
	messages chan *messenger.LogMessage
}

func (o *outbox) put(m *messenger.LogMessage) {
	select {
	case o.messages <- m:
	default:
	}
}

func (o *outbox) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.stream(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(streamRetryDelay):
		}
	}
}

func (o *outbox) stream(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := messenger.NewLogKeeperClient(o.peer.conn).Carry(ctx)
	if err != nil {
		return
	}
	for {
		select {
		case <-s.Context().Done():
			return
		case m := <-o.messages:
			if err := s.Send(m); err != nil {
				return
			}
		}
	}
}

// logServer serves the log protocol to the other keepers.
type logServer struct {
	messenger.UnimplementedLogKeeperServer
	loop *logLoop
}

// Carry receives a stream of log messages from another keeper.
func (s *logServer) Carry(r grpc.ClientStreamingServer[messenger.LogMessage, messenger.LogCarried]) error {
	for {
		m, err := r.Recv()
		if errors.Is(err, io.EOF) {
			return r.SendAndClose(&messenger.LogCarried{})
		}
		if err != nil {
			return err
		}
		// A message that finds the queue full is dropped; the log sends it
		// again.
		if err := s.loop.Receive(m); err != nil && !errors.Is(err, committer.ErrBusy) {
			return err
		}
	}
}

// Barrier returns the commit index once a majority has confirmed this keeper
// as leader.
func (s *logServer) Barrier(ctx context.Context, _ *messenger.BarrierRequest) (*messenger.BarrierReply, error) {
	index, err := s.loop.ReadIndex(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &messenger.BarrierReply{Index: index}, nil
}

// barrier waits until the local copy has everything that was accepted before
// the call. It fails if no majority confirms that within barrierTimeout.
func (s *configurationServer) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	for {
		err := s.barrierOnce(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(barrierRetryInterval):
		}
	}
}

// barrierOnce makes one attempt at barrier.
func (s *configurationServer) barrierOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	index, err := s.confirmedIndex(ctx)
	if err != nil {
		return err
	}
	return s.loop.WaitApplied(ctx, index)
}

// confirmedIndex returns the leader's commit index after a majority has
// confirmed its leadership.
func (s *configurationServer) confirmedIndex(ctx context.Context) (uint64, error) {
	l := s.loop.State().Leader()
	if p, ok := s.keeper.peers.keeperByName(l); ok {
		r, err := messenger.NewLogKeeperClient(p.conn).Barrier(ctx, &messenger.BarrierRequest{})
		return r.GetIndex(), err
	}
	if l != s.keeper.self.Name() {
		return 0, committer.ErrNotLeader
	}
	return s.loop.ReadIndex(ctx)
}
