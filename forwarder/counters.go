package forwarder

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics of the request path, in the text format of the metrics address.
var (
	firstEventSeconds      = metrics.NewHistogram("rattanhoist_first_event_seconds")
	predictionErrorSeconds = metrics.NewHistogram("rattanhoist_first_event_prediction_error_seconds")
	longestPauseSeconds    = metrics.NewHistogram("rattanhoist_longest_pause_seconds")
	plainAnswerSeconds     = metrics.NewHistogram("rattanhoist_plain_answer_seconds")
	streamsResumed         = metrics.NewCounter("rattanhoist_streams_resumed_total")
	// streamsMixed counts events that follow one of another software version in the same answer, which
	// is a fault.
	streamsMixed          = metrics.NewCounter("rattanhoist_streams_mixed_total")
	requestsRepeated      = metrics.NewCounter("rattanhoist_requests_repeated_total")
	promptsFetched        = metrics.NewCounter("rattanhoist_prompts_fetched_total")
	requestsHeldBack      = metrics.NewCounter("rattanhoist_requests_held_back_total")
	requestsToRateLimited = metrics.NewCounter("rattanhoist_requests_to_rate_limited_total")
	// requestsBeforeRetryAfter counts requests sent to an endpoint before its Retry-After
	// period elapsed.
	requestsBeforeRetryAfter = metrics.NewCounter("rattanhoist_requests_before_retry_after_total")
	// rejectionsWhileLimited counts rejections by endpoints that limit them.
	rejectionsWhileLimited = metrics.NewCounter("rattanhoist_rejections_while_limited_total")
	// Permits for requests to endpoints that limit rejections.
	permitsGranted   = metrics.NewCounter("rattanhoist_permits_granted_total")
	permitsDenied    = metrics.NewCounter("rattanhoist_permits_denied_total")
	overloadRefusals = metrics.NewCounter("rattanhoist_overload_refusals_total")
	// memoryRefusals counts requests refused because too many bytes were held for callers,
	// and slowBodies those whose body was not sent in time.
	memoryRefusals = metrics.NewCounter("rattanhoist_memory_refusals_total")
	slowBodies     = metrics.NewCounter("rattanhoist_slow_bodies_total")
	// answersWithoutMemory counts answers that were not read to their end for the same reason.
	answersWithoutMemory = metrics.NewCounter("rattanhoist_answers_without_memory_total")
	// requestsRelayed counts attempts that another router relayed.
	requestsRelayed = metrics.NewCounter("rattanhoist_requests_relayed_total")
	// dispatchesWithdrawn counts requests that were not sent because the endpoint left service, or had
	// another version than the stream, once the connection was open.
	dispatchesWithdrawn = metrics.NewCounter("rattanhoist_dispatches_withdrawn_total")
	endpointFailures    = metrics.NewCounter("rattanhoist_endpoint_failures_total")
	// Requests that found every endpoint full, by outcome: started after a wait, refused on
	// arrival, refused after a wait, refused because too many waited, given up by the caller, and
	// ended by a change of the configuration.
	requestsWaited    = metrics.NewCounter(`rattanhoist_admission_total{outcome="waited"}`)
	refusalsEarly     = metrics.NewCounter(`rattanhoist_admission_total{outcome="refused_early"}`)
	refusalsLate      = metrics.NewCounter(`rattanhoist_admission_total{outcome="refused_late"}`)
	refusalsFull      = metrics.NewCounter(`rattanhoist_admission_total{outcome="refused_full"}`)
	requestsAbandoned = metrics.NewCounter(`rattanhoist_admission_total{outcome="abandoned"}`)
	requestsRevoked   = metrics.NewCounter(`rattanhoist_admission_total{outcome="revoked"}`)
	// requestsReturned counts refused callers that came back when they were told to.
	requestsReturned = metrics.NewCounter("rattanhoist_admission_returned_total")
	// refusalsWithRoom counts requests refused while an endpoint had room, which is a fault.
	refusalsWithRoom = metrics.NewCounter("rattanhoist_admission_refused_with_room_total")
)

// countRejection counts a rejection by an endpoint that limits them, by why the request was sent there.
func countRejection(reason string) {
	rejectionsWhileLimited.Inc()
	metrics.GetOrCreateCounter(`rattanhoist_rejections_by_belief_total{sent_as="` + reason + `"}`).Inc()
}

// countConnectionEnd counts a request whose connection ended before its answer, by the cause and by whether an endpoint
// may have run it.
func countConnectionEnd(cause ConnectionEnd, mayHaveRun bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rattanhoist_caller_connections_ended_total{cause=%q,may_have_run=\"%v\"}", cause, mayHaveRun)).Inc()
}

// countEnd counts a final answer; status 0 stands for a caller who disconnected.
func (j *job) countEnd(status int) {
	metrics.GetOrCreateCounter(`rattanhoist_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	if j.resumesStream() {
		j.countResumption()
	}
	switch {
	case j.events > 0:
		firstEventSeconds.Update(j.firstEvent.Seconds())
		predictionErrorSeconds.Update((j.firstEvent - j.predictedFirstEvent).Abs().Seconds())
		longestPauseSeconds.Update(j.longestPause.Seconds())
	case status == 200:
		plainAnswerSeconds.Update(time.Since(j.startedAt).Seconds())
	}
}
