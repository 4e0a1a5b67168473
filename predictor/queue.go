package predictor

import (
	"slices"
	"time"
)

// queue is the prompt tokens that an endpoint has still to read, in the order
// in which they were sent there, by this router and, as far as it heard, by
// the others. Between events it drains at the endpoint's rate; a first event
// shows that all before its prompt was read, and a prompt without one that it
// was not.
type queue struct {
	// Added counts all tokens ever sent, read those that were read.
	added, read int64
	at          time.Time
	// Open holds where the prompts of this router end that have no first event
	// yet, in order.
	open []int64
}

// drain moves time on.
func (q *queue) drain(now time.Time, rate float64) {
	if gone := now.Sub(q.at); gone > 0 {
		q.read = min(q.read+int64(gone.Seconds()*1000*rate), q.added)
		q.at = now
	}
	if len(q.open) > 0 {
		q.read = min(q.read, q.open[0]-1)
	}
}

// add puts tokens at the end and returns where they end.
func (q *queue) add(now time.Time, tokens int64, rate float64) int64 {
	q.drain(now, rate)
	q.added += max(tokens, 1)
	return q.added
}

// enter adds a prompt of this router.
func (q *queue) enter(now time.Time, tokens int64, rate float64) int64 {
	place := q.add(now, tokens, rate)
	q.open = append(q.open, place)
	return place
}

// leave takes a prompt of this router out; read says that it was read, and so
// were those before it.
func (q *queue) leave(now time.Time, place int64, read bool, rate float64) {
	q.open = slices.DeleteFunc(q.open, func(p int64) bool { return p == place || read && p < place })
	q.drain(now, rate)
	if read {
		q.read = max(q.read, min(place, q.added))
	}
}

// left returns the tokens still to be read.
func (q *queue) left(now time.Time, rate float64) int64 {
	q.drain(now, rate)
	return q.added - q.read
}
