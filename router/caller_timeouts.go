package router

import (
	"net/http"
	"time"

	"rattanhoist.example/rattanhoist/enforcer"
)

const (
	// bodyTimeout is how long a caller may take to send its body.
	bodyTimeout = 30 * time.Second
	// writeGrace is how long after its deadline a caller may take to read the
	// rest of its answer.
	writeGrace = 5 * time.Second
)

// bodyTimeLimit returns how long the body may take: limit, or the request's own
// timeout if that is shorter.
func bodyTimeLimit(h http.Header, limit time.Duration) time.Duration {
	d, err := time.ParseDuration(h.Get(headerTimeout))
	if err != nil || d <= 0 {
		return limit
	}
	return min(d, limit)
}

// limitBodyTime returns middleware that disconnects callers which send their
// body too slowly.
func limitBodyTime(limit time.Duration) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			enforcer.LimitBodyTime(w, q, time.Now().Add(bodyTimeLimit(q.Header, limit)))
			next.ServeHTTP(w, q)
		})
	}
}

// limitWriteTime disconnects a caller that does not read its answer.
func limitWriteTime(w http.ResponseWriter, deadline time.Time) {
	enforcer.LimitWriteTime(w, deadline.Add(writeGrace))
}
