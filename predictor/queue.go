package predictor

import (
	"slices"
	"time"
)

// queue is the prompts that an endpoint has still to read, as the time that this
// takes an ordinary endpoint, in the order in which they were sent there, by this
// router and, as far as it heard, by the others. Between events it drains at the
// endpoint's pace; a first event shows that all before its prompt was read, and a
// prompt without one that it was not.
type queue struct {
	// Added is all that was ever sent, read what was read of it.
	added, read time.Duration
	at          time.Time
	// Open holds where the prompts of this router end that have no first event
	// yet, in order.
	open []time.Duration
}

// drain moves time on, at an endpoint that takes pace times as long as an ordinary
// one.
func (q *queue) drain(now time.Time, pace float64) {
	if gone := now.Sub(q.at); gone > 0 {
		// Compared before the conversion: the time since the zero time, as a float, is
		// more than a duration holds.
		q.read += time.Duration(min(float64(gone)/pace, float64(q.added-q.read)))
		q.at = now
	}
	if len(q.open) > 0 {
		q.read = min(q.read, q.open[0]-1)
	}
}

// add puts a prompt at the end and returns where it ends.
func (q *queue) add(now time.Time, takes time.Duration, pace float64) time.Duration {
	q.drain(now, pace)
	q.added += max(takes, 1)
	return q.added
}

// enter adds a prompt of this router.
func (q *queue) enter(now time.Time, takes time.Duration, pace float64) time.Duration {
	place := q.add(now, takes, pace)
	q.open = append(q.open, place)
	return place
}

// leave takes a prompt of this router out; read says that it was read, and so
// were those before it.
func (q *queue) leave(now time.Time, place time.Duration, read bool, pace float64) {
	q.open = slices.DeleteFunc(q.open, func(p time.Duration) bool { return p == place || read && p < place })
	q.drain(now, pace)
	if read {
		q.read = max(q.read, min(place, q.added))
	}
}

// left returns what is still to be read.
func (q *queue) left(now time.Time, pace float64) time.Duration {
	q.drain(now, pace)
	return q.added - q.read
}
