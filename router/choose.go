package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/picker"
	"rattanhoist.example/rattanhoist/recorder"
	"rattanhoist.example/rattanhoist/tracer"
)

func (r *Router) pickerName(name string) string {
	if name == "" {
		return r.settings.Policy().Picker()
	}
	return name
}

func pickReason(picker string, c *picker.Candidate) string {
	state := ""
	if c.Stats().Ejected() {
		state = ", on probation after failures"
	}
	return fmt.Sprintf("%s: %d of this router's requests there, load %d of %d%s",
		picker, c.Stats().InFlight(), c.Endpoint().Load(), c.Endpoint().Capacity(), state)
}

func (r *Router) picker(name string) picker.Picker {
	name = r.pickerName(name)
	p, ok := r.pickers.Load(name)
	if !ok {
		made, _ := picker.New(name)
		p, _ = r.pickers.LoadOrStore(name, made)
	}
	return p.(picker.Picker)
}

// promptBytes is how many bytes of a prompt make a token, about.
const promptBytes = 4

func (q *request) query(now time.Time) picker.Query {
	return picker.Query{
		Now: now, Deadline: q.deadline, Prefix: q.prefix, PromptTokens: int64(len(q.body)) / promptBytes,
		MaxAnswer: q.maxAnswer, NotRepeatable: !q.repeatable, Seed: rand.Uint64(),
	}
}

// pick returns an endpoint that may serve the request and is not in tried.
func (r *Router) pick(ctx context.Context, q *request, tried map[string]bool) (*rattanhoist.Endpoint, error) {
	now := time.Now()
	set := r.candidates(q, now)
	p := q.query(now)
	for name := range tried {
		p.Tried = append(p.Tried, r.ledger.Known(name))
	}
	_, span := tracer.Begin(ctx, tracer.HopPick)
	defer span.End(nil)
	i := r.picker(q.service.Picker).Pick(p, set)
	if i < 0 {
		return nil, rattanhoist.ErrNoEndpoint
	}
	kind := recorder.Picked
	if len(tried) > 0 {
		kind = recorder.Retried
	}
	c := set.At(i)
	r.record(q, recorder.Decision{
		Kind: kind, Endpoint: c.Endpoint().Name(), Candidates: set.Len(),
		Reason: pickReason(r.pickerName(q.service.Picker), c),
	})
	return c.Endpoint(), nil
}

// sent is one dispatch, for what later picks learn of it.
type sent struct {
	run   picker.Run
	begun bool
	// Texts counts the texts of the answer that have come.
	texts int64
	// Cached is the cached part of the prompt in tokens, -1 where unknown.
	cached int64
}

// began notes the dispatch of a request to an endpoint.
func (r *Router) began(q *request, e *rattanhoist.Endpoint) *sent {
	return &sent{cached: -1, run: r.ledger.BeginAt(e, q.query(time.Now()))}
}

// text notes a text of the answer.
func (s *sent) text() {
	now := time.Now()
	if !s.begun {
		s.begun = true
		s.run.First(now)
	}
	s.texts++
	s.run.Text(now, s.texts)
}

// end notes how the run ended. A caller that left or a deadline that passed
// is no fault of the endpoint's, nor is an announcement that grew too old.
func (s *sent) end(a *joiner.Answer, err error) {
	var answerTokens int64
	if a != nil {
		answerTokens = a.AnswerTokens
	}
	gone := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, rattanhoist.ErrNoEndpoint)
	s.run.End(time.Now(), picker.Outcome{
		AnswerTokens: answerTokens, CachedTokens: s.cached, Whole: err == nil, Fault: err != nil && !gone,
	}, rand.Float64())
}
