package imitator

import (
	"container/heap"
	"sync"
	"time"
)

// batch admits generations by priority and paces their tokens: the more run
// together, the slower each is, as with continuous batching.
type batch struct {
	capacity int
	// TokenTime is the time of a token of a generation that runs alone.
	tokenTime time.Duration
	mu        sync.Mutex
	running   int
	waiting   waitingQueue
	arrivals  uint64
}

// batchGrowth is the share of the token time that each further member of the
// batch adds for all.
const batchGrowth = 0.05

// waiter is a generation in the queue.
type waiter struct {
	priority int
	arrival  uint64
	admitted chan struct{}
	index    int
}

// enter waits for a place; it reports false when done closes before.
func (b *batch) enter(priority int, done <-chan struct{}) bool {
	b.mu.Lock()
	if b.running < b.capacity {
		b.running++
		b.mu.Unlock()
		return true
	}
	b.arrivals++
	w := &waiter{priority: priority, arrival: b.arrivals, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-done:
		b.giveUp(w)
		return false
	}
}

// giveUp removes a waiter; one that was admitted meanwhile hands its place on.
func (b *batch) giveUp(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
		return
	}
	b.release()
}

// leave gives a place back.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
}

func (b *batch) release() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(heap.Pop(&b.waiting).(*waiter).admitted)
}

// load returns the generations that run or wait.
func (b *batch) load() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.running + len(b.waiting))
}

// step returns the time of the next token at the present size of the batch.
func (b *batch) step() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(b.tokenTime) * (1 + batchGrowth*float64(b.running-1)))
}

// waitingQueue implements heap.Interface: priority 0 first, then by arrival.
type waitingQueue []*waiter

func (q waitingQueue) Len() int { return len(q) }

func (q waitingQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitingQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitingQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitingQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	w.index = -1
	*q = (*q)[:last]
	return w
}
