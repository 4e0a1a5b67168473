package warmer

import "time"

// RateLimit is the request rate that an endpoint accepts from all routers combined. The
// zero value means no limit.
type RateLimit struct {
	Limited bool
	// PerSecond is the limit in requests per second; meaningful only if Limited is set.
	PerSecond float64
}

// rateLimitState is the rate limit in effect for one endpoint.
type rateLimitState struct {
	limit RateLimit
	// SentAt is the latest send time of a request whose response was accepted; zero before
	// the first one.
	sentAt time.Time
	// ReceivedAt is when the last accepted response arrived.
	receivedAt time.Time
}

// observe records the limit reported in the response to a request sent at sentAt, and
// returns whether the limit in effect changed. A lower limit takes effect immediately. A
// higher one, or none, is accepted only if the request was sent after the last accepted
// response arrived, because responses can arrive out of order. A response that was received
// before the request of an accepted one was sent, as another router may report it, is
// outdated and ignored.
func (s *rateLimitState) observe(l RateLimit, sentAt, receivedAt time.Time) bool {
	if receivedAt.Before(s.sentAt) {
		return false
	}
	if !l.stricterThan(s.limit) && l != s.limit && !sentAt.After(s.receivedAt) {
		return false
	}
	changed := l != s.limit
	s.limit = l
	if sentAt.After(s.sentAt) {
		s.sentAt = sentAt
	}
	if receivedAt.After(s.receivedAt) {
		s.receivedAt = receivedAt
	}
	return changed
}

// stricterThan reports whether l allows fewer requests than other.
func (l RateLimit) stricterThan(other RateLimit) bool {
	return l.Limited && (!other.Limited || l.PerSecond < other.PerSecond)
}
