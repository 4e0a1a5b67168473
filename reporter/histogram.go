package reporter

import (
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramStripes = 8
	// histogramMax is the longest duration told apart from longer ones.
	histogramMax     = time.Hour
	histogramDigits  = 2
	histogramMaxUnit = int64(histogramMax / time.Microsecond)
)

// Histogram counts durations in microseconds. Safe for concurrent use;
// recorders spread over stripes, so that no lock is shared by all.
type Histogram struct {
	stripes [histogramStripes]struct {
		mu sync.Mutex
		h  *hdrhistogram.Histogram
		// Pad keeps two stripes from sharing a cache line.
		_ [64]byte
	}
}

var _ expvar.Var = (*Histogram)(nil)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	h := &Histogram{}
	for i := range h.stripes {
		h.stripes[i].h = hdrhistogram.New(1, histogramMaxUnit, histogramDigits)
	}
	return h
}

// String returns the summary as JSON.
func (h *Histogram) String() string {
	b, _ := json.Marshal(h.Summary())
	return string(b)
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	s := &h.stripes[rand.IntN(histogramStripes)]
	v := min(max(int64(d/time.Microsecond), 1), histogramMaxUnit)
	s.mu.Lock()
	_ = s.h.RecordValue(v)
	s.mu.Unlock()
}

// Summary holds percentiles in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// Summary returns the percentiles since the process started.
func (h *Histogram) Summary() Summary {
	all := hdrhistogram.New(1, histogramMaxUnit, histogramDigits)
	for i := range h.stripes {
		s := &h.stripes[i]
		s.mu.Lock()
		all.Merge(s.h)
		s.mu.Unlock()
	}
	return Summary{
		Count: all.TotalCount(), Max: all.Max(),
		P50: all.ValueAtQuantile(50), P95: all.ValueAtQuantile(95), P99: all.ValueAtQuantile(99),
	}
}
