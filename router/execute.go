package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/recorder"
	"rattanhoist.example/rattanhoist/tracer"
)

const (
	// runExpiryInterval is how often the joiner looks for runs that nobody
	// waits for.
	runExpiryInterval = 100 * time.Millisecond
	// abandonedRunGrace is how long a run goes on after its caller has gone, so
	// that a retry can join it.
	abandonedRunGrace = 2 * time.Second
	// maxKeptAnswerBytes bounds the answers that are kept for retries.
	maxKeptAnswerBytes = 128 << 20
	// maxJoins bounds how often one request joins a run that is then cancelled
	// by another caller.
	maxJoins = 3
)

// answerLocally joins or starts the run of a request at this router and passes
// its answer to the feed. With joinOnly it starts nothing.
func (r *Router) answerLocally(ctx context.Context, q *request, f *feed, joinOnly bool) error {
	rec, known := r.runRecords.get(q.key, time.Now())
	if known && rec.digest != q.digest {
		return joiner.ErrIDReused
	}
	var err error
	for range maxJoins {
		var run *joiner.Run
		var begun bool
		run, begun, err = r.joiner.Arrive(time.Now(), joiner.Arrive{
			Key: q.key, Digest: q.digest, Deadline: q.deadline,
			Pinned: !q.repeatable, JoinOnly: joinOnly,
			FirstAttempt: (q.generatedID || q.repeatable) && !q.rerouted && !known,
		})
		if err != nil {
			return err
		}
		if joinOnly && run.Following() {
			// Two routers that follow each other's run would wait forever.
			r.joiner.Leave(time.Now(), q.key, run)
			return joiner.ErrNotFound
		}
		if !begun {
			r.recordDecision(q, recorder.Decision{Kind: recorder.Joined, Reason: "the request runs here, or its answer is kept"})
		}
		if begun {
			r.gate.add()
			go r.execute(tracer.LinkFromContext(ctx), q, run)
		}
		err = r.awaitAnswer(ctx, q, run, f)
		if begun || ctx.Err() != nil || !endedEarly(err) {
			return err
		}
	}
	return err
}

// endedEarly reports whether a run was cancelled just as a request joined it.
func endedEarly(err error) bool {
	return errors.Is(err, joiner.ErrStopped) || errors.Is(err, context.Canceled)
}

// awaitAnswer passes the answer of a run to the feed until the caller's
// deadline.
func (r *Router) awaitAnswer(ctx context.Context, q *request, run *joiner.Run, f *feed) error {
	defer func() { r.joiner.Leave(time.Now(), q.key, run) }()
	err := feedRun(ctx, run, f)
	if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() == nil {
		return err
	}
	p := problemFromError(context.DeadlineExceeded)
	if !f.begun() && r.joiner.Stop(q.key, run) {
		p.Outcome = NotRun
	}
	return p
}

// execute produces the answer of a run and ends the run. Its spans belong to
// the trace of the request that started it.
func (r *Router) execute(link tracer.Link, q *request, run *joiner.Run) {
	defer r.gate.leave()
	var a *joiner.Answer
	err := errors.New("the router failed")
	defer func() {
		// This goroutine is outside the HTTP handler: a panic would end the
		// process and with it all other streams.
		if v := recover(); v != nil {
			r.log.Error("panic in a run", zap.Any("panic", v), zap.Stack("stack"))
			a, err = nil, &Problem{Status: http.StatusInternalServerError, Code: codeInternal, Outcome: Unknown, Detail: "the router failed"}
		}
		if err != nil {
			err = withProvenOutcome(run, err)
		}
		r.joiner.End(time.Now(), q.key, run, a, err)
	}()
	a, err = r.obtain(link.Resume(run.Context()), q, run)
}

// withProvenOutcome sets the outcome of a run's error to what can be proved:
// "not run" only if neither this run nor an earlier one can have been
// dispatched.
func withProvenOutcome(run *joiner.Run, err error) error {
	_, proven := run.Stop()
	p := *problemFromError(err)
	switch {
	case p.Code == CodeIDReused || p.Outcome == Ran:
	case proven:
		p.Outcome = NotRun
	default:
		p.Outcome = Unknown
	}
	if run.AnyDelivered() {
		p.Code, p.Status = CodeStreamBroken, http.StatusBadGateway
	}
	if errors.Is(err, joiner.ErrStopped) || errors.Is(err, context.Canceled) {
		return errors.Join(err, &p)
	}
	return &p
}

// obtain continues a run that a sibling has or had, and otherwise runs the
// request.
func (r *Router) obtain(ctx context.Context, q *request, run *joiner.Run) (*joiner.Answer, error) {
	if a, err := r.takeOver(ctx, q, run); err == nil {
		return a, nil
	}
	if a, err := r.joinPreviousHome(ctx, q, run); err == nil {
		return a, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r.queueRunRecord(q, joiner.Stream{})
	if q.repeatable {
		return r.serveRequest(ctx, q, run)
	}
	return r.serveAtMostOnce(ctx, q, run)
}

var errNothingToTakeOver = errors.New("no run to take over")

// takeOver joins the run of the sibling that was the request's home before, or
// resumes its stream at the engine if the sibling is lost.
func (r *Router) takeOver(ctx context.Context, q *request, run *joiner.Run) (*joiner.Answer, error) {
	rec, ok := r.runRecords.get(q.key, time.Now())
	if x := r.peers.byName[rec.owner]; ok && x != nil && r.peers.isAlive(x) {
		peerCounters.Add("runs_joined_at_sibling", 1)
		if a, err := r.joinRunAt(ctx, q, run, x); err == nil {
			return a, nil
		}
	}
	s := q.resume
	if ok && rec.stream.ID != "" {
		s = rec.stream
	}
	if s.ID == "" {
		return nil, errNothingToTakeOver
	}
	return r.resumeFromPeer(ctx, q, run, s)
}

// resumeFromPeer continues a stream that another router started. This is not a
// new run, so it needs no claim.
func (r *Router) resumeFromPeer(ctx context.Context, q *request, run *joiner.Run, s joiner.Stream) (*joiner.Answer, error) {
	e := r.endpoint(q.service.Name, s.Endpoint)
	if e == nil {
		return nil, errNothingToTakeOver
	}
	if err := run.Dispatch(); err != nil {
		return nil, err
	}
	peerCounters.Add("streams_resumed", 1)
	return r.withBilling(ctx, q, func() (*joiner.Answer, error) { return r.resumeModel(ctx, q, e, run, s) })
}
