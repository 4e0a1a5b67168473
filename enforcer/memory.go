package enforcer

import (
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrMemory means that the process holds too many bytes for callers already. Compare with errors.Is.
var ErrMemory = merry.Sentinel("too many bytes are held for callers")

const (
	// reclaimAttempts and reclaimPause bound the wait for memory that a stalled request returns.
	reclaimAttempts = 40
	reclaimPause    = 5 * time.Millisecond
	// answerMargin is the fraction of the limit by which answers may exceed it: bodies of other requests must not
	// fail an answer that an endpoint has made.
	answerMargin = 0.25
	// answerShare is the fraction of the limit that answers may take, short ones aside: answers without end must not
	// keep other requests from being read.
	answerShare = 0.75
)

// Memory counts the bytes that a process holds for its callers: heads and bodies of requests, and answers that
// callers have not read yet. It is safe for concurrent use. A nil Memory has no limit.
type Memory struct {
	limit int64
	held  atomic.Int64
	// answers is the part of held that was reserved for answers.
	answers atomic.Int64
	// reclaim ends a request that is stalled, and reports whether there was one; nil if none is ended.
	reclaim func() bool
}

// NewMemory returns a memory of limit bytes, or nil if limit is 0, which means no limit.
func NewMemory(limit int64) *Memory {
	if limit <= 0 {
		return nil
	}
	return &Memory{limit: limit}
}

// UseReclaim sets the function that ends a stalled request if there is no memory for another. It is called
// before the memory is used.
func (m *Memory) UseReclaim(reclaim func() bool) {
	if m != nil {
		m.reclaim = reclaim
	}
}

// Acquire takes n bytes, which the caller returns with Free. Beyond the limit, it ends stalled requests, and
// returns ErrMemory if that does not suffice.
func (m *Memory) Acquire(n int) error {
	if m == nil || n == 0 {
		return nil
	}
	for range reclaimAttempts {
		if m.take(n, m.limit) {
			return nil
		}
		if m.reclaim == nil || !m.reclaim() {
			return ErrMemory
		}
		time.Sleep(reclaimPause)
	}
	return ErrMemory
}

// acquireForAnswer takes n bytes as Acquire does, and waits for answers that end as well.
func (m *Memory) acquireForAnswer(n int) error {
	if m == nil || n == 0 {
		return nil
	}
	share, limit := int64(answerShare*float64(m.limit)), m.limit+int64(answerMargin*float64(m.limit))
	for range reclaimAttempts {
		if m.answers.Add(int64(n)) <= share && m.take(n, limit) {
			return nil
		}
		m.answers.Add(int64(-n))
		if m.reclaim != nil {
			m.reclaim()
		}
		time.Sleep(reclaimPause)
	}
	return ErrMemory
}

// take takes n bytes unless that exceeds a limit.
func (m *Memory) take(n int, limit int64) bool {
	if m.held.Add(int64(n)) <= limit {
		return true
	}
	m.Free(n)
	return false
}

// Free returns n bytes.
func (m *Memory) Free(n int) {
	if m != nil {
		m.held.Add(int64(-n))
	}
}

// Limit returns the number of bytes that may be held; 0 means no limit.
func (m *Memory) Limit() int64 {
	if m == nil {
		return 0
	}
	return m.limit
}

// Held returns the number of bytes that are held.
func (m *Memory) Held() int64 {
	if m == nil {
		return 0
	}
	return m.held.Load()
}

// Hold returns an account with which one request holds bytes.
func (m *Memory) Hold() *Holding { return &Holding{memory: m} }

// Holding is the part of a memory that one request holds. It is not safe for concurrent use.
type Holding struct {
	memory *Memory
	bytes  int64
	// answers is the part of bytes that was reserved for answers.
	answers int64
}

// Add holds n more bytes, beyond the limit as well.
func (h *Holding) Add(n int) {
	if h.memory == nil {
		return
	}
	h.bytes += int64(n)
	h.memory.held.Add(int64(n))
}

// Reserve holds n more bytes, or returns ErrMemory if that exceeds the limit.
func (h *Holding) Reserve(n int) error {
	if err := h.memory.Acquire(n); err != nil || h.memory == nil {
		return err
	}
	h.bytes += int64(n)
	return nil
}

// ReserveForAnswer holds n more bytes of an answer, or returns ErrMemory if there is no room for a while. Answers may
// exceed the limit by a margin.
func (h *Holding) ReserveForAnswer(n int) error {
	if err := h.memory.acquireForAnswer(n); err != nil || h.memory == nil {
		return err
	}
	h.bytes += int64(n)
	h.answers += int64(n)
	return nil
}

// ReturnForAnswer gives n bytes back that were reserved for an answer.
func (h *Holding) ReturnForAnswer(n int) {
	if h.memory == nil {
		return
	}
	h.memory.answers.Add(int64(-n))
	h.answers -= int64(n)
	h.Return(n)
}

// Return gives n bytes back that were added or reserved.
func (h *Holding) Return(n int) { h.Add(-n) }

// Release returns all bytes of the request.
func (h *Holding) Release() {
	if h.memory == nil {
		return
	}
	h.memory.held.Add(-h.bytes)
	h.memory.answers.Add(-h.answers)
	h.bytes, h.answers = 0, 0
}
