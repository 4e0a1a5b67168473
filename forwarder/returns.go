package forwarder

import (
	"container/heap"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/quarantiner"
)

const (
	// maxReturns is the maximum number of refused callers that are remembered. An entry takes
	// about 100 bytes.
	maxReturns = 4096
	// returnGrace is how long after the stated time a caller counts as returning.
	returnGrace = 2 * time.Second
)

// returns records when refused callers were told to come back, by workspace and fingerprint of the
// request. It is safe for concurrent use.
type returns struct {
	mu      sync.Mutex
	entries map[quarantiner.Fingerprint]*returnEntry
	byTime  returnHeap
}

// returnEntry is a caller that was told to come back at a time.
type returnEntry struct {
	request quarantiner.Fingerprint
	at      time.Time
	// index is the position in the heap.
	index int
}

func newReturns() *returns {
	return &returns{entries: map[quarantiner.Fingerprint]*returnEntry{}}
}

// Record records that a request was told to come back at a time. It replaces an earlier entry of the
// request, and removes the expired entries. If there are too many others, the one that expires next
// is removed.
func (r *returns) Record(now time.Time, f quarantiner.Fingerprint, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[f]; e != nil {
		r.remove(e)
	}
	for len(r.byTime) > 0 && (len(r.byTime) >= maxReturns || now.After(r.byTime[0].at.Add(returnGrace))) {
		r.remove(r.byTime[0])
	}
	e := &returnEntry{request: f, at: at}
	r.entries[f] = e
	heap.Push(&r.byTime, e)
}

// Take reports whether a request that arrives now comes back at the time that was stated, and if so
// removes its entry. One that comes back too early keeps its entry.
func (r *returns) Take(now time.Time, f quarantiner.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[f]
	if e == nil || now.Before(e.at) {
		return false
	}
	r.remove(e)
	return !now.After(e.at.Add(returnGrace))
}

// Len returns the number of entries.
func (r *returns) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byTime)
}

func (r *returns) remove(e *returnEntry) {
	delete(r.entries, e.request)
	heap.Remove(&r.byTime, e.index)
}

// returnHeap orders entries by time and implements heap.Interface.
type returnHeap []*returnEntry

func (h returnHeap) Len() int           { return len(h) }
func (h returnHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h returnHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *returnHeap) Push(x any) {
	e := x.(*returnEntry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *returnHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
