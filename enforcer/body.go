package enforcer

import (
	"io"
	"slices"

	"github.com/ansel1/merry/v2"
)

const (
	// minSegmentBytes is the first segment of a body of unknown length, and firstSegmentBytes the most of one
	// whose length is known: its caller may not send it. Segments grow to maxSegmentBytes.
	minSegmentBytes   = 4 << 10
	firstSegmentBytes = 16 << 10
	maxSegmentBytes   = 64 << 10
)

// errLongBody means that a body is longer than its caller has stated.
var errLongBody = merry.Sentinel("body longer than stated")

// ReadAll reads a body, and fails with ErrMemory beyond the limit. The memory of a caller that sends slowly counts as
// it is allocated. The size is the length of the body as its caller states it, or negative.
func (h *Holding) ReadAll(r io.Reader, size int64) ([]byte, error) {
	b := bodyBuffer{holding: h, size: size, first: minSegmentBytes, reserve: h.Reserve}
	if size >= 0 {
		b.first = firstSegmentBytes
	}
	return b.readAll(r)
}

// ReadAnswer reads the body of an answer as ReadAll does. A short one is held beyond the limit, and others may exceed it
// by a margin. After an error nothing of it is held.
func (h *Holding) ReadAnswer(r io.Reader, size int64) ([]byte, error) {
	b, reserved := bodyBuffer{holding: h, size: size, first: minSegmentBytes}, 0
	b.reserve = func(n int) error {
		if b.length == 0 {
			h.Add(n)
			return nil
		}
		err := h.ReserveForAnswer(n)
		if err == nil {
			reserved += n
		}
		return err
	}
	out, err := b.readAll(r)
	if err != nil {
		h.ReturnForAnswer(reserved)
		h.Return(b.capacity() - reserved)
	}
	return out, err
}

func (b *bodyBuffer) readAll(r io.Reader) ([]byte, error) {
	for {
		if err := b.read(r); err == io.EOF {
			return b.join(), nil
		} else if err != nil {
			return nil, err
		}
	}
}

// bodyBuffer holds a body in segments, so that no bytes are copied and held twice while it arrives.
type bodyBuffer struct {
	holding *Holding
	// size is the stated length, or negative.
	size int64
	// first is the size of the first segment, and reserve takes memory for each.
	first   int
	reserve func(n int) error
	// full holds complete segments, and last the one that is being filled.
	full   [][]byte
	last   []byte
	length int
}

// read reads once. At the end of a segment it reads a single byte, as the next segment is allocated only for a body
// that goes on.
func (b *bodyBuffer) read(r io.Reader) error {
	if len(b.last) < cap(b.last) {
		n, err := r.Read(b.last[len(b.last):cap(b.last)])
		b.last = b.last[:len(b.last)+n]
		b.length += n
		return err
	}
	var next [1]byte
	n, err := r.Read(next[:])
	if n == 0 {
		return err
	}
	if b.size >= 0 && int64(b.length) >= b.size {
		return errLongBody
	}
	if grown := b.grow(); grown != nil {
		return grown
	}
	b.last = append(b.last, next[0])
	b.length++
	return err
}

// grow begins the next segment.
func (b *bodyBuffer) grow() error {
	n := min(max(b.length, b.first), maxSegmentBytes)
	if b.size >= 0 {
		n = int(min(int64(n), b.size-int64(b.length)))
	}
	if err := b.reserve(n); err != nil {
		return err
	}
	if b.last != nil {
		b.full = append(b.full, b.last)
	}
	b.last = make([]byte, 0, n)
	return nil
}

// capacity returns the bytes that are held for the segments.
func (b *bodyBuffer) capacity() int {
	n := cap(b.last)
	for _, s := range b.full {
		n += cap(s)
	}
	return n
}

// join returns the body. Its copy is held beyond the limit until the segments are returned: the body is complete, and
// a refusal would free no memory for another.
func (b *bodyBuffer) join() []byte {
	if len(b.full) == 0 {
		return b.last
	}
	b.holding.Add(b.length)
	held := b.capacity()
	out := slices.Concat(append(b.full, b.last)...)
	b.holding.Return(held)
	return out
}
