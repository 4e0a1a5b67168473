package imitator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kinds of faults that a stand-in takes by command.
const (
	// FaultStall stops an answer half-way; the connection stays open.
	FaultStall = "stall"
	// FaultDieMidStream loses the run and its stream half-way. A plain
	// service runs and dies before its answer.
	FaultDieMidStream = "die_mid_stream"
	// FaultDrop loses the connection half-way; the run goes on and its stream
	// can be resumed.
	FaultDrop = "drop"
	// FaultShort leaves the second half out and ends cleanly, with the mark of
	// the whole answer.
	FaultShort = "short"
	// FaultUnmarked leaves the second half and the mark out and ends cleanly.
	FaultUnmarked = "unmarked"
	// FaultLate waits Delay before the first byte.
	FaultLate = "late"
	// FaultCrossed answers with another request's id and answer.
	FaultCrossed = "crossed"
	// FaultCrossedPiece puts one event of another request into the answer.
	FaultCrossedPiece = "crossed_piece"
	// FaultLieLoad reports Load instead of the true load.
	FaultLieLoad = "lie_load"
	// FaultSlow multiplies the time of every step by Factor.
	FaultSlow = "slow"
	// FaultRefuse answers 503 without a run.
	FaultRefuse = "refuse"
)

var faultKinds = []string{
	FaultStall, FaultDieMidStream, FaultDrop, FaultShort, FaultUnmarked, FaultLate,
	FaultCrossed, FaultCrossedPiece, FaultLieLoad, FaultSlow, FaultRefuse,
}

const (
	defaultFaultDelay  = 2 * time.Second
	defaultFaultFactor = 10
	maxFaults          = 64
	maxFaultBody       = 4 << 10
)

// Fault is one command: the next Count requests, or all requests For a time.
type Fault struct {
	Kind string `json:"kind"`
	// Count defaults to 1 where For is not given.
	Count int `json:"count,omitempty"`
	// For is a duration such as "2s".
	For string `json:"for,omitempty"`
	// Delay is that of FaultLate, 2s by default.
	Delay string `json:"delay,omitempty"`
	// Factor is that of FaultSlow, 10 by default.
	Factor float64 `json:"factor,omitempty"`
	// Load is what FaultLieLoad reports.
	Load int64 `json:"load,omitempty"`

	delay time.Duration
	until time.Time
}

// FieldError says which field of a command is wrong.
type FieldError struct {
	Field  string `json:"field"`
	Detail string `json:"detail"`
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Detail }

// Faults holds the faults of one stand-in. Safe for concurrent use.
type Faults struct {
	mu sync.Mutex
	// Active faults in the order of their commands; at most maxFaults.
	active []*Fault
}

// Add checks a fault and puts it in force.
func (f *Faults) Add(x Fault, now time.Time) error {
	if err := x.check(now); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = slices.DeleteFunc(f.active, func(y *Fault) bool { return y.over(now) })
	if len(f.active) >= maxFaults {
		return &FieldError{Field: "kind", Detail: "too many faults in force; DELETE /faults ends them"}
	}
	f.active = append(f.active, &x)
	return nil
}

func (f *Fault) check(now time.Time) error {
	if !slices.Contains(faultKinds, f.Kind) {
		return &FieldError{Field: "kind", Detail: fmt.Sprintf("%q is not one of %s", f.Kind, strings.Join(faultKinds, ", "))}
	}
	if f.Count < 0 || f.Count > 0 && f.For != "" {
		return &FieldError{Field: "count", Detail: "want a positive number, or for"}
	}
	if f.Factor < 0 {
		return &FieldError{Field: "factor", Detail: "want a positive number"}
	}
	f.delay = defaultFaultDelay
	for _, d := range []struct {
		field, text string
		set         func(time.Duration)
	}{
		{"for", f.For, func(d time.Duration) { f.until = now.Add(d) }},
		{"delay", f.Delay, func(d time.Duration) { f.delay = d }},
	} {
		if d.text == "" {
			continue
		}
		v, err := time.ParseDuration(d.text)
		if err != nil || v <= 0 {
			return &FieldError{Field: d.field, Detail: fmt.Sprintf("%q is not a positive duration such as 2s", d.text)}
		}
		d.set(v)
	}
	if f.For == "" {
		f.Count = max(f.Count, 1)
	}
	if f.Factor == 0 {
		f.Factor = defaultFaultFactor
	}
	return nil
}

func (f *Fault) over(now time.Time) bool {
	if f.For != "" {
		return !now.Before(f.until)
	}
	return f.Count <= 0
}

// Take returns the first fault in force of one of the kinds and uses up one
// count of it, or nil.
func (f *Faults) Take(now time.Time, kinds ...string) *Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.active {
		if x.over(now) || !slices.Contains(kinds, x.Kind) {
			continue
		}
		x.Count--
		return x
	}
	return nil
}

// Clear ends all faults.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = nil
}

// slowdown returns the factor of FaultSlow for one request, 1 without.
func (f *Faults) slowdown(now time.Time) float64 {
	if x := f.Take(now, FaultSlow); x != nil {
		return x.Factor
	}
	return 1
}

// lie returns the load to report where FaultLieLoad is in force.
func (f *Faults) lie(now time.Time) (int64, bool) {
	if x := f.Take(now, FaultLieLoad); x != nil {
		return x.Load, true
	}
	return 0, false
}

// ServeHTTP takes POST with a Fault and DELETE to end all faults.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodDelete:
		f.Clear()
	case http.MethodPost:
		var x Fault
		if err := decodeStrictly(w, r, &x); err != nil {
			writeFieldError(w, err)
			return
		}
		if err := f.Add(x, time.Now()); err != nil {
			writeFieldError(w, err)
			return
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// decodeStrictly reads JSON; an unknown field is named in the error.
func decodeStrictly(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBody))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		return nil
	}
	if rest, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &FieldError{Field: strings.Trim(rest, `"`), Detail: "unknown field"}
	}
	return &FieldError{Field: "body", Detail: err.Error()}
}

func writeFieldError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(err)
}
