package predictor

import "time"

const (
	// perRequestDelay is the time that each running request adds to the first events of
	// others.
	perRequestDelay = 300 * time.Microsecond
	// unavailablePenalty keeps requests away from an endpoint whose slots are all in use or
	// that has to be probed.
	unavailablePenalty = 400 * time.Millisecond
	// minTransferTokens is the smallest number of cached tokens worth transferring from
	// another endpoint: the prefill of fewer takes only a few engine steps.
	minTransferTokens = 1_000
	// crossZoneTransferFactor is the ratio of transfer times between zones to those within
	// a zone.
	crossZoneTransferFactor = 2
	// longPrefill is the prefill time from which a prompt delays the requests beside it as
	// much as a very long prompt does. At a slow endpoint, far shorter prompts than
	// veryLongPromptTokens reach it.
	longPrefill = 200 * time.Millisecond
	// longPrefillPenalty is the cost of such a prompt for each request that runs beside it,
	// whose events it delays.
	longPrefillPenalty = 25 * time.Millisecond
)

// plan describes how a prompt would be prefilled at an endpoint.
type plan struct {
	endpoint *Endpoint
	// uncachedTokens is the number of tokens that the endpoint has to prefill itself.
	uncachedTokens int64
	// cacheSource is the endpoint from which cached parts are fetched first, which takes
	// transferTime; nil if nothing is fetched.
	cacheSource  *Endpoint
	transferTime time.Duration
}

// cacheSource is an endpoint and the number of prompt tokens that can be fetched from it.
type cacheSource struct {
	endpoint     *Endpoint
	cachedTokens int64
}

// findCacheSources returns, for each zone, the candidate from which the most tokens of a
// prompt can be fetched.
func findCacheSources(now time.Time, a Request, candidates []*Endpoint, home *Endpoint) map[string]cacheSource {
	if a.TransferPerToken <= 0 || a.Prompt == nil {
		return nil
	}
	out := map[string]cacheSource{}
	for _, e := range candidates {
		if e.excluded.Load() || e.gate.Ejected() || e.warmup.Restricted(now) {
			continue
		}
		if n := e.fetchableTokens(now, a, e == home); n >= minTransferTokens && n > out[e.beat.Zone].cachedTokens {
			out[e.beat.Zone] = cacheSource{e, n}
		}
	}
	return out
}

// fetchableTokens returns the number of prompt tokens in the endpoint's cache that other
// endpoints can fetch.
func (e *Endpoint) fetchableTokens(now time.Time, a Request, home bool) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.remaining(now, e.currentPrefillFactor(now)) > 0 {
		// The prefill of recently dispatched prompts may not be complete.
		return e.prefilledTokens(a.Prompt, a.CacheTokens)
	}
	return a.Prompt.InputTokens - e.expectedUncachedTokens(a, home)
}

// fastestPlan returns the plan with the shortest time for the prefill of a prompt,
// including transfers from other endpoints.
func (e *Endpoint) fastestPlan(a Request, home bool, sources map[string]cacheSource) plan {
	p := plan{endpoint: e, uncachedTokens: e.expectedUncachedTokens(a, home)}
	if a.Prompt == nil {
		return p
	}
	shortest := e.model.PrefillTime(p.uncachedTokens, a.Prompt.InputTokens)
	cached := a.Prompt.InputTokens - p.uncachedTokens
	for zone, d := range sources {
		fetched := d.cachedTokens - cached
		if d.endpoint == e || fetched < minTransferTokens {
			continue
		}
		transferTime := time.Duration(fetched) * a.TransferPerToken
		if zone != e.beat.Zone {
			transferTime *= crossZoneTransferFactor
		}
		uncached := a.Prompt.InputTokens - d.cachedTokens
		if total := transferTime + e.model.PrefillTime(uncached, a.Prompt.InputTokens); total < shortest {
			shortest, p.uncachedTokens, p.cacheSource, p.transferTime = total, uncached, d.endpoint, transferTime
		}
	}
	return p
}

// evaluate returns the fastest plan for a request at the endpoint, and its cost.
func (e *Endpoint) evaluate(now time.Time, a Request, home bool, sources map[string]cacheSource) (plan, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.fastestPlan(a, home, sources)
	return p, e.cost(now, a, home, p)
}

// cost is the predicted wait for the first event, or for a plain answer, plus penalties for
// the effects on other requests.
func (e *Endpoint) cost(now time.Time, a Request, home bool, p plan) time.Duration {
	active := e.activeRequests(now)
	if a.Prompt == nil {
		slots := max(e.beat.Slots, 1)
		c := scaled(e.model.MeanAnswer(), e.reportedSlowdown(now)) + e.currentExtraAnswerTime(now) + time.Duration(float64(active)/float64(slots)*float64(50*time.Millisecond))
		if active >= e.usableSlots(now, slots) {
			c += unavailablePenalty
		}
		if e.reports != nil {
			c += scaled(e.slotWait(active), e.reportedSlowdown(now))
		}
		return c
	}
	c := e.expectedFirstEvent(now, p, a.Prompt.InputTokens)
	if home {
		c -= homeBonus
	}
	if e.prefillTime(now, p.uncachedTokens, a.Prompt.InputTokens) > longPrefill {
		c += time.Duration(active) * longPrefillPenalty
	}
	if slots := e.beat.Slots; slots > 0 && active >= e.usableSlots(now, slots) {
		c += unavailablePenalty
	}
	return c
}

// scaled multiplies a duration by a factor.
func scaled(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }

// expectedUncachedTokens returns the number of prompt tokens that the endpoint has to
// prefill unless it fetches them. If only some routers announce what they dispatch, the
// home endpoint of the shared parts is assumed to have them cached: the combined requests
// of all routers keep them in recent use.
func (e *Endpoint) expectedUncachedTokens(a Request, home bool) int64 {
	if a.Prompt == nil {
		return 0
	}
	if home && a.PartialDispatches {
		return a.Prompt.unsharedTokens()
	}
	return e.uncachedTokens(a.Prompt, a.CacheTokens)
}

// prefillTime returns the predicted time for the prefill of uncached tokens of a prompt at
// this endpoint.
func (e *Endpoint) prefillTime(now time.Time, uncached, prompt int64) time.Duration {
	return time.Duration(float64(e.model.PrefillTime(uncached, prompt)) * e.currentPrefillFactor(now))
}

// expectedFirstEvent returns the time to the first event that counts for the choice.
func (e *Endpoint) expectedFirstEvent(now time.Time, p plan, prompt int64) time.Duration {
	if e.reports != nil {
		return e.predict(now, p, prompt).total()
	}
	return scaled(e.predictFirstEvent(now, p, prompt), e.reportedSlowdown(now))
}

// predictFirstEvent returns the predicted time to the first event of a prompt under a plan.
func (e *Endpoint) predictFirstEvent(now time.Time, p plan, prompt int64) time.Duration {
	factor := e.currentPrefillFactor(now)
	queued := time.Duration(float64(e.queue.remaining(now, factor)) * factor)
	return e.model.BaseLatency() + max(queued, p.transferTime) + e.prefillTime(now, p.uncachedTokens, prompt) + time.Duration(e.activeRequests(now))*perRequestDelay
}

// assign records the dispatch of a request to the endpoint under a plan. AtRisk is set if the endpoint
// might reject it.
func (e *Endpoint) assign(now time.Time, a Request, p plan, atRisk bool) *Assignment {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &Assignment{endpoint: e, dispatchedAt: now, belief: e.belief(now, atRisk)}
	if e.reports != nil && a.Prompt != nil {
		w.predicted = e.predict(now, p, a.Prompt.InputTokens)
		w.predictedFirstEvent = w.predicted.total() + e.reports.link.value(now)
	}
	e.running++
	e.recordDispatchTime(now)
	if a.Prompt == nil {
		return w
	}
	w.promptTokens, w.cacheSource = a.Prompt.InputTokens, p.cacheSource
	if e.reports == nil {
		w.predictedFirstEvent = e.predictFirstEvent(now, p, w.promptTokens)
	}
	w.dispatch = Dispatch{UncachedTokens: p.uncachedTokens, PrefillTime: e.model.PrefillTime(p.uncachedTokens, w.promptTokens), Parts: a.Prompt.SharedIDs()}
	factor := e.currentPrefillFactor(now)
	w.queuedBefore = e.queue.remaining(now, factor)
	w.queuePosition = e.queue.addOwn(now, w.dispatch.PrefillTime, factor)
	e.recordPrefill(p.uncachedTokens, w.queuePosition, w.dispatch.Parts)
	return w
}
