package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
)

// errHomeLost is returned if a sibling disconnects or is considered dead before
// its answer is complete.
var errHomeLost = merry.Sentinel("the router that runs the request is lost")

// deadlineMargin is how much earlier the home gives up than the router that
// relays its answer. The home knows the outcome better, and its refusal then
// reaches the caller in time.
const deadlineMargin = 20 * time.Millisecond

// answerViaHome answers a request through its home. If the home is lost, the
// next one in rank takes over, and this router itself comes last.
func (r *Router) answerViaHome(ctx context.Context, q *request, f *feed) error {
	tried := map[string]bool{}
	for {
		r.peers.awaitClearView(ctx)
		x := r.peers.homeOf(q.key, tried)
		if x == nil {
			return r.answerLocally(ctx, q, f, false)
		}
		err := r.relayTraced(ctx, q, x, f)
		if ctx.Err() != nil || !canAskNextRouter(err) {
			return err
		}
		peerCounters.Add("homes_lost", 1)
		tried[x.process.Name()] = true
		// The lost home may have run the request. Resume the stream that its
		// bytes came from, so that the caller's answer continues the same run.
		c := *q
		c.rerouted = c.rerouted || errors.Is(err, errHomeLost)
		if f.stream.ID != "" {
			c.resume = f.stream
		}
		q = &c
	}
}

// joinTimeout bounds the wait for the first message of a router that may have a
// run. Without it, a partitioned zone would use up the time in which another
// router could answer.
const joinTimeout = time.Second

// canAskNextRouter reports whether another router may be able to answer after
// this error.
func canAskNextRouter(err error) bool {
	var p *Problem
	if errors.As(err, &p) {
		return p.Code == CodeDraining || p.Code == CodeNotReady
	}
	return errors.Is(err, errHomeLost)
}

// joinRunAt copies the answer of a run at another router into a local run.
func (r *Router) joinRunAt(ctx context.Context, q *request, run *joiner.Run, x *peer) (*joiner.Answer, error) {
	run.SetFollowing(true)
	defer run.SetFollowing(false)
	s := &runSink{run: run}
	if err := r.relay(ctx, q, x, &feed{sink: s}, true); err != nil {
		return nil, err
	}
	return s.answer, nil
}

// relay asks a peer for the answer and passes its events to the feed. With
// joinOnly, the peer starts no run of its own.
func (r *Router) relay(ctx context.Context, q *request, x *peer, f *feed, joinOnly bool) error {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	w := peerWatch{peers: r.peers, sibling: x, cancel: cancel}
	if x.session.Load().Err() == nil {
		w.begin()
	}
	defer w.end()
	ask := toAnswerRequest(q, joinOnly)
	ask.Streamed = f.sink.streamed()
	in, err := x.client.Answer(c, ask)
	if err != nil {
		return relayError(ctx, err)
	}
	firstEventTimer := time.AfterFunc(time.Until(q.deadline), cancel)
	defer firstEventTimer.Stop()
	if joinOnly {
		firstEventTimer.Reset(joinTimeout)
	}
	for {
		e, err := in.Recv()
		firstEventTimer.Stop()
		if err != nil {
			return relayError(ctx, err)
		}
		w.recordMessage()
		done, err := applyAnswerEvent(f, e)
		if done || err != nil {
			return err
		}
	}
}

// relayError converts a failure of the answer stream. The caller's own
// cancellation or deadline takes precedence over the loss of the peer.
func relayError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		return errHomeLost
	}
	if c := status.Code(err); c == codes.ResourceExhausted || c == codes.InvalidArgument {
		return &Problem{Status: http.StatusBadGateway, Code: codeInternal, Outcome: Unknown, Detail: err.Error()}
	}
	return merry.Wrap(errHomeLost, merry.AppendMessage(err.Error()))
}

// applyAnswerEvent passes one event of a peer's answer to the feed and reports
// whether it was the last.
func applyAnswerEvent(f *feed, e *messenger.AnswerEvent) (done bool, err error) {
	switch k := e.Kind.(type) {
	case *messenger.AnswerEvent_Begin:
		return false, f.begin(joiner.Stream{ID: k.Begin.StreamId, Endpoint: k.Begin.Endpoint})
	case *messenger.AnswerEvent_Chunk:
		return false, f.chunk(k.Chunk.Offset, k.Chunk.Text)
	case *messenger.AnswerEvent_End:
		return true, f.complete(fromAnswerEnd(k.End))
	case *messenger.AnswerEvent_Problem:
		p := k.Problem
		return true, &Problem{
			Status: int(p.Status), Code: p.Code, Detail: p.Detail, Field: p.Field,
			Outcome: Outcome(p.Outcome), After: time.Duration(p.AfterMs) * time.Millisecond,
		}
	}
	return false, nil
}
