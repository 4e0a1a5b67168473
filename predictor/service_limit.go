package predictor

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/warmer"
)

const (
	// serviceLimitTTL is how long a limit on rejections that one endpoint of a service reports
	// applies to all of them. An idle router may hear of it again only from other routers, which
	// takes a few digests.
	serviceLimitTTL = 4 * time.Second
	// maxServiceLimits bounds the limits in a digest.
	maxServiceLimits = 8
)

// serviceLimit is the limit on rejections that endpoints of a service report. All endpoints of a
// service start and stop to limit rejections together, and an endpoint that has just started, or that
// this router has not sent a request to, has reported nothing yet.
type serviceLimit struct {
	// mu is held to replace report, which is nil before the first one.
	mu     sync.Mutex
	report atomic.Pointer[limitReport]
}

// limitReport is a limit on rejections as last reported. It is immutable.
type limitReport struct {
	limit warmer.RateLimit
	// at is when any router received the report. ObservedAt is when this router last received one,
	// or zero.
	at, observedAt time.Time
}

// fresh reports whether the limit applies at a time.
func (r *limitReport) fresh(now time.Time) bool { return r != nil && now.Sub(r.at) < serviceLimitTTL }

// observe records the limit in a response to this router.
func (s *serviceLimit) observe(l warmer.RateLimit, now time.Time) {
	if !l.Limited {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Store(&limitReport{limit: l, at: now, observedAt: now})
}

// apply records a limit that another router received at a time, and reports whether that is newer.
func (s *serviceLimit) apply(l warmer.RateLimit, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.report.Load()
	if known == nil {
		known = &limitReport{}
	}
	if !at.After(known.at) {
		return false
	}
	s.report.Store(&limitReport{limit: l, at: at, observedAt: known.observedAt})
	return true
}

// after returns the limit that was reported after a time, if it still applies.
func (s *serviceLimit) after(at, now time.Time) warmer.RateLimit {
	r := s.report.Load()
	if !r.fresh(now) || !r.at.After(at) {
		return warmer.RateLimit{}
	}
	return r.limit
}

// encode returns the limit for a digest if this router observed it recently. A limit that another
// router reported is not passed on: its age does not include the time on the network, so it would
// never expire.
func (s *serviceLimit) encode(now time.Time, service uint32) *messenger.ServiceLimit {
	r := s.report.Load()
	if !r.fresh(now) || now.Sub(r.observedAt) >= serviceLimitTTL {
		return nil
	}
	return &messenger.ServiceLimit{Service: service, PerSecond: r.limit.PerSecond, AgeMs: encodeAge(now.Sub(r.observedAt))}
}

// RejectionLimit returns the limit on rejections that applies to the endpoint: its own, or one that
// another endpoint of the service reported since this one was last known to have none.
func (e *Endpoint) RejectionLimit(now time.Time) warmer.RateLimit {
	if l := e.warmup.RejectionLimit(); l.Limited {
		return l
	}
	limit := e.serviceLimit.Load()
	if limit == nil {
		return warmer.RateLimit{}
	}
	return limit.after(time.Unix(0, e.unlimitedAt.Load()), now)
}

// limitsRejections reports whether the endpoint limits rejections, as far as this router knows.
func (e *Endpoint) limitsRejections(now time.Time) bool { return e.RejectionLimit(now).Limited }

// observeRejectionLimit records the limit in a response to a request sent at sentAt, and returns
// whether the endpoint's own limit changed.
func (e *Endpoint) observeRejectionLimit(l warmer.RateLimit, sentAt, now time.Time) bool {
	if limit := e.serviceLimit.Load(); limit != nil {
		limit.observe(l, now)
	}
	if !l.Limited && sentAt.UnixNano() > e.unlimitedAt.Load() {
		e.unlimitedAt.Store(sentAt.UnixNano())
	}
	return e.warmup.ObserveRejectionLimit(l, sentAt, now)
}

// recentLimits returns the limits on rejections that endpoints reported to this router.
func (t *Table) recentLimits(now time.Time) []*messenger.ServiceLimit {
	var out []*messenger.ServiceLimit
	for service, limit := range *t.limits.Load() {
		if l := limit.encode(now, hashName(service)); l != nil && len(out) < maxServiceLimits {
			out = append(out, l)
		}
	}
	return out
}

// applyLimit records the limit on rejections of a service that another router reports.
func (t *Table) applyLimit(now time.Time, l *messenger.ServiceLimit, out *DigestResult) {
	at, valid := decodeAge(now, l.GetAgeMs())
	valid = valid && l.GetPerSecond() >= 0
	for service, limit := range *t.limits.Load() {
		if valid && hashName(service) == l.GetService() {
			if limit.apply(warmer.RateLimit{Limited: true, PerSecond: l.GetPerSecond()}, at) {
				out.Used++
			}
			return
		}
	}
	out.Dropped++
}
