package measurer

import (
	"container/heap"
	"time"
)

// virtualClock runs events in the order of their times, without waiting.
type virtualClock struct {
	now    time.Time
	queue  eventQueue
	number uint64
}

func newVirtualClock() *virtualClock { return &virtualClock{now: time.Unix(1_700_000_000, 0)} }

// event is one function at a time; number keeps the order of equal times.
type event struct {
	at     time.Time
	number uint64
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].number < q[j].number
	}
	return q[i].at.Before(q[j].at)
}

func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}

// at runs f at a time, or now if the time is past.
func (c *virtualClock) at(t time.Time, f func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.number++
	heap.Push(&c.queue, event{at: t, number: c.number, run: f})
}

func (c *virtualClock) after(d time.Duration, f func()) { c.at(c.now.Add(d), f) }

// every runs f again and again while it returns true.
func (c *virtualClock) every(d time.Duration, f func() bool) {
	c.after(d, func() {
		if f() {
			c.every(d, f)
		}
	})
}

// runUntil runs the events up to a time.
func (c *virtualClock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
