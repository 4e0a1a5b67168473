package forwarder

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Counters of the path of a request, as text on the metrics address.
var (
	firstEvent      = metrics.NewHistogram("rattanhoist_first_event_seconds")
	predictionError = metrics.NewHistogram("rattanhoist_first_event_prediction_error_seconds")
	longestPause    = metrics.NewHistogram("rattanhoist_longest_pause_seconds")
	plainAnswer     = metrics.NewHistogram("rattanhoist_plain_answer_seconds")
	resumed         = metrics.NewCounter("rattanhoist_streams_resumed_total")
	repeated        = metrics.NewCounter("rattanhoist_requests_repeated_total")
	fetched         = metrics.NewCounter("rattanhoist_prompts_fetched_total")
	heldBack        = metrics.NewCounter("rattanhoist_requests_held_back_total")
	toRateLimited   = metrics.NewCounter("rattanhoist_requests_to_rate_limited_total")
	// beforeRetryAfter counts requests sent to an endpoint before its Retry-After period elapsed.
	beforeRetryAfter = metrics.NewCounter("rattanhoist_requests_before_retry_after_total")
	overloadRefusals = metrics.NewCounter("rattanhoist_overload_refusals_total")
	blamed           = metrics.NewCounter("rattanhoist_endpoint_failures_total")
)

// countEnd counts a final answer; status 0 stands for a caller who left.
func (j *job) countEnd(status int) {
	metrics.GetOrCreateCounter(`rattanhoist_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	switch {
	case j.events > 0:
		firstEvent.Update(j.first.Seconds())
		predictionError.Update((j.first - j.predicted).Abs().Seconds())
		longestPause.Update(j.pause.Seconds())
	case status == 200:
		plainAnswer.Update(time.Since(j.begun).Seconds())
	}
}
