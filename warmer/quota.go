package warmer

import "time"

// quota is a token bucket that this router may use until it expires.
type quota struct {
	share   Share
	expires time.Time
	// Tokens is the content of the bucket at filledAt. Before the first use the bucket is full.
	tokens   float64
	filledAt time.Time
}

func (q *quota) set(now time.Time, s Share, expires time.Time) {
	q.fill(now)
	q.share, q.expires = s, expires
}

func (q *quota) open(now time.Time) bool {
	if !q.expires.After(now) {
		return false
	}
	q.fill(now)
	return q.tokens >= 1
}

// opensAt returns when the next request may be sent, or the zero time if that is unknown.
func (q *quota) opensAt(now time.Time) time.Time {
	if q.open(now) {
		return now
	}
	if !q.expires.After(now) || q.share.Rate <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration((1 - q.tokens) / q.share.Rate * float64(time.Second)))
}

func (q *quota) fill(now time.Time) {
	switch {
	case q.filledAt.IsZero():
		q.tokens = burst
	case now.After(q.filledAt):
		q.tokens = min(q.tokens+now.Sub(q.filledAt).Seconds()*q.share.Rate, max(q.share.Burst, q.tokens))
	}
	if now.After(q.filledAt) {
		q.filledAt = now
	}
}
