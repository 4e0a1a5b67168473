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

// pickerName returns name, or the default picker if name is empty.
func (r *Router) pickerName(name string) string {
	if name == "" {
		return r.settings.Policy().Picker()
	}
	return name
}

// pickReason describes the state of the chosen endpoint for the decision
// record.
func pickReason(picker string, c *picker.Candidate) string {
	state := ""
	if c.Stats().Ejected() {
		state = ", on probation after failures"
	}
	return fmt.Sprintf("%s: %d of this router's requests there, load %d of %d%s",
		picker, c.Stats().InFlight(), c.Endpoint().Load(), c.Endpoint().Capacity(), state)
}

// picker returns the picker with a name and creates it on first use.
func (r *Router) picker(name string) picker.Picker {
	name = r.pickerName(name)
	p, ok := r.pickers.Load(name)
	if !ok {
		created, _ := picker.New(name)
		p, _ = r.pickers.LoadOrStore(name, created)
	}
	return p.(picker.Picker)
}

// bytesPerPromptToken is the ratio used to estimate the tokens of a prompt.
const bytesPerPromptToken = 4

// pickerQuery describes the request to the picker.
func (q *request) pickerQuery(now time.Time) picker.Query {
	return picker.Query{
		Now: now, Deadline: q.deadline, Prefix: q.prefixHash, PromptTokens: int64(len(q.body)) / bytesPerPromptToken,
		MaxAnswer: q.maxAnswer, NotRepeatable: !q.repeatable, Seed: rand.Uint64(),
	}
}

// pick chooses an endpoint for the request, leaving out those in tried.
func (r *Router) pick(ctx context.Context, q *request, tried map[string]bool) (*rattanhoist.Endpoint, error) {
	now := time.Now()
	set := r.candidates(q, now)
	p := q.pickerQuery(now)
	for name := range tried {
		p.Tried = append(p.Tried, r.ledger.Lookup(name))
	}
	_, span := tracer.StartSpan(ctx, tracer.HopPick)
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
	r.recordDecision(q, recorder.Decision{
		Kind: kind, Endpoint: c.Endpoint().Name(), Candidates: set.Len(),
		Reason: pickReason(r.pickerName(q.service.Picker), c),
	})
	return c.Endpoint(), nil
}

// dispatchStats collects the measurements of one dispatch, from which the
// picker learns.
type dispatchStats struct {
	run     picker.Run
	gotText bool
	// textCount counts the pieces of answer text received.
	textCount int64
	// cachedTokens is the part of the prompt that the engine had cached, or -1
	// if it is not known.
	cachedTokens int64
}

// beginDispatch starts the measurements of a dispatch to an endpoint.
func (r *Router) beginDispatch(q *request, e *rattanhoist.Endpoint) *dispatchStats {
	return &dispatchStats{cachedTokens: -1, run: r.ledger.BeginAt(e, q.pickerQuery(time.Now()))}
}

// recordText counts a piece of answer text and reports the progress to the
// picker.
func (s *dispatchStats) recordText() {
	now := time.Now()
	if !s.gotText {
		s.gotText = true
		s.run.RecordFirstToken(now)
	}
	s.textCount++
	s.run.RecordChunks(now, s.textCount)
}

// finish reports the result of the dispatch to the picker. A cancellation by
// the caller, an expired deadline or an announcement that became too old does
// not count as a failure of the endpoint.
func (s *dispatchStats) finish(a *joiner.Answer, err error) {
	var answerTokens int64
	if a != nil {
		answerTokens = a.AnswerTokens
	}
	notEndpointFault := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, rattanhoist.ErrNoEndpoint)
	s.run.End(time.Now(), picker.Outcome{
		AnswerTokens: answerTokens, CachedTokens: s.cachedTokens, Complete: err == nil, EndpointFault: err != nil && !notEndpointFault,
	}, rand.Float64())
}
