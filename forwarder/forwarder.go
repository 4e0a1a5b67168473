package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/limiter"
	"rattanhoist.example/rattanhoist/localizer"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// Errors of rights. Compare with errors.Is.
var (
	// ErrSpent says that the prepaid total does not cover the request.
	ErrSpent = merry.Sentinel("prepaid total does not cover the request")
	// ErrRightsOutOfReach says that rights may exist that this router can't
	// get now.
	ErrRightsOutOfReach = merry.Sentinel("prepaid rights are out of reach")
)

// OutOfReach is ErrRightsOutOfReach with the time after which rights are expected.
type OutOfReach struct{ After time.Duration }

// Error returns the text of ErrRightsOutOfReach.
func (OutOfReach) Error() string { return ErrRightsOutOfReach.Error() }

// Unwrap makes it one with ErrRightsOutOfReach.
func (OutOfReach) Unwrap() error { return ErrRightsOutOfReach }

const (
	// defaultTimeout bounds a request whose caller names no deadline and whose route's
	// timeout is longer.
	defaultTimeout = 60 * time.Second
	// unsentMost is how many endpoints may turn out to be unreachable before
	// the request is refused; none of them got a byte.
	unsentMost = 3
	// comeBack and comeBackSpread are when a refused caller should come back:
	// a few engine steps later, spread so that they don't return together.
	comeBack       = 150 * time.Millisecond
	comeBackSpread = 250 * time.Millisecond
	// comeBackElsewhere is when a caller should come back whom another router can serve at
	// once.
	comeBackElsewhere = 10 * time.Millisecond
	// comeBackUnserved is when a caller should come back whose request only another
	// configuration lets in.
	comeBackUnserved = time.Second
	// connectionPart of an endpoint's bound is shared out among routers; the
	// rest is for connections that are being closed.
	connectionPart = 0.8
	// Callers are spread over routers by a hash, unevenly: from unevenFrom routers on each
	// may open more connections than its part, up to unevenMost times as many.
	unevenFrom     = 12
	unevenMost     = 3
	connectionsMin = 4
	// bodyMost bounds a body where the document states no bound, in bytes.
	bodyMost = 4 << 20
)

// whyHeld is the answer to a request that is held back.
const whyHeld = "held back: endpoints ended under requests equal to it"

// Reservation is tokens set aside for one request.
type Reservation interface {
	// Settle gives back what was not spent; it must be called once.
	Settle(spent int64)
}

// Rights sets tokens of a workspace aside.
type Rights interface {
	// Reserve returns ErrSpent, or OutOfReach, where it can't.
	Reserve(ctx context.Context, workspace string, tokens int64) (Reservation, error)
}

// Fleet is what the router knows of the others.
type Fleet interface {
	// Await returns the document in force, or nil while a newer one is known; before the
	// first it waits for it for a moment, and returns after what time it is expected.
	Await(ctx context.Context) (x *publisher.Index, after time.Duration)
	// Routers is how many routers share the fleet's bounds; at least 1.
	Routers() int
	// Dispatched tells other routers of a prompt sent to an endpoint of a zone.
	Dispatched(endpoint, zone string, d predictor.Dispatch)
	// Observe records the state that an endpoint reported in its response to a request sent
	// at sentAt.
	Observe(e *predictor.Endpoint, s predictor.State, sentAt time.Time)
	// Partial reports whether only some of the other routers tell this one what they
	// send.
	Partial() bool
}

// Quarantine knows which requests end the endpoints that run them.
type Quarantine interface {
	// Held returns for how much longer a request is held back; 0 for one that is not.
	Held(quarantiner.Fingerprint) time.Duration
	// Answered tells that an endpoint gave a whole answer with success.
	Answered(quarantiner.Fingerprint)
	// BrokenOff tells that an endpoint's connection ended before the answer, and how
	// long before the request was sent there.
	BrokenOff(e *predictor.Endpoint, f quarantiner.Fingerprint, underway time.Duration)
}

// Admission decides which requests this router takes on.
type Admission interface {
	// Admit reports whether a request with a body of n bytes may be taken on.
	Admit(now time.Time, n int64) bool
	// Overloaded reports whether the router itself delays work so much that connections it
	// can't make tell nothing of endpoints.
	Overloaded(now time.Time) bool
}

// Parts are what a forwarder works with.
type Parts struct {
	Wire       Wire
	Fleet      Fleet
	Table      *predictor.Table
	Pool       *pooler.Pool
	Rights     Rights
	Limiter    *limiter.Limiter
	Quarantine Quarantine
	// Admission is nil where every request is taken on.
	Admission Admission
	Log       *zap.Logger
}

// Forwarder serves callers. It is safe for concurrent use.
type Forwarder struct {
	Parts
	start time.Time
}

// New returns a forwarder.
func New(p Parts) *Forwarder { return &Forwarder{Parts: p, start: time.Now()} }

// ServeHTTP takes one request and gives its final answer.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{f: f, w: w, r: r, begun: time.Now()}
	j.serve()
}

// job is one request from its arrival to its final answer.
type job struct {
	f      *Forwarder
	w      http.ResponseWriter
	r      *http.Request
	begun  time.Time
	caller Caller
	index  *publisher.Index
	route  *publisher.Route
	// Service is drawn once: repeats stay with it.
	service   *publisher.Service
	workspace *publisher.Workspace
	// Zones is where the request may be served; nil for everywhere.
	zones   *localizer.Zones
	body    []byte
	content quarantiner.Fingerprint
	until   time.Time
	// Reserved is nil where nothing is paid.
	reserved Reservation
	// Tried holds the incarnations that the request was sent to.
	tried []enroller.Incarnation
	// Full holds the incarnations that had no connection left.
	full []enroller.Incarnation
	// Unsent counts endpoints that could not be reached.
	unsent int
	// MayHaveRun says that some endpoint may have run the request.
	mayHaveRun bool
	// Suspected says that an endpoint broke off under the request, or that it is held
	// back.
	suspected bool
	// Delivered counts tokens passed on to the caller.
	delivered int64
	// Began says that the head of the answer was sent to the caller.
	began bool
	// Events counts those passed on; eventAt is when the last one came.
	events  int
	eventAt time.Time
	// First, predicted and pause tell how well the stream ran: the time to its
	// first event, as it was and as expected at the last dispatch, and its
	// longest pause.
	first, predicted, pause time.Duration
	// Unread is the prompt tokens to be read at the last endpoint, as expected.
	unread int64
	// LastEvent is the id of the last whole event passed on.
	lastEvent string
	why       string
}

func (j *job) serve() {
	if !j.prepare() {
		return
	}
	ctx, cancel := context.WithDeadline(j.r.Context(), j.until)
	defer cancel()
	if !j.reserve(ctx) {
		return
	}
	if j.reserved != nil {
		defer func() { j.reserved.Settle(j.spent()) }()
	}
	j.f.Limiter.Request(j.begun, j.service.Name)
	j.attempts(ctx)
}

// spent is what the request costs: its prompt once if any endpoint may have
// run it, and each token passed on.
func (j *job) spent() int64 {
	if !j.mayHaveRun || j.caller.Prompt == nil {
		return 0
	}
	return j.caller.Prompt.In + j.delivered
}

// prepare finds route, service and workspace and reads the body; it reports
// false when the answer is given already.
func (j *job) prepare() bool {
	var after time.Duration
	if j.index, after = j.f.Fleet.Await(j.r.Context()); j.index == nil {
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
	if !j.identify() {
		return false
	}
	j.service = j.index.Service(draw(j.route.Shares))
	timeout := j.route.Timeout
	if c.Deadline > 0 {
		timeout = min(timeout, c.Deadline)
	}
	j.until = j.begun.Add(min(timeout, defaultTimeout))
	return j.locate() && j.admit() && j.readBody() && j.mayRun()
}

// admit refuses a request, before its body is read, that would wait for this router's link or
// processor: the platform sends its caller's next try to another router.
func (j *job) admit() bool {
	if j.f.Admission == nil || j.f.Admission.Admit(j.begun, max(j.r.ContentLength, 0)) {
		return true
	}
	return j.refuseOverloaded()
}

// refuseOverloaded says that the request has not run, and that another router can serve it.
func (j *job) refuseOverloaded() bool {
	overloadRefusals.Inc()
	j.f.Wire.RetryAfter(j.w.Header(), comeBackElsewhere+rand.N(comeBackElsewhere))
	return j.fail(http.StatusServiceUnavailable, "this router is overloaded")
}

// overloaded reports whether failures to reach endpoints may be due to this router.
func (j *job) overloaded() bool {
	return j.f.Admission != nil && j.f.Admission.Overloaded(time.Now())
}

// locate finds where the request may be served; it refuses one that no zone may serve.
func (j *job) locate() bool {
	j.zones = j.index.Zones(j.route, j.workspace)
	if j.zones.Empty() {
		return j.refuseFor(comeBackUnserved, http.StatusServiceUnavailable, "no availability zone is in the regions that route and workspace allow")
	}
	return true
}

func (j *job) identify() bool {
	if !j.index.Document().Keyed || j.route.Public {
		return true
	}
	j.workspace = j.index.Workspace(j.caller.Key)
	if j.workspace == nil {
		return j.fail(http.StatusUnauthorized, "unknown key")
	}
	return true
}

func (j *job) readBody() bool {
	most := j.index.Document().Limits.BodyBytes
	if most <= 0 {
		most = bodyMost
	}
	var err error
	j.body, err = io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, most))
	if err == nil {
		j.identifyContent()
		return true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return j.fail(http.StatusRequestEntityTooLarge, "body too large")
	}
	return j.fail(http.StatusBadRequest, "body not read: "+err.Error())
}

// mayRun refuses a request under which endpoints have ended: it would end the next one,
// with all that others have running there, and fail.
func (j *job) mayRun() bool {
	left := j.f.Quarantine.Held(j.content)
	if left == 0 {
		return true
	}
	heldBack.Inc()
	j.suspected = true
	return j.refuseFor(left, http.StatusServiceUnavailable, whyHeld)
}

func (j *job) identifyContent() {
	r := quarantiner.Request{Method: j.r.Method, Host: j.r.Host, Target: j.r.RequestURI, Body: j.body}
	if j.workspace != nil {
		r.Workspace = j.workspace.Name
	}
	j.content = r.Fingerprint()
}

// draw picks a service by weight.
func draw(shares []publisher.Share) string {
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

func (j *job) reserve(ctx context.Context) bool {
	if j.workspace == nil || j.workspace.Prepaid == nil || j.caller.Prompt == nil {
		return true
	}
	r, err := j.f.Rights.Reserve(ctx, j.workspace.Name, j.caller.Prompt.In+j.caller.Prompt.Out)
	switch {
	case err == nil:
		j.reserved = r
		return true
	case errors.Is(err, ErrSpent):
		return j.fail(http.StatusPaymentRequired, "prepaid total is spent")
	default:
		var out OutOfReach
		if !errors.As(err, &out) {
			return j.refuse(http.StatusServiceUnavailable, err.Error())
		}
		return j.refuseFor(max(out.After, comeBack), http.StatusServiceUnavailable, err.Error())
	}
}

// refuse says that the request has not run, and that it may come back soon.
func (j *job) refuse(status int, why string) bool {
	return j.refuseFor(comeBack, status, why)
}

// refuseFor says that the request has not run, and after what time it should come
// back, spread so that those refused together don't come back together.
func (j *job) refuseFor(after time.Duration, status int, why string) bool {
	if j.mayHaveRun {
		return j.fail(http.StatusBadGateway, why)
	}
	j.f.Wire.RetryAfter(j.w.Header(), after+rand.N(comeBackSpread))
	return j.fail(status, why)
}

// fail gives the final answer where no endpoint's is to be had.
func (j *job) fail(status int, why string) bool {
	j.log(status, why)
	if j.began {
		// The caller has part of an answer; only a broken connection tells it
		// that the rest is missing.
		panic(http.ErrAbortHandler)
	}
	h := j.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	j.w.WriteHeader(status)
	_, _ = io.WriteString(j.w, why+"\n")
	return false
}

// late names what made an answer miss its route's objective, or returns "".
func (j *job) late() string {
	switch {
	case j.route == nil || j.route.Objective <= 0:
		return ""
	case j.events > 0 && j.first > j.route.Objective:
		return "first event"
	case j.events > 0 && j.route.Pause > 0 && j.pause > j.route.Pause:
		return "pause"
	case j.events == 0 && time.Since(j.begun) > j.route.Objective:
		return "answer"
	}
	return ""
}

func (j *job) log(status int, why string) {
	j.countEnd(status)
	fields := []zap.Field{
		zap.String("request", j.caller.ID), zap.Int("status", status), zap.Duration("took", time.Since(j.begun)),
		zap.Stringers("endpoints", j.tried),
	}
	if j.route != nil {
		fields = append(fields, zap.String("route", j.route.Name))
	}
	if j.workspace != nil {
		fields = append(fields, zap.String("workspace", j.workspace.Name))
	}
	if j.reserved != nil {
		fields = append(fields, zap.Int64("tokens", j.spent()))
	}
	if j.events > 0 {
		fields = append(fields, zap.Duration("first", j.first), zap.Duration("predicted", j.predicted),
			zap.Duration("pause", j.pause), zap.Int("events", j.events), zap.Int64("unread", j.unread))
	}
	if p := j.caller.Prompt; p != nil {
		fields = append(fields, zap.Int64("prompt", p.In))
	}
	if l := j.late(); l != "" {
		fields = append(fields, zap.String("late", l))
	}
	if j.suspected {
		fields = append(fields, zap.Stringer("content", j.content))
	}
	if why != "" {
		fields = append(fields, zap.String("why", why))
	}
	if j.index != nil {
		fields = append(fields, zap.Uint64("configuration", j.index.Number()))
	}
	j.f.Log.Info("ended", fields...)
}
