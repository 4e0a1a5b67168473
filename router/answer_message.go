package router

import (
	"net/http"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
)

// toAnswerRequest encodes a request for the Answer call to another router. The
// timeout is shorter than the time left by deadlineMargin.
func toAnswerRequest(q *request, joinOnly bool) *messenger.AnswerRequest {
	return &messenger.AnswerRequest{
		Workspace: q.key.Workspace(), RequestId: q.key.RequestID(), Digest: q.digest[:],
		Service: q.service.Name, Method: q.method, Path: q.path, Query: q.rawQuery,
		Headers: toHeaderFields(q.header), Body: q.body, MaxAnswerTokens: q.maxAnswer, WorstTokens: int64(q.maxCharge),
		Repeatable: q.repeatable, Priority: int32(q.priority), Prefix: q.prefixHash,
		TimeoutMs: (time.Until(q.deadline) - deadlineMargin).Milliseconds(),
		JoinOnly:  joinOnly, OwnId: q.generatedID, TicketZone: q.ticket.zone, TicketStore: q.ticket.store,
		StreamId: q.resume.ID, Endpoint: q.resume.Endpoint, Again: q.rerouted,
	}
}

// fromAnswerRequest decodes a request from another router and resolves its
// service and workspace in this router's configuration.
func (r *Router) fromAnswerRequest(a *messenger.AnswerRequest) (*request, error) {
	notReady := &Problem{Status: http.StatusServiceUnavailable, Code: CodeNotReady, Outcome: NotRun, Detail: "the home router does not know the configuration or its zone's routers yet", After: defaultRetryAfter}
	s := r.snapshot.Load()
	if s == nil || !a.JoinOnly && !r.peers.settled() || len(a.Digest) != len(joiner.Digest{}) {
		return nil, notReady
	}
	service, err := s.Service(a.Service)
	if err != nil {
		return nil, notReady
	}
	workspace, err := s.Workspace(a.Workspace)
	if err != nil {
		return nil, notReady
	}
	return &request{
		key: rattanhoist.NewRequestKey(a.Workspace, a.RequestId), workspace: workspace, service: service,
		digest: joiner.Digest(a.Digest), method: a.Method, path: a.Path, rawQuery: a.Query,
		header: fromHeaderFields(a.Headers), body: a.Body, maxAnswer: a.MaxAnswerTokens, maxCharge: rattanhoist.Tokens(a.WorstTokens),
		streamed: a.Streamed, repeatable: a.Repeatable, priority: int(a.Priority), prefixHash: a.Prefix,
		deadline:    time.Now().Add(time.Duration(a.TimeoutMs) * time.Millisecond),
		generatedID: a.OwnId, ticket: ticket{zone: a.TicketZone, store: a.TicketStore},
		resume: joiner.Stream{ID: a.StreamId, Endpoint: a.Endpoint}, rerouted: a.Again,
	}, nil
}

// fromAnswerEnd decodes the final message of an answer.
func fromAnswerEnd(e *messenger.AnswerEnd) *joiner.Answer {
	return &joiner.Answer{
		Endpoint: e.Endpoint, PromptTokens: e.PromptTokens, AnswerTokens: e.AnswerTokens, Length: e.Length,
		Digest: e.Digest, FinishReason: e.FinishReason, Charged: rattanhoist.Tokens(e.ChargedTokens),
		Status: int(e.Status), Header: fromHeaderFields(e.Headers),
	}
}

// toAnswerEnd encodes the final message of an answer.
func toAnswerEnd(a *joiner.Answer) *messenger.AnswerEnd {
	return &messenger.AnswerEnd{
		Endpoint: a.Endpoint, PromptTokens: a.PromptTokens, AnswerTokens: a.AnswerTokens, Length: a.Length,
		Digest: a.Digest, FinishReason: a.FinishReason, ChargedTokens: int64(a.Charged),
		Status: int32(a.Status), Headers: toHeaderFields(a.Header),
	}
}

// toHeaderFields encodes HTTP headers.
func toHeaderFields(h http.Header) []*messenger.HeaderField {
	var out []*messenger.HeaderField
	for name, values := range h {
		out = append(out, &messenger.HeaderField{Name: name, Values: values})
	}
	return out
}

// fromHeaderFields decodes HTTP headers.
func fromHeaderFields(fields []*messenger.HeaderField) http.Header {
	h := http.Header{}
	for _, f := range fields {
		h[f.Name] = f.Values
	}
	return h
}
