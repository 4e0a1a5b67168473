package reporter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the maximum number of buffered log lines: several seconds
	// of output from a busy router, at most a few megabytes.
	queueCapacity = 4096
	// closeTimeout is short compared with the time that a process has to shut
	// down.
	closeTimeout      = 200 * time.Millisecond
	closePollInterval = 5 * time.Millisecond
)

// Queue is an asynchronous log writer for an output that may be slow or blocked.
// Write never blocks, because a request must not wait for the reader of the log:
// if the queue is full, the line is dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewQueue returns a queue that writes to out. The returned function waits for
// the queued lines to be written, for at most about closeTimeout if out is
// blocked.
func NewQueue(out io.Writer) (*Queue, func()) {
	q := &Queue{lines: make(chan []byte, queueCapacity)}
	go q.run(out)
	return q, q.close
}

// run writes queued lines to out in batches and adds a warning when lines were
// dropped since the last one.
func (q *Queue) run(out io.Writer) {
	var batch []byte
	var reported uint64
	for line := range q.lines {
		batch = append(batch[:0], line...)
		for more := len(q.lines); more > 0; more-- {
			batch = append(batch, <-q.lines...)
		}
		if n := q.dropped.Load(); n > reported {
			reported = n
			batch = fmt.Appendf(batch, `{"level":"warn","msg":"log lines dropped","dropped":%d}`+"\n", n)
		}
		// A write error is ignored: the log itself is the only place to report it.
		_, _ = out.Write(batch)
	}
}

// close waits until the queue is empty or closeTimeout has passed, and then one
// poll interval more for the last batch to be written.
func (q *Queue) close() {
	for deadline := time.Now().Add(closeTimeout); time.Now().Before(deadline) && len(q.lines) > 0; {
		time.Sleep(closePollInterval)
	}
	time.Sleep(closePollInterval)
}

// Write queues a copy of one log line, or drops the line if the queue is full. It
// never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: queued lines are written in the background.
func (q *Queue) Sync() error { return nil }

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }
