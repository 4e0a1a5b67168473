package warmer

import (
	"sync"
	"sync/atomic"
	"time"
)

// Gate limits what one router sends to one endpoint while that is cold, rate limited or
// shedding load. The zero value is open. It is safe for concurrent use, and takes no lock to
// admit a request while the endpoint is none of these.
type Gate struct {
	// Restricted is false only for an endpoint that is neither cold, rate limited nor
	// shedding load.
	restricted atomic.Bool
	mu         sync.Mutex
	// ColdUntil is when the endpoint is warm according to heartbeats and evacuations.
	// ReportedColdUntil is the same according to its own responses. The later of the two applies.
	coldUntil, reportedColdUntil time.Time
	// RateLimit is the rate limit in effect.
	rateLimit rateLimitState
	// Backoff is the Retry-After state of the endpoint.
	backoff backoff
	// ColdQuota applies while the endpoint is cold, and rateQuota while it is rate limited.
	coldQuota, rateQuota quota
	// RejectionLimit is the limit on rejections in effect, and limitsRejections whether there is
	// one. RiskQuota applies to requests that might be rejected.
	rejectionLimit   rateLimitState
	limitsRejections atomic.Bool
	riskQuota        quota
}

// SetCold sets until when the endpoint is cold, and the router's share, which it may use until it
// expires.
func (g *Gate) SetCold(now, until time.Time, s Share, expires time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldUntil = until
	g.coldQuota.set(now, s, expires)
	g.updateRestricted(now)
}

// SetRateLimitShare sets the router's share of the endpoint's rate limit, and when that
// share expires.
func (g *Gate) SetRateLimitShare(now time.Time, s Share, expires time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rateQuota.set(now, s, expires)
}

// SetReportedCold records until when the endpoint itself reports to be cold.
func (g *Gate) SetReportedCold(now, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportedColdUntil = until
	g.updateRestricted(now)
}

// ObserveBackoff records the Retry-After period, 0 for none, of the response to a request
// sent at sentAt. The response was received at receivedAt. It returns whether the endpoint
// started shedding load.
func (g *Gate) ObserveBackoff(retryAfter time.Duration, sentAt, receivedAt time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	started := g.backoff.observe(retryAfter, sentAt, receivedAt)
	g.updateRestricted(receivedAt)
	return started
}

// BackingOff reports whether the endpoint's Retry-After period has not elapsed yet.
func (g *Gate) BackingOff(now time.Time) bool {
	if !g.restricted.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backoff.until.After(now)
}

// ProbeDue returns how long a probe of an endpoint that is shedding load has been due; 0 if
// none is due.
func (g *Gate) ProbeDue(now time.Time) time.Duration {
	if !g.restricted.Load() {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.backoff.shedding() {
		return 0
	}
	return max(now.Sub(g.backoff.opensAt()), 0)
}

// ObserveRateLimit records the rate limit reported in the response to a request sent at
// sentAt. The response was received at receivedAt, by this router or another. It returns
// whether the limit in effect changed. When the endpoint becomes rate limited, the gate
// closes until SetRateLimitShare is called.
func (g *Gate) ObserveRateLimit(l RateLimit, sentAt, receivedAt time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasLimited := g.rateLimit.limit.Limited
	changed := g.rateLimit.observe(l, sentAt, receivedAt)
	if !wasLimited {
		g.rateQuota.expires = time.Time{}
	}
	g.updateRestricted(receivedAt)
	return changed
}

// ObserveRejectionLimit records the limit on rejections reported in the response to a request sent
// at sentAt. The response was received at receivedAt. It returns whether the limit in effect
// changed. Until SetRejectionShare is called, no request may be sent that might be rejected.
func (g *Gate) ObserveRejectionLimit(l RateLimit, sentAt, receivedAt time.Time) bool {
	if !l.Limited && !g.limitsRejections.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	wasLimited := g.rejectionLimit.limit.Limited
	changed := g.rejectionLimit.observe(l, sentAt, receivedAt)
	if !wasLimited {
		g.riskQuota.expires = time.Time{}
	}
	g.limitsRejections.Store(g.rejectionLimit.limit.Limited)
	return changed
}

// SetRejectionShare sets the router's share of the requests that might be rejected, and when that
// share expires.
func (g *Gate) SetRejectionShare(now time.Time, s Share, expires time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.riskQuota.set(now, s, expires)
}

// RejectionLimit returns the limit on rejections in effect.
func (g *Gate) RejectionLimit() RateLimit {
	if !g.limitsRejections.Load() {
		return RateLimit{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rejectionLimit.limit
}

// LimitsRejections reports whether the endpoint limits rejections.
func (g *Gate) LimitsRejections() bool { return g.limitsRejections.Load() }

// RiskOpen reports whether a request that might be rejected may be sent now.
func (g *Gate) RiskOpen(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.riskQuota.open(now)
}

// AdmitRisk reports whether a request that might be rejected may be sent now, and counts it if so.
func (g *Gate) AdmitRisk(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.riskQuota.open(now) {
		return false
	}
	g.riskQuota.tokens--
	return true
}

// RateLimit returns the rate limit in effect.
func (g *Gate) RateLimit() RateLimit {
	if !g.restricted.Load() {
		return RateLimit{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimit.limit
}

// LastRateLimit returns the rate limit in effect, the latest send time of a request whose
// response was accepted, and the latest receive time of such a response. The times are
// zero before the first response.
func (g *Gate) LastRateLimit() (l RateLimit, sentAt, receivedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimit.limit, g.rateLimit.sentAt, g.rateLimit.receivedAt
}

// Restricted reports whether the endpoint is cold, rate limited or shedding load.
func (g *Gate) Restricted(now time.Time) bool {
	if !g.restricted.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isRestricted(now)
}

func (g *Gate) isRestricted(now time.Time) bool {
	return g.isCold(now) || g.rateLimit.limit.Limited || g.backoff.shedding()
}

func (g *Gate) isCold(now time.Time) bool {
	return g.coldUntil.After(now) || g.reportedColdUntil.After(now)
}

func (g *Gate) updateRestricted(now time.Time) { g.restricted.Store(g.isRestricted(now)) }

// Open reports whether a request may be sent now.
func (g *Gate) Open(now time.Time) bool {
	if !g.restricted.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open(now)
}

// OpensAt returns when the next request may be sent, or the zero time if that is unknown.
func (g *Gate) OpensAt(now time.Time) time.Time {
	if !g.restricted.Load() {
		return now
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	at := now
	if opens := g.backoff.opensAt(); opens.After(now) {
		at = opens
	}
	for _, q := range g.activeQuotas(now) {
		opens := q.opensAt(now)
		if opens.IsZero() {
			return opens
		}
		if opens.After(at) {
			at = opens
		}
	}
	return at
}

// Admit reports whether a request may be sent now, and counts it if so.
func (g *Gate) Admit(now time.Time) bool {
	if !g.restricted.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open(now) {
		return false
	}
	for _, q := range g.activeQuotas(now) {
		q.tokens--
	}
	g.backoff.admit(now)
	return true
}

func (g *Gate) open(now time.Time) bool {
	if g.backoff.opensAt().After(now) {
		return false
	}
	for _, q := range g.activeQuotas(now) {
		if !q.open(now) {
			return false
		}
	}
	return true
}

// activeQuotas returns the quotas that apply now.
func (g *Gate) activeQuotas(now time.Time) []*quota {
	var out []*quota
	if g.isCold(now) {
		out = append(out, &g.coldQuota)
	}
	if g.rateLimit.limit.Limited {
		out = append(out, &g.rateQuota)
	}
	return out
}
