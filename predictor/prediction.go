package predictor

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// occupancyGain is the weight of the newest request in the mean duration of requests at an
	// endpoint; the first ones have equal weights.
	occupancyGain = 0.05
	// minOccupancies is the number of requests from which an endpoint's own mean duration is used.
	minOccupancies = 5
	// correctionGain is the weight of the newest error in an endpoint's correction, and
	// correctionDecay the time constant with which the correction falls without errors: slow periods
	// of endpoints last about as long.
	correctionGain  = 0.3
	correctionDecay = 600 * time.Millisecond
	// minUncorrected bounds a negative correction: half of the uncorrected prediction remains.
	minUncorrected = 0.5
	// maxCorrection bounds an endpoint's correction. Longer delays are waits for slots or in queues,
	// which are predicted from the load.
	maxCorrection = 2 * time.Second
	// loadDelayGain is the step with which the delay by each running request is learned, and
	// maxRequestDelay its limit.
	loadDelayGain   = 0.01
	maxRequestDelay = 10 * perRequestDelay
	// linkSamples is the number of recent errors that the delay at this router's own link is taken
	// from, linkWindow their greatest age, and minLinkEndpoints the number of endpoints that they must
	// come from: one or two slow endpoints are not a slow link.
	linkSamples      = 32
	linkWindow       = time.Second
	minLinkEndpoints = 3
	// linkQuantile selects the error that nearly all endpoints exceed. While a third of them or even
	// half are slow, the others show that the link is not.
	linkQuantile = 0.2
)

// serviceDelay is what is learned about all endpoints of a service: the delay that each running
// request adds to first events, and the mean duration of requests. It is safe for concurrent use.
type serviceDelay struct {
	mu sync.Mutex
	// perRequest is in nanoseconds.
	perRequest float64
	occupancy  meanDuration
}

// meanDuration is an average in which the first values have equal weights and later ones
// occupancyGain.
type meanDuration struct {
	value time.Duration
	count int
}

func (m *meanDuration) add(d time.Duration) {
	m.count++
	m.value += time.Duration(max(occupancyGain, 1/float64(m.count)) * float64(d-m.value))
}

// addOccupancy records the duration of a request.
func (s *serviceDelay) addOccupancy(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.occupancy.add(d)
}

// meanOccupancy returns the mean duration of requests, or 0 before the first one ended.
func (s *serviceDelay) meanOccupancy() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.occupancy.value
}

func newServiceDelay() *serviceDelay { return &serviceDelay{perRequest: float64(perRequestDelay)} }

// delay returns the delay by a number of running requests.
func (s *serviceDelay) delay(active int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.perRequest * float64(active))
}

// learn updates the delay with the error of a prediction at an endpoint with active requests.
func (s *serviceDelay) learn(active int, missed time.Duration) {
	if active <= 0 {
		return
	}
	missed = min(max(missed, -maxResidual), maxResidual)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perRequest += loadDelayGain * float64(missed) / float64(active)
	s.perRequest = min(max(s.perRequest, 0), float64(maxRequestDelay))
}

// linkDelay estimates the delay that recent first events from all endpoints share. It is that of
// this router's own link or processor. It is safe for concurrent use.
type linkDelay struct {
	mu      sync.Mutex
	samples [linkSamples]linkSample
	next    int
}

// linkSample is the error of one prediction.
type linkSample struct {
	endpoint *Endpoint
	missed   time.Duration
	at       time.Time
}

// observe records by how much a first event came later than predicted for the endpoint.
func (l *linkDelay) observe(now time.Time, e *Endpoint, missed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[l.next] = linkSample{e, missed, now}
	l.next = (l.next + 1) % linkSamples
}

// value returns the delay that the recent errors at all endpoints share, or 0.
func (l *linkDelay) value(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	missed, from := make([]time.Duration, 0, linkSamples), make([]*Endpoint, 0, minLinkEndpoints)
	for _, s := range l.samples {
		if s.endpoint == nil || now.Sub(s.at) >= linkWindow {
			continue
		}
		missed = append(missed, s.missed)
		if len(from) < minLinkEndpoints && !slices.Contains(from, s.endpoint) {
			from = append(from, s.endpoint)
		}
	}
	if len(from) < minLinkEndpoints {
		return 0
	}
	slices.Sort(missed)
	return max(missed[int(linkQuantile*float64(len(missed)))], 0)
}

// prediction is the expected time to a first event by its parts.
type prediction struct {
	// service is the time without any waits, running the delay by running requests.
	service, running time.Duration
	// wait is the longest of the waits in the queue of prompts, for a slot and for a transfer.
	wait time.Duration
	// slowdown multiplies the parts above.
	slowdown float64
	// correction is learned from recent errors at the endpoint.
	correction time.Duration
	active     int
}

// uncorrected returns the time by the load alone.
func (p prediction) uncorrected() time.Duration {
	return scaled(p.service+p.running+p.wait, p.slowdown)
}

// total returns the expected time at the endpoint, without the delay at this router's link.
func (p prediction) total() time.Duration {
	u := p.uncorrected()
	return max(u+p.correction, scaled(u, minUncorrected))
}

// predict returns the prediction for a prompt under a plan.
func (e *Endpoint) predict(now time.Time, p plan, prompt int64) prediction {
	factor := e.currentPrefillFactor(now)
	queued := time.Duration(float64(e.queue.remaining(now, factor)) * factor)
	active := e.activeRequests(now)
	return prediction{
		service: e.model.BaseLatency() + e.prefillTime(now, p.uncachedTokens, prompt),
		running: e.delays.delay(active), wait: max(queued, p.transferTime, e.slotWait(active)),
		slowdown: e.reportedSlowdown(now), correction: e.currentCorrection(now), active: active,
	}
}

// slotWait returns the expected wait for a slot, at the mean duration of requests.
func (e *Endpoint) slotWait(active int) time.Duration {
	slots := e.beat.Slots
	if slots <= 0 || active < slots {
		return 0
	}
	return e.meanOccupancy() * time.Duration(active-slots+1) / time.Duration(slots)
}

// currentCorrection returns the correction, which decays towards 0 without new errors.
func (e *Endpoint) currentCorrection(now time.Time) time.Duration {
	age := max(now.Sub(e.correctionAt), 0)
	return time.Duration(float64(e.correction) * math.Exp(-age.Seconds()/correctionDecay.Seconds()))
}

// learnPrediction updates the corrections with the first event of a prompt, and returns the delay at
// this router's link, which says nothing about the endpoint.
func (e *Endpoint) learnPrediction(now time.Time, w *Assignment, took time.Duration) time.Duration {
	p := w.predicted
	missed := took - p.uncorrected()
	e.reports.link.observe(now, e, missed)
	link := e.reports.link.value(now)
	missed -= link
	c := e.currentCorrection(now)
	c += time.Duration(correctionGain * float64(missed-c))
	e.correction, e.correctionAt = min(max(c, -maxCorrection), maxCorrection), now
	if !e.mayHaveWaited(now, w) {
		e.delays.learn(p.active, missed)
	}
	return link
}

// mayHaveWaited reports whether a request may have waited for a slot, by the load at its dispatch and
// at its first event. Its time then says nothing about the speed of the endpoint.
func (e *Endpoint) mayHaveWaited(now time.Time, w *Assignment) bool {
	slots := e.beat.Slots
	return slots > 0 && (w.predicted.active >= slots || e.loadKnown(now) && e.reported.Waiting > 0)
}

// meanOccupancy returns the mean duration of requests here, or at all endpoints of the service while
// there were too few.
func (e *Endpoint) meanOccupancy() time.Duration {
	if e.occupancy.count < minOccupancies {
		return e.delays.meanOccupancy()
	}
	return e.occupancy.value
}

// learnOccupancy updates the mean duration of requests at the endpoint with one that ended. The
// time before its first event counts as far as it was not a wait.
func (e *Endpoint) learnOccupancy(now time.Time, w *Assignment) {
	if e.reports == nil || w.firstByteAt.IsZero() {
		return
	}
	took := now.Sub(w.firstByteAt)
	if w.promptTokens > 0 {
		took += scaled(w.predicted.service+w.predicted.running, w.predicted.slowdown)
	} else {
		took = now.Sub(w.dispatchedAt)
	}
	e.occupancy.add(took)
	e.delays.addOccupancy(took)
}

// undisturbed returns what a first event that took this long would have taken at the usual speed and
// without other requests, from which the latency model and the endpoint's pace are learned.
func (w *Assignment) undisturbed(took time.Duration) time.Duration {
	return max(time.Duration(float64(took)/w.predicted.slowdown)-w.predicted.running, 0)
}
