package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/ejector"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
)

// outcome is what one attempt came to.
type outcome int

const (
	// done says that the final answer was given.
	done outcome = iota
	// unsent says that no byte went out.
	unsent
	// notRun says that the endpoint did not run the request.
	notRun
	// lost says that the endpoint may have run it and no whole answer came.
	lost
	// repeat says that the endpoint answered with a failure of its own and
	// that leave to try another was taken already.
	repeat
	// full says that the router may open no more connections there.
	full
)

// plainMost bounds an answer that is held until it is whole, in bytes; a
// larger one is passed on as it comes.
const plainMost = 256 << 10

// attempts sends the request until there is a final answer.
func (j *job) attempts(ctx context.Context) {
	for {
		work := j.f.Table.Choose(time.Now(), j.ask())
		if work == nil {
			j.give(ctx, http.StatusServiceUnavailable, "no endpoint in service")
			return
		}
		sent := time.Now()
		o := j.attempt(ctx, work)
		work.End()
		if o == lost {
			j.suspect(ctx, work.Endpoint(), time.Since(sent))
		}
		if o == done || !j.again(ctx, o) {
			return
		}
		if o == full {
			continue
		}
		repeated.Inc()
		if j.began {
			resumed.Inc()
		}
		j.f.Log.Info("another endpoint", zap.String("request", j.caller.ID), zap.String("why", j.why),
			zap.Stringers("endpoints", j.tried), zap.String("last_event", j.lastEvent))
	}
}

// suspect tells of a request on which an endpoint broke off: it may be one that ends
// endpoints.
func (j *job) suspect(ctx context.Context, e *predictor.Endpoint, underway time.Duration) {
	if ctx.Err() == nil {
		j.suspected = true
		j.f.Quarantine.BrokenOff(e, j.content, underway)
	}
}

// succeeded notes a whole answer that is not the endpoint's failure. Only a success
// clears the request: endpoints that refuse or fail some of what they are sent do so
// without running it.
func (j *job) succeeded(status int, e *predictor.Endpoint) {
	e.Gate().Step(time.Since(j.f.start), ejector.Succeeded, 0)
	if status < http.StatusMultipleChoices {
		j.f.Quarantine.Answered(j.content)
	}
}

func (j *job) ask() predictor.Ask {
	a := predictor.Ask{
		Service: j.service.Name, Zones: j.zones, Prompt: j.caller.Prompt, Partial: j.f.Fleet.Partial(), Tried: append(j.tried, j.full...),
		Since: time.Since(j.f.start), Repeatable: j.repeatable() && len(j.tried)+1 < j.route.Attempts,
	}
	if e := j.service.Engine; e != nil {
		a.Memory, a.Carry = e.MemoryTokens, e.Carry()
	}
	return a
}

// again reports whether another attempt may follow; if not, it has given the
// final answer.
func (j *job) again(ctx context.Context, o outcome) bool {
	if ctx.Err() != nil {
		j.give(ctx, http.StatusServiceUnavailable, "out of time")
		return false
	}
	if j.f.Quarantine.Held(j.content) > 0 {
		j.give(ctx, http.StatusServiceUnavailable, whyHeld)
		return false
	}
	if o == unsent {
		j.unsent++
		if !j.mayHaveRun && !j.began && j.overloaded() {
			return j.refuseOverloaded()
		}
		if j.unsent < unsentMost {
			return true
		}
		j.give(ctx, http.StatusServiceUnavailable, "endpoints out of reach: "+j.why)
		return false
	}
	if o == repeat || o == full {
		return true
	}
	if o == lost && !j.repeatable() {
		j.give(ctx, http.StatusBadGateway, j.why)
		return false
	}
	if !j.takeRepeat() {
		j.give(ctx, http.StatusServiceUnavailable, j.why)
		return false
	}
	return true
}

// takeRepeat takes leave to send the request to one more endpoint.
func (j *job) takeRepeat() bool {
	return len(j.tried) < max(j.route.Attempts, 1) &&
		j.f.Limiter.Repeat(time.Now(), j.service.Name, j.f.Fleet.Routers())
}

// repeatable reports whether the request may run again, or go on, elsewhere.
func (j *job) repeatable() bool {
	if !j.route.Repeatable() {
		return false
	}
	return j.route.Kind != publisher.Stream || !j.began || j.lastEvent != ""
}

// give ends the request without an endpoint's answer. What may have run is
// never called not run.
func (j *job) give(ctx context.Context, status int, why string) {
	switch {
	case j.r.Context().Err() != nil:
		// The caller is gone; nobody reads an answer.
		j.log(0, "caller gone: "+why)
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil && j.mayHaveRun:
		j.fail(http.StatusGatewayTimeout, "no whole answer in time: "+why)
	case j.mayHaveRun:
		j.fail(http.StatusBadGateway, why)
	default:
		j.refuseFor(max(j.f.Table.RetryAfter(time.Now(), j.ask()), comeBack), status, why)
	}
}

func (j *job) attempt(ctx context.Context, work *predictor.Work) outcome {
	e := work.Endpoint()
	b := e.Beat()
	e.Gate().Step(time.Since(j.f.start), ejector.Dispatched, 0)
	if work.Unread() > 0 {
		j.f.Fleet.Dispatched(e.Name(), b.Zone, work.Dispatch())
	}
	if e.Warmup().RateLimit().Limited {
		toRateLimited.Inc()
	}
	if e.Warmup().BackingOff(time.Now()) {
		beforeRetryAfter.Inc()
	}
	before, sentAt := j.mayHaveRun, time.Now()
	a, err := j.f.Pool.Exchange(ctx, j.target(e), j.request(work))
	if err != nil {
		j.why = err.Error()
		if errors.Is(err, pooler.ErrMayHaveRun) {
			j.tried = append(j.tried, b.Incarnation)
			j.mayHaveRun = true
			j.blame(ctx, e)
			return lost
		}
		if errors.Is(err, pooler.ErrBound) {
			j.full = append(j.full, b.Incarnation)
			return full
		}
		if !j.overloaded() {
			j.blame(ctx, e)
		}
		return unsent
	}
	j.tried = append(j.tried, b.Incarnation)
	defer a.Close()
	marks := j.f.Wire.Marks(a.Status, a.Header)
	// A misdirected response comes from another incarnation, so it does not describe e.
	if !marks.Moved {
		j.f.Fleet.Observe(e, marks.State, sentAt)
	}
	if marks.NotRun || marks.Moved {
		j.mayHaveRun = before
		return j.notRun(a, marks, e)
	}
	j.mayHaveRun = true
	return j.pass(ctx, a, work)
}

// blame counts a failure against an endpoint, unless the caller left or the
// time ran out.
func (j *job) blame(ctx context.Context, e *predictor.Endpoint) {
	if ctx.Err() == nil {
		blamed.Inc()
		e.Gate().Step(time.Since(j.f.start), ejector.Failed, 0)
	}
}

func (j *job) target(e *predictor.Endpoint) pooler.Target {
	routers := float64(max(j.f.Fleet.Routers(), 1))
	uneven := min(max(routers/unevenFrom, 1), unevenMost)
	share := int(connectionPart * uneven * float64(j.service.Connections) / routers)
	return pooler.Target{ID: e.Name(), Address: e.Beat().Address, Most: max(share, connectionsMin)}
}

func (j *job) request(w *predictor.Work) *pooler.Request {
	s := Stamp{Deadline: time.Until(j.until), Endpoint: w.Endpoint().Beat().ID, Resume: j.lastEvent, Urgency: -1}
	if d := w.Donor(); d != nil {
		s.Donor = d.Beat().Address
		fetched.Inc()
	}
	if j.workspace != nil {
		s.Workspace = j.workspace.Name
	}
	return &pooler.Request{
		Method: j.r.Method, URI: j.r.RequestURI, Host: j.r.Host,
		Header: j.f.Wire.Forward(j.r.Header, s), Body: j.body, ID: j.caller.ID,
	}
}

// notRun handles an answer that says that nothing was run.
func (j *job) notRun(a *pooler.Answer, m Marks, e *predictor.Endpoint) outcome {
	j.why = "endpoint did not run it: " + http.StatusText(a.Status)
	body, err := io.ReadAll(io.LimitReader(a.Body, plainMost))
	if m.Moved {
		// The address belongs to somebody else now: the incarnation is gone.
		e.Lose()
	}
	if a.Status == http.StatusBadRequest && err == nil && a.Ended() {
		j.send(a, body, false)
		return done
	}
	return notRun
}

// pass gives the caller an answer of an endpoint that ran the request.
func (j *job) pass(ctx context.Context, a *pooler.Answer, work *predictor.Work) outcome {
	if j.route.Kind == publisher.Stream && a.Status == http.StatusOK {
		return j.relay(ctx, a, work)
	}
	if j.began {
		j.why = "stream not taken up: " + http.StatusText(a.Status)
		return lost
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, plainMost))
	work.First(time.Now())
	e := work.Endpoint()
	if err != nil || !a.Ended() {
		j.why = "answer broken off"
		j.blame(ctx, e)
		return lost
	}
	if a.Status >= http.StatusInternalServerError {
		j.blame(ctx, e)
		if ctx.Err() == nil && j.repeatable() && j.takeRepeat() {
			j.why = "endpoint failed: " + http.StatusText(a.Status)
			return repeat
		}
	} else {
		j.succeeded(a.Status, e)
	}
	if promises(a.Status) {
		// Passed on, it would promise that nothing was run.
		j.fail(http.StatusBadGateway, "endpoint answered "+http.StatusText(a.Status)+" without saying that it did not run it")
		return done
	}
	j.send(a, body, false)
	return done
}

// promises reports whether a status says that the request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// send passes a whole answer on.
func (j *job) send(a *pooler.Answer, body []byte, unsigned bool) {
	j.head(a, unsigned)
	j.w.WriteHeader(a.Status)
	_, err := j.w.Write(body)
	if err != nil {
		j.log(a.Status, "caller gone: "+err.Error())
		return
	}
	j.log(a.Status, "")
}

func (j *job) head(a *pooler.Answer, unsigned bool) {
	h := j.w.Header()
	for k, v := range j.f.Wire.Back(a.Header, unsigned) {
		h[k] = v
	}
	if h["Content-Type"] == nil {
		// Otherwise the library guesses one from the bytes.
		h["Content-Type"] = nil
	}
}
