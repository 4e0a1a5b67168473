package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/ejector"
	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
)

// outcome is the result of one attempt to have an endpoint answer the request.
type outcome int

const (
	// outcomeDone means that the final answer was given.
	outcomeDone outcome = iota
	// outcomeUnsent means that no byte of the request was sent.
	outcomeUnsent
	// outcomeNotRun means that the endpoint did not run the request.
	outcomeNotRun
	// outcomeLost means that the endpoint may have run the request and that no complete
	// answer came.
	outcomeLost
	// outcomeRetry means that the endpoint answered with an error of its own, and that the
	// retry budget for another attempt has been taken already.
	outcomeRetry
	// outcomeNoConnection means that the router may not open more connections to the
	// endpoint, or that the endpoint left service before the request was sent.
	outcomeNoConnection
	// outcomeUnreachable means that neither this router nor another one has a path to the
	// endpoint. That was known before, so no time was spent.
	outcomeUnreachable
)

// maxPlainAnswerBytes is how much is read of an answer that is passed on only when it
// is complete. A longer one counts as broken off.
const maxPlainAnswerBytes = 256 << 10

// The body of a rejection is read only so that its connection can be used again; another endpoint may be
// waiting for the request.
const (
	rejectionTimeout  = 100 * time.Millisecond
	maxRejectionBytes = 4 << 10
)

// runAttempts sends the request to endpoints until there is a final answer.
func (j *job) runAttempts(ctx context.Context) {
	for {
		if !j.mayHaveRun && j.outlastsRouter() {
			j.refuseStopping()
			return
		}
		assignment := j.choose()
		if assignment == nil {
			j.endWithoutEndpoint(ctx)
			return
		}
		if j.f.Table.CountsDispatches() {
			j.place.recordReported()
		}
		if !j.acquirePermit(ctx, assignment) {
			if j.denials >= maxDenials || j.permitWait >= maxPermitWait || ctx.Err() != nil {
				j.endWithoutAnswer(ctx, http.StatusServiceUnavailable, noRoomReason)
				return
			}
			continue
		}
		sentAt := time.Now()
		o := j.attempt(ctx, assignment)
		assignment.End()
		j.f.Fleet.ReleasePermit(assignment.Endpoint())
		if o == outcomeLost {
			j.reportBrokenOff(ctx, assignment.Endpoint(), time.Since(sentAt))
		}
		if o == outcomeDone || !j.mayTryAgain(ctx, o) {
			return
		}
		if o == outcomeNoConnection || o == outcomeUnreachable {
			continue
		}
		requestsRepeated.Inc()
		if j.headSent {
			streamsResumed.Inc()
		}
		j.f.Log.Info("another endpoint", zap.String("request", j.caller.ID), zap.String("why", j.reason),
			zap.Stringers("endpoints", j.tried), zap.Strings("versions", j.versions), zap.String("last_event", j.lastEventID))
	}
}

// acquirePermit reports whether the request may be sent to the endpoint that it was assigned to. If not,
// it ends the assignment.
func (j *job) acquirePermit(ctx context.Context, w *predictor.Assignment) bool {
	e := w.Endpoint()
	if !e.NeedsPermit(time.Now()) {
		return true
	}
	begun := time.Now()
	granted := j.f.Fleet.AcquirePermit(ctx, e)
	j.permitWait += time.Since(begun)
	if granted {
		permitsGranted.Inc()
		w.Permitted()
		return true
	}
	permitsDenied.Inc()
	w.End()
	e.RecordDenial(time.Now())
	j.denials++
	j.noConnection = append(j.noConnection, e.Beat().Incarnation)
	return false
}

// choose assigns the request to an endpoint, or returns nil.
func (j *job) choose() *predictor.Assignment {
	if j.bound && j.origin.Version == "" {
		// Nothing is known to have the version of the stream's first event.
		return nil
	}
	return j.f.Table.Choose(time.Now(), j.predictorRequest())
}

// endWithoutEndpoint ends a request for which there is no endpoint to choose.
func (j *job) endWithoutEndpoint(ctx context.Context) {
	if j.withoutPath == 0 && j.withoutVersion() && !j.mayHaveRun && ctx.Err() == nil {
		j.refuseWithoutVersion()
		return
	}
	j.endWithoutAnswer(ctx, http.StatusServiceUnavailable, j.noEndpointReason())
}

const (
	// noRoomReason is the body of answers to requests for which no permit was granted.
	noRoomReason = "endpoints are full"
	// maxDenials is how many endpoints a request asks permits for. Where so many are full, most
	// others are.
	maxDenials = 6
	// maxPermitWait is how long a request waits for answers. Its caller does better at another router
	// than at one that has lost its paths to the others.
	maxPermitWait = 250 * time.Millisecond
)

// noPathReason is the body of answers to requests that neither this router nor a relay can send.
const noPathReason = "no path to endpoints"

// noEndpointReason returns why there is no endpoint to choose.
func (j *job) noEndpointReason() string {
	if j.withoutPath > 0 {
		return noPathReason
	}
	if j.withoutVersion() {
		return noVersionReason
	}
	if j.denials > 0 || j.f.Table.AllNeedPermits(time.Now(), j.service.Name) {
		return noRoomReason
	}
	return "no endpoint in service"
}

// reportBrokenOff reports an endpoint that broke off while it ran the request: the request
// may be one that crashes endpoints.
func (j *job) reportBrokenOff(ctx context.Context, e *predictor.Endpoint, underway time.Duration) {
	if ctx.Err() == nil {
		j.suspected = true
		j.f.Quarantine.RecordBrokenOff(e, j.input(), underway)
	}
}

// recordSuccess records a complete answer that is not a failure of the endpoint. Only a
// success status clears the request in the quarantine: endpoints refuse or fail some
// requests without running them.
func (j *job) recordSuccess(status int, e *predictor.Endpoint) {
	j.completed = true
	e.Gate().Step(time.Since(j.f.start), ejector.Succeeded, 0)
	if status < http.StatusMultipleChoices {
		j.f.Quarantine.RecordSuccess(j.input())
	}
}

// predictorRequest describes the request for the choice of an endpoint.
func (j *job) predictorRequest() predictor.Request {
	a := predictor.Request{
		Service: j.service.Name, Zones: j.zones, Prompt: j.caller.Prompt, PartialDispatches: j.f.Fleet.PartialDispatches(), Routers: j.f.Fleet.Routers(), Tried: append(j.tried, j.noConnection...),
		Elapsed: time.Since(j.f.start), Repeatable: j.repeatable() && len(j.tried)+1 < j.route.Attempts,
	}
	if j.bound {
		a.Version = j.origin.Version
	}
	if e := j.service.Engine; e != nil {
		a.CacheTokens, a.TransferPerToken = e.MemoryTokens, e.TransferTimePerToken()
	}
	return a
}

// mayTryAgain reports whether another attempt may follow. If not, it has given the final
// answer.
func (j *job) mayTryAgain(ctx context.Context, o outcome) bool {
	if ctx.Err() != nil {
		j.endWithoutAnswer(ctx, http.StatusServiceUnavailable, "out of time")
		return false
	}
	if j.unprotected != "" {
		j.endWithoutAnswer(ctx, http.StatusServiceUnavailable, "connection has ended")
		return false
	}
	if j.isHeldBack() {
		j.endHeldBack(ctx)
		return false
	}
	if o == outcomeUnsent {
		j.unreachable++
		if !j.mayHaveRun && !j.headSent && j.overloaded() {
			return j.refuseOverloaded()
		}
		if j.unreachable < maxUnreachable {
			return true
		}
		j.endWithoutAnswer(ctx, http.StatusServiceUnavailable, "endpoints out of reach: "+j.reason)
		return false
	}
	if o == outcomeUnreachable {
		if j.withoutPath++; j.withoutPath < maxWithoutPath {
			return true
		}
		j.endWithoutAnswer(ctx, http.StatusServiceUnavailable, noPathReason)
		return false
	}
	if o == outcomeRetry || o == outcomeNoConnection {
		return true
	}
	if o == outcomeLost && !j.repeatable() {
		j.endWithoutAnswer(ctx, http.StatusBadGateway, j.reason)
		return false
	}
	if !j.takeRetry() {
		j.endWithoutAnswer(ctx, http.StatusServiceUnavailable, j.reason)
		return false
	}
	return true
}

// takeRetry takes one retry out of the retry budget, if the route allows another attempt.
func (j *job) takeRetry() bool {
	return len(j.tried) < max(j.route.Attempts, 1) &&
		j.f.Limiter.AllowRetry(time.Now(), j.service.Name, j.f.Fleet.Routers())
}

// repeatable reports whether the request may be run again, or its stream be resumed, at
// another endpoint.
func (j *job) repeatable() bool {
	if !j.route.Repeatable() {
		return false
	}
	return j.route.Kind != publisher.Stream || !j.headSent || j.lastEventID != ""
}

// endWithoutAnswer ends the request without an endpoint's answer. A request that may have
// run is never reported as not run.
func (j *job) endWithoutAnswer(ctx context.Context, status int, reason string) {
	switch {
	case j.mustEnd() && j.mayHaveRun:
		j.fail(http.StatusBadGateway, ErrRouterStops.Error())
	case j.mustEnd():
		j.refuseStopping()
	case j.callerLeft():
		j.logEnd(0, "caller gone: "+reason)
		if j.mayHaveRun || j.headSent {
			panic(http.ErrAbortHandler)
		}
		// A caller that has ended only its own side of the connection still reads.
		j.f.Wire.RetryAfter(j.w.Header(), retryDelayOverload)
		j.w.Header().Set("Connection", "close")
		j.w.WriteHeader(http.StatusServiceUnavailable)
	case ctx.Err() != nil && j.mayHaveRun:
		j.fail(http.StatusGatewayTimeout, "no whole answer in time: "+reason)
	case j.mayHaveRun:
		j.fail(http.StatusBadGateway, reason)
	default:
		j.refuseFor(max(j.f.Table.RetryAfter(time.Now(), j.predictorRequest()), retryDelay), status, reason)
	}
}

// mustEnd reports whether the request has to end because its router stops.
func (j *job) mustEnd() bool { return errors.Is(context.Cause(j.r.Context()), ErrRouterStops) }

// endHeldBack ends a request that was held back after its arrival.
func (j *job) endHeldBack(ctx context.Context) {
	if j.mayHaveRun || j.r.Context().Err() != nil {
		j.endWithoutAnswer(ctx, http.StatusServiceUnavailable, j.hold.reason())
		return
	}
	j.refuseFor(j.hold.Remaining, http.StatusServiceUnavailable, j.hold.reason())
}

// attempt sends the request to one endpoint and handles the answer.
func (j *job) attempt(ctx context.Context, assignment *predictor.Assignment) outcome {
	e := assignment.Endpoint()
	b, version := e.Beat(), e.Version()
	e.Gate().Step(time.Since(j.f.start), ejector.Dispatched, 0)
	if assignment.UncachedTokens() > 0 {
		j.f.Fleet.AnnounceDispatch(e.Name(), b.Zone, assignment.Dispatch())
	}
	if e.Warmup().RateLimit().Limited {
		requestsToRateLimited.Inc()
	}
	if e.Warmup().BackingOff(time.Now()) {
		requestsBeforeRetryAfter.Inc()
	}
	j.leavesAge = max(j.leavesAge, j.f.Fleet.LeavesAge())
	mayHaveRunBefore, sentAt := j.mayHaveRun, time.Now()
	j.sentAt = sentAt
	r, head := j.endpointRequest(assignment), 0
	r.Reserve = func(n int) error {
		err := j.holding.ReserveForAnswer(n)
		if err == nil {
			head += n
		}
		return err
	}
	a, err := j.f.Pool.Exchange(ctx, j.connectionTarget(e), r)
	j.recordRelay(r.Relay)
	if err != nil {
		j.reason = err.Error()
		j.holding.ReturnForAnswer(head)
		if errors.Is(err, pooler.ErrMayHaveRun) {
			j.recordTried(b, version)
			j.mayHaveRun = true
			if errors.Is(err, enforcer.ErrMemory) {
				return j.endWithoutMemory()
			}
			j.recordBrokenAnswer(ctx, e, errors.Is(err, pooler.ErrUnfinished))
			return outcomeLost
		}
		if errors.Is(err, pooler.ErrUnreachable) {
			j.noConnection = append(j.noConnection, b.Incarnation)
			return outcomeUnreachable
		}
		if errors.Is(err, pooler.ErrWithdrawn) {
			dispatchesWithdrawn.Inc()
			j.noConnection = append(j.noConnection, b.Incarnation)
			return outcomeNoConnection
		}
		if errors.Is(err, pooler.ErrConnectionLimit) {
			j.noConnection = append(j.noConnection, b.Incarnation)
			return outcomeNoConnection
		}
		if !j.overloaded() {
			j.recordUnsent(ctx, e, err)
		}
		return outcomeUnsent
	}
	j.place.recordReported()
	j.recordTried(b, version)
	defer a.Close()
	fields := j.f.Wire.AnswerFields(a.Status, a.Header)
	// A misdirected response comes from another incarnation, so it does not describe e.
	if !fields.Misdirected {
		j.f.Fleet.Observe(e, fields.State, sentAt)
	}
	if fields.Rejected && e.RejectionLimit(time.Now()).Limited {
		j.logRejection(assignment)
	}
	if fields.NotRun || fields.Misdirected {
		j.mayHaveRun = mayHaveRunBefore
		return j.handleNotRun(a, fields, e)
	}
	j.mayHaveRun = true
	return j.passAnswer(ctx, a, assignment, version)
}

// logRejection counts and logs that an endpoint that limits rejections had no room for the request, with
// what this router knew of it when it sent the request there.
func (j *job) logRejection(w *predictor.Assignment) {
	e, b := w.Endpoint(), w.Belief()
	countRejection(b.Reason())
	j.f.Log.Info("endpoint had no room", zap.String("request", j.caller.ID), zap.String("endpoint", e.Name()),
		zap.Float64("tolerated", e.RejectionLimit(time.Now()).PerSecond), zap.Int("rejected", e.RecentRejections(time.Now())),
		zap.String("sent_as", b.Reason()), zap.Bool("load_known", b.LoadKnown), zap.Int("running", b.Load.Running), zap.Int("waiting", b.Load.Waiting),
		zap.Int("slots", e.Beat().Slots), zap.Duration("load_age", b.LoadAge), zap.Int("own", b.Own), zap.Int("unreported", b.Unreported), zap.Int("routers", j.f.Fleet.Routers()))
}

// recordTried records that the request was sent to an endpoint.
func (j *job) recordTried(b enroller.Heartbeat, v enroller.Version) {
	j.tried = append(j.tried, b.Incarnation)
	j.versions = append(j.versions, string(v))
}

// recordRelay notes the router that relayed an attempt, if any.
func (j *job) recordRelay(address string) {
	if address != "" {
		j.relays = append(j.relays, address)
		requestsRelayed.Inc()
	}
}

// recordFailure counts a failure against an endpoint, unless the caller disconnected, the deadline
// passed, or this router has lost its path there.
func (j *job) recordFailure(ctx context.Context, e *predictor.Endpoint) {
	j.recordEndpointEvent(ctx, e, ejector.Failed)
}

// recordBrokenAnswer counts an answer that is not whole against an endpoint. Where bytes kept arriving that
// came to no end, that is its failure also if the deadline passed or the caller disconnected.
func (j *job) recordBrokenAnswer(ctx context.Context, e *predictor.Endpoint, unfinished bool) {
	if unfinished && !j.overloaded() {
		ctx = context.WithoutCancel(ctx)
	}
	j.recordFailure(ctx, e)
}

// recordUnsent counts a connection that could not be opened, as recordFailure does.
func (j *job) recordUnsent(ctx context.Context, e *predictor.Endpoint, err error) {
	if pooler.TimedOut(err) {
		j.recordEndpointEvent(ctx, e, ejector.TimedOut)
		return
	}
	j.recordFailure(ctx, e)
}

func (j *job) recordEndpointEvent(ctx context.Context, e *predictor.Endpoint, event ejector.Event) {
	if ctx.Err() == nil && !j.f.Pool.PathLost(e.Name()) {
		endpointFailures.Inc()
		e.Gate().Step(time.Since(j.f.start), event, 0)
	}
}

// connectionTarget returns the endpoint's address together with this router's share of its
// connection limit.
func (j *job) connectionTarget(e *predictor.Endpoint) pooler.Target {
	routers := float64(max(j.f.Fleet.Routers(), 1))
	skew := min(max(routers/skewedRouters, 1), maxConnectionSkew)
	share := int(connectionFraction * skew * float64(j.service.Connections) / routers)
	b := e.Beat()
	return pooler.Target{
		ID: e.Name(), Address: b.Address, Service: b.Service, Zone: b.Zone, RelayZones: j.zones, MaxConnections: max(share, minConnections),
	}
}

// endpointRequest returns the request to send to the assigned endpoint.
func (j *job) endpointRequest(w *predictor.Assignment) *pooler.Request {
	s := EndpointFields{Deadline: time.Until(j.deadline), Endpoint: w.Endpoint().Beat().ID, LastEventID: j.lastEventID, Priority: j.enginePriority()}
	if d := w.CacheSource(); d != nil {
		s.CacheSource = d.Beat().Address
		promptsFetched.Inc()
	}
	if j.workspace != nil {
		s.Workspace = j.workspace.Name
	}
	return &pooler.Request{
		Method: j.r.Method, URI: j.r.RequestURI, Host: j.r.Host,
		Header: j.f.Wire.EndpointHeader(j.r.Header, s), Body: j.body, ID: j.caller.ID, Repeatable: j.repeatable(),
		Confirm: func() bool {
			return j.f.Table.InService(w.Endpoint()) && j.fits(w.Endpoint()) && (j.trial || !j.isHeldBack()) && j.protectConnection()
		},
	}
}

// enginePriority returns the priority to send to the endpoint, or -1 to send none.
func (j *job) enginePriority() int {
	if !j.f.EnginePriorities || !j.index.Ranked() {
		return -1
	}
	return j.index.Priority(j.route, j.workspace)
}

// handleNotRun handles an answer stating that the request was not run.
func (j *job) handleNotRun(a *pooler.Answer, m AnswerFields, e *predictor.Endpoint) outcome {
	j.reason = "endpoint did not run it: " + http.StatusText(a.Status)
	if m.Misdirected {
		// The address belongs to another incarnation now.
		e.Exclude()
	}
	if a.Status != http.StatusBadRequest {
		a.Drain(rejectionTimeout, maxRejectionBytes)
		return outcomeNotRun
	}
	body, err := j.readAnswer(a)
	if err == nil && a.Complete() {
		j.sendAnswer(a, body, false)
		return outcomeDone
	}
	return outcomeNotRun
}

// readAnswer reads the body of an answer that is passed on only when it is complete.
func (j *job) readAnswer(a *pooler.Answer) ([]byte, error) {
	return j.holding.ReadAnswer(io.LimitReader(a.Body, maxPlainAnswerBytes), a.Length)
}

// endWithoutMemory ends a request for whose answer there is no memory. That says nothing about the endpoint.
func (j *job) endWithoutMemory() outcome {
	answersWithoutMemory.Inc()
	j.fail(http.StatusBadGateway, "this router has no memory for the answer")
	return outcomeDone
}

// passAnswer passes on the answer of an endpoint that may have run the request.
func (j *job) passAnswer(ctx context.Context, a *pooler.Answer, assignment *predictor.Assignment, version enroller.Version) outcome {
	if j.route.Kind == publisher.Stream && a.Status == http.StatusOK {
		return j.relay(ctx, a, assignment, version)
	}
	if j.headSent {
		j.reason = "stream not taken up: " + http.StatusText(a.Status)
		return outcomeLost
	}
	body, err := j.readAnswer(a)
	assignment.ObserveFirstByte(time.Now())
	e := assignment.Endpoint()
	if errors.Is(err, enforcer.ErrMemory) {
		return j.endWithoutMemory()
	}
	if err != nil || !a.Complete() || j.closedByEnd(ctx, a, e) {
		j.reason = "answer broken off"
		j.recordBrokenAnswer(ctx, e, a.Unfinished())
		return outcomeLost
	}
	if a.Status >= http.StatusInternalServerError {
		j.recordFailure(ctx, e)
		if ctx.Err() == nil && j.repeatable() && j.takeRetry() {
			j.reason = "endpoint failed: " + http.StatusText(a.Status)
			return outcomeRetry
		}
	} else {
		j.recordSuccess(a.Status, e)
	}
	// Passed on unchanged, the status would state that nothing was run.
	if impliesNotRun(a.Status) {
		j.fail(http.StatusBadGateway, "endpoint answered "+http.StatusText(a.Status)+" without saying that it did not run it")
		return outcomeDone
	}
	j.sendAnswer(a, body, false)
	return outcomeDone
}

// impliesNotRun reports whether a status means to callers that the request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sendAnswer passes on a complete answer.
func (j *job) sendAnswer(a *pooler.Answer, body []byte, unsigned bool) {
	j.copyHeader(a, unsigned)
	j.w.WriteHeader(a.Status)
	_, err := j.w.Write(body)
	if err != nil {
		j.logEnd(a.Status, "caller gone: "+err.Error())
		return
	}
	j.logEnd(a.Status, "")
}

// copyHeader copies the header of an endpoint's answer to the caller's.
func (j *job) copyHeader(a *pooler.Answer, unsigned bool) {
	h := j.w.Header()
	for k, v := range j.f.Wire.CallerHeader(a.Header, unsigned) {
		h[k] = v
	}
	if h["Content-Type"] == nil {
		// Otherwise net/http detects a type from the body.
		h["Content-Type"] = nil
	}
}
