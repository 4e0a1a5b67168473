package imitator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Plain imitates a plain service; it counts its runs for each request, which
// is the oracle for "at most once".
type Plain struct {
	runs   *RunLog
	work   time.Duration
	batch  *batch
	faults Faults
}

// NewPlain returns a plain service whose calls take work time.
func NewPlain(capacity int, work time.Duration, runs *RunLog) *Plain {
	return &Plain{runs: runs, work: work, batch: &batch{capacity: capacity}}
}

// Load returns the calls in progress, unless a fault has it lie.
func (p *Plain) Load() int64 {
	if n, ok := p.faults.lie(time.Now()); ok {
		return n
	}
	return p.batch.load()
}

// Faults returns the faults in force.
func (p *Plain) Faults() *Faults { return &p.faults }

// PlainAnswer is the body of a plain service's answer.
type PlainAnswer struct {
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	State     string `json:"state"`
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		p.faults.ServeHTTP(w, r)
		return
	}
	now := time.Now()
	if p.faults.Take(now, FaultRefuse) != nil {
		http.Error(w, "refused by fault", http.StatusServiceUnavailable)
		return
	}
	slowdown := p.faults.slowdown(now)
	fault := p.faults.Take(now, FaultStall, FaultDieMidStream, FaultLate, FaultCrossed)
	priority, _ := strconv.Atoi(r.Header.Get(headerPriority))
	if !p.batch.enter(priority, r.Context().Done()) {
		return
	}
	defer p.batch.leave()
	id := r.Header.Get(headerRequestID)
	p.run(id, slowdown, fault)
	if fault != nil && fault.Kind == FaultDieMidStream {
		panic(http.ErrAbortHandler)
	}
	if fault != nil && fault.Kind == FaultStall {
		<-r.Context().Done()
		return
	}
	p.answer(w, r, id, fault)
}

// run does the work; once begun it ends, also when the caller has gone.
func (p *Plain) run(id string, slowdown float64, fault *Fault) {
	done := p.runs.Begin(id)
	wait := time.Duration(float64(p.work) * slowdown)
	if fault != nil && fault.Kind == FaultLate {
		wait += fault.delay
	}
	time.Sleep(wait)
	done(true)
}

func (p *Plain) answer(w http.ResponseWriter, r *http.Request, id string, fault *Fault) {
	runs := p.runs.Count(id)
	if fault != nil && fault.Kind == FaultCrossed {
		id = crossedID
	}
	w.Header().Set(headerRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Run-Count", strconv.Itoa(runs))
	_ = json.NewEncoder(w).Encode(PlainAnswer{RequestID: id, Path: r.URL.Path, State: "done"})
}
