package predictor

import (
	"slices"
	"time"
)

// queue models the prompts waiting for prefill at an endpoint, in the order in which they
// were sent there by this router and, as far as it was told, by other routers. Its unit is
// the prefill time of a typical endpoint. Between events it advances at the endpoint's own
// speed. The first event of a prompt shows that all prompts before it have been prefilled;
// a prompt of this router without a first event counts as not prefilled.
type queue struct {
	// enqueued is the total of all prompts ever added, processed the part of it that has
	// been prefilled.
	enqueued, processed time.Duration
	updatedAt           time.Time
	// pending holds, in order, the end positions of this router's prompts that have no
	// first event yet.
	pending []time.Duration
}

// advance moves the queue forward to the present, at an endpoint with the given prefill
// factor.
func (q *queue) advance(now time.Time, prefillFactor float64) {
	if elapsed := now.Sub(q.updatedAt); elapsed > 0 {
		// The minimum is taken before the conversion: the time since the zero time, divided
		// as a float, may exceed the range of time.Duration.
		q.processed += time.Duration(min(float64(elapsed)/prefillFactor, float64(q.enqueued-q.processed)))
		q.updatedAt = now
	}
	if len(q.pending) > 0 {
		q.processed = min(q.processed, q.pending[0]-1)
	}
}

// add appends a prompt and returns its end position.
func (q *queue) add(now time.Time, prefillTime time.Duration, prefillFactor float64) time.Duration {
	q.advance(now, prefillFactor)
	q.enqueued += max(prefillTime, 1)
	return q.enqueued
}

// addOwn appends a prompt of this router and returns its end position.
func (q *queue) addOwn(now time.Time, prefillTime time.Duration, prefillFactor float64) time.Duration {
	position := q.add(now, prefillTime, prefillFactor)
	q.pending = append(q.pending, position)
	return position
}

// remove removes a prompt of this router. If prefilled is set, that prompt and all before
// it have been prefilled.
func (q *queue) remove(now time.Time, position time.Duration, prefilled bool, prefillFactor float64) {
	q.pending = slices.DeleteFunc(q.pending, func(p time.Duration) bool { return p == position || prefilled && p < position })
	q.advance(now, prefillFactor)
	if prefilled {
		q.processed = max(q.processed, min(position, q.enqueued))
	}
}

// remaining returns the prefill time still in the queue.
func (q *queue) remaining(now time.Time, prefillFactor float64) time.Duration {
	q.advance(now, prefillFactor)
	return q.enqueued - q.processed
}
