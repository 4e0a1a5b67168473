package router

import (
	"context"
	"errors"
	"net/http"

	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
)

// maxChunkBytes bounds the text in one message between routers.
const maxChunkBytes = 256 << 10

// homeServer serves the calls of other routers to the home of a request.
type homeServer struct {
	messenger.UnimplementedHomeRouterServer
	router *Router
}

// Answer runs or joins a request for another router. A draining router still
// answers from runs in progress.
func (s *homeServer) Answer(a *messenger.AnswerRequest, out messenger.HomeRouter_AnswerServer) error {
	r := s.router
	open := r.gate.enter()
	if !open {
		r.gate.add()
	}
	defer r.gate.leave()
	sink := &rpcSink{out: out, wantsStream: a.Streamed}
	q, err := r.fromAnswerRequest(a)
	if err != nil {
		sink.fail(problemFromError(err))
		return nil
	}
	if a.JoinOnly {
		// The first message shows that this router is alive, so that the caller
		// need not wait for the first bytes of the answer.
		if err := sink.begin(joiner.Stream{}); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithDeadline(out.Context(), q.deadline)
	defer cancel()
	err = r.answerLocally(ctx, q, &feed{sink: sink}, a.JoinOnly || !open)
	if errors.Is(err, joiner.ErrNotFound) && !open {
		err = drainingProblem()
	}
	if err != nil {
		sink.fail(problemFromError(err))
	}
	return nil
}

// drainingProblem returns the refusal of a router that is shutting down.
func drainingProblem() *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Code: CodeDraining, Outcome: NotRun, Detail: "this router is shutting down; ask another", After: defaultRetryAfter}
}

// rpcSink sends an answer to another router.
type rpcSink struct {
	out         messenger.HomeRouter_AnswerServer
	wantsStream bool
}

func (s *rpcSink) begin(t joiner.Stream) error {
	return s.out.Send(&messenger.AnswerEvent{Kind: &messenger.AnswerEvent_Begin{Begin: &messenger.AnswerBegin{StreamId: t.ID, Endpoint: t.Endpoint}}})
}

func (s *rpcSink) streamed() bool { return s.wantsStream }

func (s *rpcSink) chunk(offset int64, text []byte) error {
	for len(text) > 0 {
		n := min(len(text), maxChunkBytes)
		err := s.out.Send(&messenger.AnswerEvent{Kind: &messenger.AnswerEvent_Chunk{Chunk: &messenger.AnswerChunk{Offset: offset, Text: text[:n]}}})
		if err != nil {
			return err
		}
		offset, text = offset+int64(n), text[n:]
	}
	return nil
}

func (s *rpcSink) complete(a *joiner.Answer) error {
	return s.out.Send(&messenger.AnswerEvent{Kind: &messenger.AnswerEvent_End{End: toAnswerEnd(a)}})
}

func (s *rpcSink) fail(p *Problem) {
	_ = s.out.Send(&messenger.AnswerEvent{Kind: &messenger.AnswerEvent_Problem{Problem: &messenger.AnswerProblem{
		Status: int32(p.Status), Code: p.Code, Detail: p.Detail, Field: p.Field,
		Outcome: string(p.Outcome), AfterMs: p.After.Milliseconds(),
	}}})
}
