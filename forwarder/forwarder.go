package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/limiter"
	"rattanhoist.example/rattanhoist/localizer"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
	"rattanhoist.example/rattanhoist/quarantiner"
	"rattanhoist.example/rattanhoist/resumer"
)

// Errors of Rights. Compare with errors.Is.
var (
	// ErrSpent means that the workspace's prepaid total does not cover the request.
	ErrSpent = merry.Sentinel("prepaid total does not cover the request")
	// ErrRightsUnavailable means that the workspace may have unspent tokens that this
	// router can't reserve now.
	ErrRightsUnavailable = merry.Sentinel("prepaid rights are out of reach")
)

// ErrRouterStops is the cause with which the context of a request ends if its router stops and the request
// may not last longer. Compare with errors.Is.
var ErrRouterStops = merry.Sentinel("this router stops")

// RightsUnavailable is ErrRightsUnavailable with the time after which tokens are expected
// to be available.
type RightsUnavailable struct{ After time.Duration }

// Error returns the text of ErrRightsUnavailable.
func (RightsUnavailable) Error() string { return ErrRightsUnavailable.Error() }

// Unwrap returns ErrRightsUnavailable, for errors.Is.
func (RightsUnavailable) Unwrap() error { return ErrRightsUnavailable }

const (
	// defaultTimeout bounds requests without a shorter deadline or route timeout.
	defaultTimeout = 60 * time.Second
	// maxUnreachable is how many endpoints may be unreachable before a request is refused.
	// None of them received a byte of it.
	maxUnreachable = 3
	// maxWithoutPath is how many endpoints without a path are passed over before a request is
	// refused.
	maxWithoutPath = 16
	// retryDelay is the default Retry-After time of refused requests, a few engine steps. A
	// random part of up to retryJitter is added so that the callers don't return at the
	// same moment.
	retryDelay  = 150 * time.Millisecond
	retryJitter = 250 * time.Millisecond
	// retryDelayOverload is the Retry-After time where another router can serve the caller
	// at once.
	retryDelayOverload = 10 * time.Millisecond
	// retryDelayUnserved is the Retry-After time of requests that only a new configuration
	// can admit.
	retryDelayUnserved = time.Second
	// A request waits for prepaid tokens for 1/rightsWaitDivisor of its route's latency
	// objective, from minRightsWait, a few round trips to keepers, to maxRightsWait, so that
	// a refusal is returned within 0.25 s.
	rightsWaitDivisor = 4
	minRightsWait     = 200 * time.Millisecond
	maxRightsWait     = 240 * time.Millisecond
	// minLoggedRightsWait is the shortest wait for tokens that is logged. Tokens that the
	// router holds are reserved in less.
	minLoggedRightsWait = time.Millisecond
	// staleLeavesAge is the age from which the knowledge of leaves is logged with a request. It is longer
	// than the interval between two syncs of a large fleet.
	staleLeavesAge = time.Second
	// connectionFraction of an endpoint's connection limit is shared among the routers; the
	// rest allows for connections that are being closed.
	connectionFraction = 0.8
	// Callers are distributed over routers by a hash, which is uneven. Above skewedRouters
	// routers, each may open more connections than an equal share, by up to a factor of
	// maxConnectionSkew.
	skewedRouters     = 12
	maxConnectionSkew = 3
	minConnections    = 4
	// writeGrace is how long after its deadline a caller may take to read the rest of its
	// answer.
	writeGrace = time.Second
	// unreadBodyTimeout is how long the answer to a refused request may wait for the rest of its body. A
	// caller that is still sending may not read the answer before.
	unreadBodyTimeout = 500 * time.Millisecond
	// maxUsualParts is the number of shared prompt parts up to which a request needs no memory of
	// its own for them.
	maxUsualParts = 8
	// defaultMaxBodyBytes is the limit on request bodies where the configuration
	// states none.
	defaultMaxBodyBytes = 4 << 20
)

// heldBackReason is the body of answers to requests that are held back by the quarantine.
const heldBackReason = "held back: endpoints ended under requests equal to it"

// Reservation is a number of prepaid tokens reserved for one request.
type Reservation interface {
	// Settle returns the tokens that were not spent. It must be called once.
	Settle(spent int64)
}

// Rights reserves prepaid tokens of workspaces.
type Rights interface {
	// Reserve returns ErrSpent or a RightsUnavailable error if the tokens can't be
	// reserved within wait.
	Reserve(ctx context.Context, workspace string, tokens int64, wait time.Duration) (Reservation, error)
}

// Fleet provides the configuration and connects the router with the other routers.
type Fleet interface {
	// AwaitConfiguration returns the configuration in force, or nil while a newer one is
	// known to exist. Until the first configuration arrives, it waits for a moment; if none
	// comes, it returns the time after which one is expected.
	AwaitConfiguration(ctx context.Context) (x *publisher.Index, after time.Duration)
	// Index returns the configuration in force, or nil before the first one.
	Index() *publisher.Index
	// Routers returns the number of routers that share the fleet's limits; at least 1.
	Routers() int
	// AnnounceDispatch tells other routers about a prompt sent to an endpoint of a zone.
	AnnounceDispatch(endpoint, zone string, d predictor.Dispatch)
	// Observe records the state that an endpoint reported in its response to a request sent
	// at sentAt.
	Observe(e *predictor.Endpoint, s predictor.State, sentAt time.Time)
	// PartialDispatches reports whether only some of the other routers tell this one about
	// their dispatches.
	PartialDispatches() bool
	// AcquirePermit asks for a permit for one more request to an endpoint that needs one, and reports
	// whether it was granted. The endpoint counts the request already.
	AcquirePermit(ctx context.Context, e *predictor.Endpoint) bool
	// ReleasePermit tells that a request to an endpoint has ended.
	ReleasePermit(e *predictor.Endpoint)
	// LeavesAge returns the time since the router's knowledge of endpoints that leave was complete.
	LeavesAge() time.Duration
}

// Hold is what holds a request back, and for how much longer. Remaining is 0 if nothing does.
type Hold struct {
	Subject   quarantiner.Subject
	Remaining time.Duration
}

// reason returns the body of answers to requests that are held back.
func (h Hold) reason() string {
	if h.Subject.IsPart() {
		return "held back: endpoints ended under requests with its prompt part " + h.Subject.String()
	}
	return heldBackReason
}

// Quarantine identifies requests that crash the endpoints that run them.
type Quarantine interface {
	// HeldBack returns what holds a request back, if anything.
	HeldBack(quarantiner.Input) Hold
	// Revision changes with what is held back.
	Revision() uint64
	// TakeTrial reports whether one request that the subject holds back may be sent to an endpoint
	// all the same, and once only.
	TakeTrial(quarantiner.Subject) bool
	// RecordSuccess records that an endpoint answered a request completely and
	// successfully.
	RecordSuccess(quarantiner.Input)
	// IsAlive reports whether the process of an endpoint that ran at a time is known to be alive now; path is
	// that of its health check.
	IsAlive(ctx context.Context, e *predictor.Endpoint, path string, since time.Time) bool
	// RecordBrokenOff records that an endpoint's connection ended before the answer was
	// complete; underway is the time since the request was sent there.
	RecordBrokenOff(e *predictor.Endpoint, in quarantiner.Input, underway time.Duration)
}

// Admission decides which requests this router accepts.
type Admission interface {
	// Admit reports whether a request with a body of n bytes may be accepted.
	Admit(now time.Time, n int64) bool
	// Overloaded reports whether the router itself is so delayed that failed connections
	// say nothing about the endpoints.
	Overloaded(now time.Time) bool
}

// Dependencies are the components that a forwarder uses.
type Dependencies struct {
	Wire       Wire
	Fleet      Fleet
	Table      *predictor.Table
	Pool       *pooler.Pool
	Rights     Rights
	Limiter    *limiter.Limiter
	Quarantine Quarantine
	// Origins is nil if streams go on at any version of their service.
	Origins StreamOrigins
	// Admission is nil if every request is accepted.
	Admission Admission
	// CallerLimits is nil if callers may take any time and memory.
	CallerLimits *CallerLimits
	// EnginePriorities is set if the priorities of requests are sent to endpoints.
	EnginePriorities bool
	// ServiceAdmission is set if requests wait while every endpoint is full.
	ServiceAdmission bool
	// Stopping is closed when requests may no longer wait, because the process is about to end.
	Stopping <-chan struct{}
	// Stop tells how far the stop of the router has come; nil if it never stops.
	Stop func() Stop
	Log  *zap.Logger
}

// CallerLimits bounds what callers that send or read slowly may take.
type CallerLimits struct {
	// Memory holds the bodies of requests and the answers that are not passed on yet.
	Memory *enforcer.Memory
}

// Forwarder is the HTTP handler for callers. It is safe for concurrent use.
type Forwarder struct {
	Dependencies
	start time.Time
	// services is nil if requests never wait.
	services  *serviceAdmission
	durations *durations
}

// New returns a forwarder.
func New(p Dependencies) *Forwarder {
	f := &Forwarder{Dependencies: p, start: time.Now(), durations: newDurations()}
	if p.ServiceAdmission {
		f.services = newServiceAdmission(p, f.start)
	}
	return f
}

// ServeHTTP handles one request up to its final answer.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{f: f, w: w, r: r, startedAt: time.Now(), closes: w.Header().Get("Connection") == "close", holding: f.hold()}
	defer j.holding.Release()
	j.serve()
}

// hold returns the account for the memory that one request takes.
func (f *Forwarder) hold() *enforcer.Holding {
	if f.CallerLimits == nil {
		return (*enforcer.Memory)(nil).Hold()
	}
	return f.CallerLimits.Memory.Hold()
}

// job is one request from its arrival to its final answer.
type job struct {
	f         *Forwarder
	w         http.ResponseWriter
	r         *http.Request
	startedAt time.Time
	// closes is set if the answer tells the caller that its connection is closed.
	closes bool
	caller Caller
	index  *publisher.Index
	route  *publisher.Route
	// service is chosen once; retries stay with it.
	service   *publisher.Service
	workspace *publisher.Workspace
	// zones holds the zones in which the request may be served; nil stands for all.
	zones *localizer.Zones
	body  []byte
	// bodyBegun is set once the body is being read.
	bodyBegun bool
	// holding counts the bytes held for the request.
	holding     *enforcer.Holding
	fingerprint quarantiner.Fingerprint
	// parts holds the shared parts of the prompt, in partBuffer if there are few.
	parts      []quarantiner.Part
	partBuffer [maxUsualParts]quarantiner.Part
	// hold is what held the request back, if anything. trial is set if it is sent all the same.
	hold     Hold
	trial    bool
	deadline time.Time
	// place is the request's place among those of its service; nil unless it was started there.
	place *place
	// queued is the time for which the request waited for room at endpoints; 0 if it did not.
	queued time.Duration
	// reentered is set if the request entered its queue again as there was room after its refusal.
	reentered bool
	// completed is set if an endpoint answered completely and successfully.
	completed bool
	// reservation is nil if the request uses no prepaid tokens.
	reservation Reservation
	// rightsWait is how long the request waited for prepaid tokens, or 0 if it did not.
	rightsWait time.Duration
	// leavesAge is the highest age of the knowledge of leaves when an attempt began.
	leavesAge time.Duration
	// unprotected is why the request was not sent on: its connection had ended; "" if it was, or had not.
	unprotected ConnectionEnd
	// sentAt is when the last attempt began.
	sentAt time.Time
	// tried holds the incarnations that the request was sent to.
	tried []enroller.Incarnation
	// versions holds the software versions of these incarnations when the request was sent there.
	versions []string
	// bound is set once the request may be sent only to endpoints of the service and version in
	// origin: it resumes a stream, or its first event was passed on.
	bound  bool
	origin resumer.Origin
	// resumption is the outcome of a request that resumes a stream, as far as it is known.
	resumption resumptionOutcome
	// streamVersion is the version of the endpoint that made the last event passed on.
	streamVersion enroller.Version
	// noConnection holds the incarnations that had no connection left for this router, or no permit.
	noConnection []enroller.Incarnation
	// denials counts the permits that were denied, and permitWait is how long they were awaited.
	denials    int
	permitWait time.Duration
	// unreachable counts the endpoints that could not be reached.
	unreachable int
	// withoutPath counts the endpoints to which there was no path, and relays holds the routers
	// that relayed attempts.
	withoutPath int
	relays      []string
	// mayHaveRun is set if an endpoint may have run the request.
	mayHaveRun bool
	// suspected is set if an endpoint broke off while it ran the request, or if the request
	// is held back.
	suspected bool
	// deliveredTokens counts the tokens passed on to the caller.
	deliveredTokens int64
	// headSent is set once the head of the answer was sent to the caller.
	headSent bool
	// events counts the events passed on; lastEventAt is the arrival time of the last one.
	events      int
	lastEventAt time.Time
	// Latency of the stream: the time to its first event, that time as predicted at the
	// last dispatch, and the longest pause between events.
	firstEvent, predictedFirstEvent, longestPause time.Duration
	// uncachedTokens is the predicted number of prompt tokens to prefill at the last
	// endpoint.
	uncachedTokens int64
	// lastEventID is the id of the last complete event passed on.
	lastEventID string
	reason      string
}

// serve handles the request from its arrival to its final answer.
func (j *job) serve() {
	if !j.prepare() {
		return
	}
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	if !j.awaitStart(ctx) {
		return
	}
	defer j.leaveService()
	if !j.reserve(ctx) {
		return
	}
	if j.reservation != nil {
		defer func() { j.reservation.Settle(j.spentTokens()) }()
	}
	j.f.Limiter.RecordRequest(j.startedAt, j.service.Name)
	begun := time.Now()
	j.runAttempts(ctx)
	if j.completed {
		j.f.durations.record(j.route.Name, time.Since(begun))
	}
}

// spentTokens returns the number of tokens that the request is charged: its prompt once if
// any endpoint may have run it, and each token passed on.
func (j *job) spentTokens() int64 {
	if !j.mayHaveRun || j.caller.Prompt == nil {
		return 0
	}
	return j.caller.Prompt.InputTokens + j.deliveredTokens
}

// prepare finds the route, service and workspace and reads the body. It returns false if it
// has given the final answer.
func (j *job) prepare() bool {
	var after time.Duration
	if j.index, after = j.f.Fleet.AwaitConfiguration(j.r.Context()); j.index == nil {
		return j.refuseFor(after, http.StatusServiceUnavailable, "no current configuration")
	}
	c, err := j.f.Wire.Caller(j.r.Header)
	if err != nil {
		return j.fail(http.StatusBadRequest, err.Error())
	}
	j.caller = c
	j.route = j.index.Route(j.r.Host, j.r.URL.EscapedPath())
	if j.route == nil {
		return j.fail(http.StatusNotFound, "no route")
	}
	if !j.authenticate() {
		return false
	}
	j.service = j.index.Service(chooseService(j.route.Shares))
	timeout := j.route.Timeout
	if c.Deadline > 0 {
		timeout = min(timeout, c.Deadline)
	}
	j.deadline = j.startedAt.Add(min(timeout, defaultTimeout))
	return j.resolveZones() && j.admit() && j.readBody() && j.bindResumed() && j.checkQuarantine()
}

// admit refuses a request, before its body is read, that would be delayed by this router's
// network link or processor. The platform sends the caller's next attempt to another
// router.
func (j *job) admit() bool {
	if j.f.Admission == nil || j.f.Admission.Admit(j.startedAt, max(j.r.ContentLength, 0)) {
		return true
	}
	return j.refuseOverloaded()
}

// refuseOverloaded answers that the request has not run and that another router can serve
// it.
func (j *job) refuseOverloaded() bool {
	overloadRefusals.Inc()
	j.f.Wire.RetryAfter(j.w.Header(), retryDelayOverload+rand.N(retryDelayOverload))
	return j.fail(http.StatusServiceUnavailable, "this router is overloaded")
}

// overloaded reports whether failures to reach endpoints may be caused by this router's own
// load.
func (j *job) overloaded() bool {
	return j.f.Admission != nil && j.f.Admission.Overloaded(time.Now())
}

// resolveZones determines the zones in which the request may be served. It refuses a
// request for which there is none.
func (j *job) resolveZones() bool {
	j.zones = j.index.Zones(j.route, j.workspace)
	if j.zones.Empty() {
		return j.refuseFor(retryDelayUnserved, http.StatusServiceUnavailable, "no availability zone is in the regions that route and workspace allow")
	}
	return true
}

// authenticate finds the workspace of the caller's key. It refuses unknown keys on routes
// that need one.
func (j *job) authenticate() bool {
	if !j.index.Document().RequiresKeys || j.route.Public {
		return true
	}
	j.workspace = j.index.Workspace(j.caller.Key)
	if j.workspace == nil {
		return j.fail(http.StatusUnauthorized, "unknown key")
	}
	return true
}

// readBody reads the request's body up to the configured limit and computes the
// fingerprint.
func (j *job) readBody() bool {
	limit := j.index.Document().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if !time.Now().Before(j.deadline) {
		return j.refuse(http.StatusServiceUnavailable, "out of time")
	}
	j.bodyBegun = true
	if j.f.CallerLimits != nil {
		enforcer.LimitBodyTime(j.w, j.r, j.deadline)
		enforcer.LimitWriteTime(j.w, j.deadline.Add(writeGrace))
	}
	var err error
	j.body, err = j.holding.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit), j.r.ContentLength)
	if err == nil {
		j.computeFingerprint()
		return true
	}
	return j.refuseBody(err)
}

// refuseBody answers a request whose body was not read.
func (j *job) refuseBody(err error) bool {
	var large *http.MaxBytesError
	switch {
	case j.mustEnd():
		return j.refuseStopping()
	case errors.As(err, &large):
		return j.fail(http.StatusRequestEntityTooLarge, "body too large")
	case errors.Is(err, enforcer.ErrMemory):
		memoryRefusals.Inc()
		j.limitUnreadBody()
		return j.refuseOverloaded()
	case errors.Is(err, os.ErrDeadlineExceeded):
		slowBodies.Inc()
		return j.fail(http.StatusRequestTimeout, "body not sent in time")
	}
	return j.fail(http.StatusBadRequest, "body not read: "+err.Error())
}

// checkQuarantine refuses a request that has crashed endpoints. It would crash the next one
// as well, fail, and break off all other requests running there.
func (j *job) checkQuarantine() bool {
	j.collectParts()
	if !j.isHeldBack() {
		return true
	}
	if j.f.Quarantine.TakeTrial(j.hold.Subject) {
		j.trial = true
		return true
	}
	return j.refuseFor(j.hold.Remaining, http.StatusServiceUnavailable, j.hold.reason())
}

// isHeldBack reports whether the quarantine holds the request back now.
func (j *job) isHeldBack() bool {
	h := j.f.Quarantine.HeldBack(j.input())
	if h.Remaining == 0 {
		return false
	}
	j.hold, j.suspected = h, true
	return true
}

// computeFingerprint computes the fingerprint that identifies equal requests.
func (j *job) computeFingerprint() {
	r := quarantiner.Request{Method: j.r.Method, Host: j.r.Host, Target: j.r.RequestURI, Body: j.body}
	if j.workspace != nil {
		r.Workspace = j.workspace.Name
	}
	j.fingerprint = r.Fingerprint()
}

// collectParts collects the shared parts of the prompt.
func (j *job) collectParts() {
	j.parts = j.partBuffer[:0]
	// The last part belongs to the request alone.
	for i := range len(j.caller.Parts) - 1 {
		j.parts = quarantiner.AppendPart(j.parts, quarantiner.NewPart(j.caller.Parts[i].ID))
	}
}

// input describes the request to the quarantine.
func (j *job) input() quarantiner.Input {
	return quarantiner.Input{Fingerprint: j.fingerprint, Parts: j.parts}
}

// chooseService chooses a service at random, by weight.
func chooseService(shares []publisher.Share) string {
	var sum int64
	for _, s := range shares {
		sum += s.Weight
	}
	n := rand.Int64N(max(sum, 1))
	for _, s := range shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// reserve reserves prepaid tokens for the prompt and the longest possible output. It
// refuses the request if it can't.
func (j *job) reserve(ctx context.Context) bool {
	if j.workspace == nil || j.workspace.Prepaid == nil || j.caller.Prompt == nil {
		return true
	}
	asked := time.Now()
	r, err := j.f.Rights.Reserve(ctx, j.workspace.Name, j.caller.Prompt.InputTokens+j.caller.Prompt.MaxOutputTokens, maxWaitForRights(j.route.LatencyObjective))
	if d := time.Since(asked); d >= minLoggedRightsWait {
		j.rightsWait = d
	}
	switch {
	case err == nil:
		j.reservation = r
		return true
	case errors.Is(err, ErrSpent):
		return j.fail(http.StatusPaymentRequired, "prepaid total is spent")
	default:
		var out RightsUnavailable
		if !errors.As(err, &out) {
			return j.refuse(http.StatusServiceUnavailable, err.Error())
		}
		return j.refuseFor(max(out.After, retryDelay), http.StatusServiceUnavailable, err.Error())
	}
}

// maxWaitForRights returns how long a request of a route with a latency objective waits for
// prepaid tokens; 0 stands for no objective.
func maxWaitForRights(objective time.Duration) time.Duration {
	if objective <= 0 {
		return maxRightsWait
	}
	return min(max(objective/rightsWaitDivisor, minRightsWait), maxRightsWait)
}

// refuse answers that the request has not run and may soon be sent again.
func (j *job) refuse(status int, reason string) bool {
	return j.refuseFor(retryDelay, status, reason)
}

// refuseFor answers that the request has not run and after what time to send it again. A
// random delay spreads the callers that are refused together.
func (j *job) refuseFor(after time.Duration, status int, reason string) bool {
	if j.mayHaveRun {
		return j.fail(http.StatusBadGateway, reason)
	}
	j.f.Wire.RetryAfter(j.w.Header(), after+rand.N(retryJitter))
	return j.fail(status, reason)
}

// fail gives a final answer of the router itself.
func (j *job) fail(status int, reason string) bool {
	j.logEnd(status, reason)
	if j.headSent {
		// The caller has received part of an answer. Only an aborted connection shows that
		// the rest is missing.
		panic(http.ErrAbortHandler)
	}
	if !j.bodyBegun {
		j.limitUnreadBody()
	}
	h := j.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	j.w.WriteHeader(status)
	_, _ = io.WriteString(j.w, reason+"\n")
	return false
}

// limitUnreadBody bounds the time for which the answer to a refused request waits for its body.
func (j *job) limitUnreadBody() {
	if j.f.CallerLimits != nil {
		enforcer.LimitUnreadBody(j.w, j.r, unreadBodyTimeout)
	}
}

// missedObjective names the latency by which the answer missed its route's objective, or
// returns "".
func (j *job) missedObjective() string {
	switch {
	case j.route == nil || j.route.LatencyObjective <= 0:
		return ""
	case j.events > 0 && j.firstEvent > j.route.LatencyObjective:
		return "first event"
	case j.events > 0 && j.route.MaxEventGap > 0 && j.longestPause > j.route.MaxEventGap:
		return "pause"
	case j.events == 0 && time.Since(j.startedAt) > j.route.LatencyObjective:
		return "answer"
	}
	return ""
}

// logEnd counts and logs the final answer; status 0 stands for a caller who disconnected.
func (j *job) logEnd(status int, reason string) {
	j.countEnd(status)
	fields := []zap.Field{
		zap.String("request", j.caller.ID), zap.Int("status", status), zap.Duration("took", time.Since(j.startedAt)),
		zap.Stringers("endpoints", j.tried), zap.Strings("versions", j.versions),
	}
	if j.resumesStream() {
		fields = append(fields, zap.String("resumes", logged(j.resumedAttempt())), zap.String("after_event", logged(j.caller.LastEventID)))
	}
	if j.route != nil {
		fields = append(fields, zap.String("route", j.route.Name))
	}
	if j.workspace != nil {
		fields = append(fields, zap.String("workspace", j.workspace.Name))
	}
	if j.reservation != nil {
		fields = append(fields, zap.Int64("tokens", j.spentTokens()))
	}
	if j.rightsWait > 0 {
		fields = append(fields, zap.Duration("rights_wait", j.rightsWait))
	}
	if j.events > 0 {
		fields = append(fields, zap.Duration("first", j.firstEvent), zap.Duration("predicted", j.predictedFirstEvent),
			zap.Duration("pause", j.longestPause), zap.Int("events", j.events), zap.Int64("unread", j.uncachedTokens))
	}
	if p := j.caller.Prompt; p != nil {
		fields = append(fields, zap.Int64("prompt", p.InputTokens))
	}
	if j.leavesAge > staleLeavesAge {
		fields = append(fields, zap.Duration("leaves_age", j.leavesAge))
	}
	if j.queued > 0 {
		fields = append(fields, zap.Duration("queued", j.queued))
	}
	if l := j.missedObjective(); l != "" {
		fields = append(fields, zap.String("late", l))
	}
	if len(j.relays) > 0 {
		fields = append(fields, zap.Strings("relays", j.relays))
	}
	if j.suspected {
		fields = append(fields, zap.Stringer("content", j.fingerprint), zap.Stringers("parts", j.parts))
	}
	if j.hold.Subject.IsPart() {
		fields = append(fields, zap.Stringer("held_part", j.hold.Subject), zap.Bool("trial", j.trial))
	}
	if j.closes {
		fields = append(fields, zap.Bool("closes", true))
	}
	if c := j.connectionEnd(); c != "" {
		countConnectionEnd(c, j.mayHaveRun)
		fields = append(fields, zap.String("connection", string(c)), zap.Duration("time_left", time.Until(j.deadline)))
	}
	if reason != "" {
		fields = append(fields, zap.String("why", reason))
	}
	if j.index != nil {
		fields = append(fields, zap.Uint64("configuration", j.index.Number()))
	}
	j.f.Log.Info("ended", fields...)
}
