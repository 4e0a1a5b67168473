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

// errHomeLost says that a sibling ended or fell silent before its answer did.
var errHomeLost = merry.Sentinel("the router that runs the request is lost")

// deadlineMargin is how much earlier the home gives up than its relay, so
// that the home's better knowledge of the outcome reaches the caller.
const deadlineMargin = 20 * time.Millisecond

// answerVia has the request's home answer it, the next home where that one is
// lost, and this router last.
func (r *Router) answerVia(ctx context.Context, q *request, f *feed) error {
	tried := map[string]bool{}
	for {
		r.peers.await(ctx)
		x := r.peers.homeOf(q.key, tried)
		if x == nil {
			return r.answerLocally(ctx, q, f, false)
		}
		err := r.relayTraced(ctx, q, x, f)
		if ctx.Err() != nil || !askNext(err) {
			return err
		}
		peerCounters.Add("homes_lost", 1)
		tried[x.process.Name()] = true
		// The lost home may have run the request; where its bytes came from
		// is resumed, so that the caller's answer goes on with the same run.
		c := *q
		c.again = c.again || errors.Is(err, errHomeLost)
		if f.stream.ID != "" {
			c.resume = f.stream
		}
		q = &c
	}
}

// joinPatience bounds the wait for a sign of a router that may have a run: in
// a cut zone it would otherwise take the time in which another could answer.
const joinPatience = time.Second

// askNext reports whether another router may answer what this one has not.
func askNext(err error) bool {
	var p *Problem
	if errors.As(err, &p) {
		return p.Code == CodeDraining || p.Code == CodeNotReady
	}
	return errors.Is(err, errHomeLost)
}

// joinAt takes a run's answer from the router that has it.
func (r *Router) joinAt(ctx context.Context, q *request, run *joiner.Run, x *peer) (*joiner.Answer, error) {
	run.Follow(true)
	defer run.Follow(false)
	s := &runSink{run: run}
	if err := r.relay(ctx, q, x, &feed{sink: s}, true); err != nil {
		return nil, err
	}
	return s.answer, nil
}

// relay asks a sibling for the answer and feeds it on.
func (r *Router) relay(ctx context.Context, q *request, x *peer, f *feed, joinOnly bool) error {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	w := watch{homes: r.peers, sibling: x, cancel: cancel}
	if x.session.Load().Err() == nil {
		w.begin()
	}
	defer w.end()
	ask := toAnswerRequest(q, joinOnly)
	ask.Streamed = f.sink.streamed()
	in, err := x.client.Answer(c, ask)
	if err != nil {
		return lost(ctx, err)
	}
	taken := time.AfterFunc(time.Until(q.deadline), cancel)
	defer taken.Stop()
	if joinOnly {
		taken.Reset(joinPatience)
	}
	for {
		e, err := in.Recv()
		taken.Stop()
		if err != nil {
			return lost(ctx, err)
		}
		w.heard()
		done, err := feedEvent(f, e)
		if done || err != nil {
			return err
		}
	}
}

// lost tells a lost sibling from the end of the caller's own time.
func lost(ctx context.Context, err error) error {
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

func feedEvent(f *feed, e *messenger.AnswerEvent) (done bool, err error) {
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
