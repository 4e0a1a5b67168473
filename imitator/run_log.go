package imitator

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Run is one line of a run log.
type Run struct {
	RequestID string `json:"request_id"`
	Endpoint  string `json:"endpoint"`
	// Event is "begin", "end" or "broken".
	Event string `json:"event"`
	AtMs  int64  `json:"at_ms"`
}

// RunLog writes every run to a file, so that runs and bills can be compared
// from outside.
type RunLog struct {
	endpoint string
	mu       sync.Mutex
	file     *os.File
	counts   map[string]int
}

// NewRunLog appends to a file; the returned function closes it.
func NewRunLog(endpoint, path string) (*RunLog, func() error, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	return &RunLog{endpoint: endpoint, file: f, counts: map[string]int{}}, f.Close, nil
}

// Begin notes that a run begins; the returned function notes its end.
func (l *RunLog) Begin(id string) func(whole bool) {
	l.mu.Lock()
	l.counts[id]++
	l.mu.Unlock()
	l.write(id, "begin")
	return func(whole bool) {
		if whole {
			l.write(id, "end")
			return
		}
		l.write(id, "broken")
	}
}

// Count returns how often a request has begun here.
func (l *RunLog) Count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[id]
}

func (l *RunLog) write(id, event string) {
	b, err := json.Marshal(Run{RequestID: id, Endpoint: l.endpoint, Event: event, AtMs: time.Now().UnixMilli()})
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.file.Write(append(b, '\n'))
}
