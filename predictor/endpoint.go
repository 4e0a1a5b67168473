// Package predictor tracks the load of each endpoint as seen by one router and chooses the
// endpoint where a request is predicted to wait the shortest time.
package predictor

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist/ejector"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/warmer"
)

const (
	// prefillFactorGain is the weight of the newest measurement in an endpoint's prefill
	// factor: ten slow prompts show that the endpoint has become slow, one late answer does
	// not. Measurements of prompts with less than fullWeightPrefill of expected prefill
	// time count in proportion to it, since most of their time is waiting. Those below
	// minMeasuredPrefill are ignored.
	prefillFactorGain  = 0.1
	fullWeightPrefill  = 100 * time.Millisecond
	minMeasuredPrefill = 20 * time.Millisecond
	// maxPrefillFactor bounds the prefill factor. An endpoint that slow gets no work while
	// another one is available.
	maxPrefillFactor = 20
	// estimateDecay is the time constant with which estimates of an endpoint's slowness
	// decay while there are no new measurements. Without the decay, an endpoint that is
	// avoided because it was slow would never get the requests that show that it has
	// recovered.
	estimateDecay = 10 * time.Second
	// Measurements of an endpoint update the latency model of its whole service only while
	// its prefill factor is between 1/typicalFactorLimit and typicalFactorLimit.
	typicalFactorLimit = 1.4
	// extraAnswerTimeGain is the weight of the newest plain answer in an endpoint's extra
	// answer time.
	extraAnswerTimeGain = 0.1
	// reportedLoadTTL is how long a reported load is used: a few times the delay with which
	// reports arrive in any case.
	reportedLoadTTL = 500 * time.Millisecond
	// minPartsToSweep is the number of parts recorded for an endpoint at which evicted
	// parts are removed for the first time. After that, they are removed each time the
	// number has doubled.
	minPartsToSweep = 64
	// partsCacheFraction is the fraction of an endpoint's cache that is assumed to hold
	// prompt parts; running requests use the rest. The least recently used parts are
	// evicted first, so a part is gone once that many other tokens have been prefilled
	// since its last use.
	partsCacheFraction = 0.5
	// backoffJitterDivisor limits the random delay added to a Retry-After period to the
	// period divided by it.
	backoffJitterDivisor = 8
	// defaultCacheTokens is the cache size, in tokens, of endpoints for which the
	// configuration states none. It is lower than that of the engines in use.
	defaultCacheTokens = 200_000
)

// Part is a contiguous part of a prompt. Prompts that start with the same parts can share
// their cached prefill.
type Part struct {
	ID     string
	Tokens int64
}

// Prompt describes the input of a generation request before it runs.
type Prompt struct {
	Model string
	Parts []Part
	// InputTokens is the number of prompt tokens, MaxOutputTokens the maximum number of
	// tokens to generate.
	InputTokens, MaxOutputTokens int64
}

// Shared returns the parts that other requests may have as well: all but the last one,
// which belongs to this request alone.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedIDs returns the ids of the shared parts.
func (p *Prompt) SharedIDs() []string {
	shared := p.Shared()
	out := make([]string, 0, len(shared))
	for _, part := range shared {
		out = append(out, part.ID)
	}
	return out
}

// unsharedTokens returns the number of prompt tokens outside the shared parts.
func (p *Prompt) unsharedTokens() int64 {
	left := p.InputTokens
	for _, part := range p.Shared() {
		left -= part.Tokens
	}
	return max(left, 0)
}

// Endpoint is one incarnation of an endpoint together with this router's view of it. It is
// safe for concurrent use.
type Endpoint struct {
	beat enroller.Heartbeat
	// version is the software version that its heartbeats state now.
	version atomic.Pointer[enroller.Version]
	// name is the incarnation in text form.
	name string
	gate ejector.Gate
	// warmup limits the requests of this router while the endpoint is cold, rate limited or
	// shedding load.
	warmup   warmer.Gate
	excluded atomic.Bool
	// serviceLimit is shared by all endpoints of the service; nil before the endpoint is first put in
	// service.
	serviceLimit atomic.Pointer[serviceLimit]
	// unlimitedAt is when the latest request was sent whose response stated no limit on rejections,
	// in nanoseconds since 1970; 0 before the first one.
	unlimitedAt atomic.Int64
	// permits is set if requests need permits while the endpoint limits rejections, and deniedAt is
	// when one was last denied, in nanoseconds since 1970.
	permits  atomic.Bool
	deniedAt atomic.Int64

	mu sync.Mutex
	// running counts this router's requests at the endpoint.
	running int
	// dispatched holds when they were sent there, in this order, if the endpoint has load reports.
	dispatched []time.Time
	// announced holds when other routers recently announced requests there, in this order.
	announced []time.Time
	queue     queue
	// model is shared by all endpoints of the service from the time when the endpoint is
	// first put in service.
	model     *LatencyModel
	inService bool
	// prefillFactor is the estimated ratio, as of prefillFactorAt, of this endpoint's
	// prefill time to that of a typical endpoint of its service.
	prefillFactor   float64
	prefillFactorAt time.Time
	// extraAnswerTime is the estimated time, as of extraAnswerTimeAt, by which plain
	// answers take longer here than the service's average.
	extraAnswerTime   time.Duration
	extraAnswerTimeAt time.Time
	// reported is the load last reported by the endpoint; it includes the requests of all
	// routers.
	reported   Load
	reportedAt time.Time
	// rejectedAt is when the endpoint last rejected a request of this router, and rejections holds
	// the recent ones.
	rejectedAt time.Time
	rejections []time.Time
	// reportedPace is the prefill factor that came with the reported load, or 0, and
	// paceMeasuredAt when this router last measured its own.
	reportedPace   float64
	paceMeasuredAt time.Time
	// reports is nil unless the table uses the load that other routers report.
	reports *loadReports
	// delays is shared by all endpoints of the service; nil without load reports, like the fields
	// below.
	delays *serviceDelay
	// correction is the estimated error, as of correctionAt, of predictions for this endpoint.
	correction   time.Duration
	correctionAt time.Time
	// occupancy is the mean duration of requests in a slot.
	occupancy meanDuration
	// prefilled counts the prompt tokens that the endpoint was sent for prefill; parts maps
	// the ids of shared prompt parts to their last use there.
	prefilled int64
	parts     map[string]partUse
	// cacheTokens is the size of the endpoint's cache; sweepAt is the number of parts at
	// which evicted ones are removed.
	cacheTokens int64
	sweepAt     int
}

// AddCachedParts records parts that the endpoint itself reports as cached.
func (e *Endpoint) AddCachedParts(parts []Part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range parts {
		if _, known := e.parts[p.ID]; !known {
			e.parts[p.ID] = partUse{prefilled: e.prefilled, reportedTokens: p.Tokens}
		}
	}
}

// partUse is the last use of a prompt part at an endpoint.
type partUse struct {
	// reportedTokens is how many tokens of the part are cached according to the endpoint; 0
	// stands for the whole part.
	reportedTokens int64
	// prefilled is the value of the endpoint's counter of prefilled tokens at that time.
	prefilled int64
	// queuePosition is the end, in the endpoint's queue, of the prompt that first contained
	// the part. The part is available once the queue has been processed up to there.
	queuePosition time.Duration
}

// Load is the load that an endpoint reports about itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the ratio of the current duration of work there to the usual one; 0 if
	// not reported.
	Slowdown float64
}

// State is what an endpoint reports about itself in a response.
type State struct {
	// Cold is the remaining time for which the endpoint reports to be cold, or 0.
	Cold time.Duration
	// RateLimit applies to the requests of all routers combined.
	RateLimit warmer.RateLimit
	// RejectionLimit is the rate of rejections for want of room above which the endpoint fails. It
	// applies to the requests of all routers combined.
	RejectionLimit warmer.RateLimit
	// Rejected is set if the response is such a rejection.
	Rejected bool
	// Leaving is set if the endpoint is draining and should receive no new requests.
	Leaving bool
	// RetryAfter is how long this router should send no requests to the endpoint, which is
	// shedding load; 0 if the endpoint did not ask for that.
	RetryAfter time.Duration
	// Load is nil if not reported.
	Load *Load
}

// StateChange describes the effect of recording a State.
type StateChange struct {
	// RateLimit is set if the rate limit in effect changed, and RejectionLimit if the rejection
	// limit did.
	RateLimit, RejectionLimit bool
	// SheddingStarted is set if the endpoint started shedding load.
	SheddingStarted bool
	// LeavingStarted is set if the endpoint reported that it is leaving and this router
	// could still choose it before.
	LeavingStarted bool
}

// withJitter adds a random delay to a Retry-After period, so that routers don't all send
// requests as soon as it ends. It returns 0 for 0.
func withJitter(retryAfter time.Duration) time.Duration {
	return retryAfter + rand.N(retryAfter/backoffJitterDivisor+1)
}

// Observe records the state that the endpoint reported in its response to a request sent at
// sentAt, and returns what changed.
func (e *Endpoint) Observe(s State, sentAt, now time.Time) StateChange {
	if s.Cold > 0 {
		e.warmup.SetReportedCold(now, now.Add(s.Cold))
	}
	if s.Load != nil {
		e.ObserveLoad(now, *s.Load)
	}
	if s.Rejected {
		e.recordRejection(now)
	}
	return StateChange{
		RejectionLimit:  e.observeRejectionLimit(s.RejectionLimit, sentAt, now),
		RateLimit:       e.warmup.ObserveRateLimit(s.RateLimit, sentAt, now),
		SheddingStarted: e.warmup.ObserveBackoff(withJitter(s.RetryAfter), sentAt, now),
		LeavingStarted:  s.Leaving && !e.excluded.Swap(true),
	}
}

// NewEndpoint returns an endpoint without any measurements.
func NewEndpoint(b enroller.Heartbeat) *Endpoint {
	e := &Endpoint{
		beat: b, name: b.String(), model: NewLatencyModel(), prefillFactor: 1,
		parts: map[string]partUse{}, cacheTokens: defaultCacheTokens, sweepAt: minPartsToSweep,
	}
	e.SetVersion(b.Version)
	return e
}

// Version returns the software version of the endpoint, which heartbeats may change.
func (e *Endpoint) Version() enroller.Version { return *e.version.Load() }

// SetVersion sets the version that the endpoint's heartbeats state. A table takes it into account
// from its next Replace on.
func (e *Endpoint) SetVersion(v enroller.Version) { e.version.Store(&v) }

// putInService puts the endpoint in service with the latency model and the limit of its service and
// the table's load reports and delays, or nil. It has no effect on an endpoint that is in service already.
func (e *Endpoint) putInService(m *LatencyModel, l *serviceLimit, r *loadReports, d *serviceDelay) {
	e.serviceLimit.CompareAndSwap(nil, l)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.inService {
		e.inService, e.model, e.reports, e.delays = true, m, r, d
	}
}

// Beat returns the endpoint's announcement.
func (e *Endpoint) Beat() enroller.Heartbeat { return e.beat }

// Name returns the incarnation in text form. It identifies the endpoint in the connection
// pool and in messages between routers.
func (e *Endpoint) Name() string { return e.name }

// Gate returns the endpoint's failure state.
func (e *Endpoint) Gate() *ejector.Gate { return &e.gate }

// Warmup returns the gate that limits requests to the endpoint while it is cold, rate
// limited or shedding load.
func (e *Endpoint) Warmup() *warmer.Gate { return &e.warmup }

// Exclude permanently removes the endpoint from this router's candidates: another
// incarnation answered at its address, or it is leaving.
func (e *Endpoint) Exclude() { e.excluded.Store(true) }

// Running returns the number of this router's requests at the endpoint.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// ObserveLoad records the load that the endpoint reported.
func (e *Endpoint) ObserveLoad(now time.Time, l Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported, e.reportedAt = l, now
}

// activeRequests returns the number of requests of all routers at the endpoint, as far as
// it is known.
func (e *Endpoint) activeRequests(now time.Time) int {
	if e.reports != nil {
		return e.combinedRequests(now)
	}
	if now.Sub(e.reportedAt) < reportedLoadTTL {
		return max(e.running, e.reported.Running+e.reported.Waiting)
	}
	return e.running
}

// reportedSlowdown returns the slowdown that the endpoint last reported, or 1 if there is
// no report or only an old one.
func (e *Endpoint) reportedSlowdown(now time.Time) float64 {
	if e.reported.Slowdown > 0 && e.loadKnown(now) {
		return e.reported.Slowdown
	}
	return 1
}

// uncachedTokens returns the number of prompt tokens that the endpoint has to prefill. A
// part can be reused only if all parts before it are cached.
func (e *Endpoint) uncachedTokens(p *Prompt, cacheTokens int64) int64 {
	if cacheTokens > 0 {
		e.cacheTokens = cacheTokens
	}
	uncached := p.InputTokens
	for _, part := range p.Shared() {
		u, ok := e.parts[part.ID]
		if !ok || e.evicted(u) || u.reportedTokens > 0 && u.reportedTokens < part.Tokens {
			break
		}
		uncached -= part.Tokens
	}
	return max(uncached, 0)
}

// prefilledTokens returns the number of prompt tokens in the cache whose prefill is
// predicted to be complete.
func (e *Endpoint) prefilledTokens(p *Prompt, cacheTokens int64) int64 {
	cached := p.InputTokens - e.uncachedTokens(p, cacheTokens)
	var sum int64
	for _, part := range p.Shared() {
		if sum += part.Tokens; sum > cached || e.parts[part.ID].queuePosition > e.queue.processed {
			return sum - part.Tokens
		}
	}
	return sum
}

// recordPrefill records a prompt that was sent to the endpoint and that ends at a position
// in its queue.
func (e *Endpoint) recordPrefill(uncachedTokens int64, position time.Duration, parts []string) {
	e.prefilled += uncachedTokens
	e.removeEvicted()
	for _, id := range parts {
		u, ok := e.parts[id]
		if !ok {
			u.queuePosition = position
		}
		u.prefilled, u.reportedTokens = e.prefilled, 0
		e.parts[id] = u
	}
}

// evicted reports whether so many tokens were prefilled since the last use of a part that
// it is no longer in the cache.
func (e *Endpoint) evicted(u partUse) bool {
	return float64(e.prefilled-u.prefilled) > partsCacheFraction*float64(e.cacheTokens)
}

// removeEvicted removes the evicted parts from memory once there are sweepAt parts.
// Otherwise a router would remember the parts of every prompt that it ever heard of, at 100
// bytes each. Removing all parts instead would make the router assume that each of them has
// to be prefilled again.
func (e *Endpoint) removeEvicted() {
	if len(e.parts) < e.sweepAt {
		return
	}
	maps.DeleteFunc(e.parts, func(_ string, u partUse) bool { return e.evicted(u) })
	e.sweepAt = max(2*len(e.parts), minPartsToSweep)
}

// RecordDispatch records a prompt that another router sent to the endpoint.
func (e *Endpoint) RecordDispatch(now time.Time, d Dispatch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	position := e.queue.add(now, d.PrefillTime, e.currentPrefillFactor(now))
	e.recordPrefill(d.UncachedTokens, position, d.Parts)
	e.recordAnnounced(now)
}

// currentPrefillFactor returns the prefill factor, which decays towards 1 without new
// measurements.
func (e *Endpoint) currentPrefillFactor(now time.Time) float64 {
	return 1 + (e.prefillFactor-1)*remainingWeight(now.Sub(e.prefillFactorAt))
}

// Dispatch is the information that routers exchange about a prompt sent to an endpoint.
type Dispatch struct {
	// UncachedTokens is the number of tokens that the endpoint has to prefill, and
	// PrefillTime how long that takes a typical endpoint.
	UncachedTokens int64
	PrefillTime    time.Duration
	// Parts are the ids of the shared parts.
	Parts []string
}

// UncachedTokens returns the number of prompt tokens that the endpoint has to prefill.
func (w *Assignment) UncachedTokens() int64 { return w.dispatch.UncachedTokens }

// Dispatch returns the information to send to other routers about the assignment.
func (w *Assignment) Dispatch() Dispatch { return w.dispatch }

// Assignment is a request at an endpoint, from its dispatch to its end.
type Assignment struct {
	endpoint *Endpoint
	dispatch Dispatch
	// promptTokens is the length of the prompt; 0 for plain requests.
	promptTokens int64
	// queuedBefore is the prefill time queued ahead of the prompt at its dispatch, and
	// queuePosition the prompt's end in the endpoint's queue; both are 0 for plain
	// requests.
	queuedBefore, queuePosition time.Duration
	// cacheSource is the endpoint from which to fetch cached parts, or nil.
	cacheSource         *Endpoint
	dispatchedAt        time.Time
	predictedFirstEvent time.Duration
	// predicted holds the parts of the prediction, and firstByteAt when the answer began, if the
	// endpoint has load reports.
	predicted   prediction
	firstByteAt time.Time
	started     bool
	// belief is what was known of the endpoint's room at the dispatch.
	belief Belief
}

// PredictedFirstEvent returns the time to the first event as predicted at dispatch.
func (w *Assignment) PredictedFirstEvent() time.Duration { return w.predictedFirstEvent }

// CacheSource returns the endpoint from which this one should fetch cached parts of the
// prompt, or nil.
func (w *Assignment) CacheSource() *Endpoint { return w.cacheSource }

// Endpoint returns the endpoint that the request was assigned to.
func (w *Assignment) Endpoint() *Endpoint { return w.endpoint }

// ObserveFirstByte records the arrival of the first byte of the answer's body and updates
// the latency estimates with it.
func (w *Assignment) ObserveFirstByte(now time.Time) {
	if w.started {
		return
	}
	w.started = true
	e := w.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	took := now.Sub(w.dispatchedAt)
	w.firstByteAt = now
	if w.queuePosition > 0 {
		e.queue.remove(now, w.queuePosition, true, e.currentPrefillFactor(now))
		countPrediction(w.predictedFirstEvent, took)
		if e.reports != nil {
			took = w.undisturbed(took - e.learnPrediction(now, w, took))
			if e.mayHaveWaited(now, w) {
				return
			}
		}
		e.learnPrefill(now, w, took)
		return
	}
	if e.reports != nil {
		took = max(took-e.reports.link.value(now), 0)
	}
	extra := e.currentExtraAnswerTime(now)
	e.extraAnswerTime = extra + time.Duration(extraAnswerTimeGain*float64(e.model.ObserveAnswer(took)-extra))
	e.extraAnswerTimeAt = now
}

// currentExtraAnswerTime returns the extra answer time, which decays towards 0 without new
// measurements.
func (e *Endpoint) currentExtraAnswerTime(now time.Time) time.Duration {
	return time.Duration(float64(e.extraAnswerTime) * remainingWeight(now.Sub(e.extraAnswerTimeAt)))
}

// remainingWeight returns the weight of an estimate whose last measurement is that old.
func remainingWeight(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / estimateDecay.Seconds())
}

// learnPrefill updates the endpoint's prefill factor with the time to the first event of a
// prompt and of what was queued before it. If nothing was queued, it updates the latency
// model of the service as well.
func (e *Endpoint) learnPrefill(now time.Time, w *Assignment, took time.Duration) {
	factor := e.currentPrefillFactor(now)
	if w.queuedBefore == 0 && factor < typicalFactorLimit && factor > 1/typicalFactorLimit {
		e.model.ObservePrefill(w.dispatch.UncachedTokens, w.promptTokens, took)
	}
	expected := w.queuedBefore + w.dispatch.PrefillTime
	if expected < minMeasuredPrefill {
		return
	}
	measured := float64(max(took-e.model.BaseLatency(), 0)) / float64(expected)
	weight := prefillFactorGain * min(float64(expected)/float64(fullWeightPrefill), 1)
	e.prefillFactor = factor + weight*(min(measured, maxPrefillFactor)-factor)
	e.prefillFactorAt, e.paceMeasuredAt = now, now
}

// End records that the request is over. It must be called once.
func (w *Assignment) End() { w.endAt(time.Now()) }

func (w *Assignment) endAt(now time.Time) {
	e := w.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.forgetDispatch(w.dispatchedAt)
	e.learnOccupancy(now, w)
	if !w.started && w.queuePosition > 0 {
		e.queue.remove(now, w.queuePosition, false, e.currentPrefillFactor(now))
	}
	w.started = true
}
