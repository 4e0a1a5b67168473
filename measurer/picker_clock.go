package measurer

import (
	"container/heap"
	"time"
)

// fakeClock runs functions in virtual time, equal times in order of setting.
type fakeClock struct {
	now    time.Duration
	events eventHeap
	next   int
}

type clockEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []clockEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(clockEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// after has a function run after a time.
func (c *fakeClock) after(d time.Duration, run func()) {
	c.next++
	heap.Push(&c.events, clockEvent{at: c.now + max(d, 0), seq: c.next, run: run})
}

// runUntil runs everything due up to a time.
func (c *fakeClock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(clockEvent)
		c.now = e.at
		e.run()
	}
	c.now = end
}
