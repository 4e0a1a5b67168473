package reporter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the log lines that wait for the output: some seconds'
	// worth of a busy router, a few megabytes at the most.
	queueLines = 4096
	// closeWait is short beside the time that a process has to end.
	closeWait = 200 * time.Millisecond
	closePoll = 5 * time.Millisecond
)

// Queue passes log lines on to an output that may be slow or stand still. It
// never blocks: a line that finds the queue full is dropped and counted, since
// a request must not wait for whoever reads the log.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewQueue returns a queue that writes to out. The returned function writes
// what waits, unless out stands still, and ends it.
func NewQueue(out io.Writer) (*Queue, func()) {
	q := &Queue{lines: make(chan []byte, queueLines)}
	go q.run(out)
	return q, q.close
}

func (q *Queue) run(out io.Writer) {
	var batch []byte
	var told uint64
	for line := range q.lines {
		batch = append(batch[:0], line...)
		for more := len(q.lines); more > 0; more-- {
			batch = append(batch, <-q.lines...)
		}
		if n := q.dropped.Load(); n > told {
			told = n
			batch = fmt.Appendf(batch, `{"level":"warn","msg":"log lines dropped","dropped":%d}`+"\n", n)
		}
		// Nobody is left to tell of a log that can't be written.
		_, _ = out.Write(batch)
	}
}

// close waits a moment for the output to take what is queued.
func (q *Queue) close() {
	for until := time.Now().Add(closeWait); time.Now().Before(until) && len(q.lines) > 0; {
		time.Sleep(closePoll)
	}
	time.Sleep(closePoll)
}

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines leave by themselves.
func (q *Queue) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }
