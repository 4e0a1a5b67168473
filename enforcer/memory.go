package enforcer

import (
	"io"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// ErrMemory means that the process holds too many bytes for callers already. Compare with errors.Is.
var ErrMemory = merry.Sentinel("too many bytes are held for callers")

// Memory counts the bytes that a process holds for its callers: bodies of requests, and answers that
// callers have not read yet. It is safe for concurrent use. A nil Memory has no limit.
type Memory struct {
	limit int64
	held  atomic.Int64
}

// NewMemory returns a memory of limit bytes, or nil if limit is 0, which means no limit.
func NewMemory(limit int64) *Memory {
	if limit <= 0 {
		return nil
	}
	return &Memory{limit: limit}
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
}

// Add holds n more bytes, beyond the limit as well: an answer that an endpoint has made is passed
// on.
func (h *Holding) Add(n int) {
	if h.memory == nil {
		return
	}
	h.bytes += int64(n)
	h.memory.held.Add(int64(n))
}

// Reserve holds n more bytes, or returns ErrMemory if that exceeds the limit.
func (h *Holding) Reserve(n int) error {
	if h.memory == nil || n == 0 {
		return nil
	}
	if h.memory.held.Add(int64(n)) > h.memory.limit {
		h.memory.held.Add(int64(-n))
		return ErrMemory
	}
	h.bytes += int64(n)
	return nil
}

// Return gives n bytes back that were added or reserved.
func (h *Holding) Return(n int) { h.Add(-n) }

// Release returns all bytes of the request.
func (h *Holding) Release() {
	if h.memory == nil {
		return
	}
	h.memory.held.Add(-h.bytes)
	h.bytes = 0
}

// Reader returns a reader that reserves what it reads, and fails with ErrMemory beyond the limit. The
// bytes of a caller that sends slowly count as they arrive.
func (h *Holding) Reader(r io.Reader) io.Reader { return &reservingReader{reader: r, holding: h} }

type reservingReader struct {
	reader  io.Reader
	holding *Holding
}

// Read reads and reserves.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if held := r.holding.Reserve(n); held != nil {
		return 0, held
	}
	return n, err
}
