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
	// histogramMaxDuration is the upper limit of the histogram; longer durations
	// are recorded as this value.
	histogramMaxDuration       = time.Hour
	histogramSignificantDigits = 2
	histogramMaxMicroseconds   = int64(histogramMaxDuration / time.Microsecond)
)

// Histogram records the distribution of durations in microseconds. It is safe
// for concurrent use. Each observation goes to a random stripe with its own lock,
// which reduces contention.
type Histogram struct {
	stripes [histogramStripes]struct {
		mu sync.Mutex
		h  *hdrhistogram.Histogram
		// Padding prevents false sharing of a cache line between stripes.
		_ [64]byte
	}
}

var _ expvar.Var = (*Histogram)(nil)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	h := &Histogram{}
	for i := range h.stripes {
		h.stripes[i].h = hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantDigits)
	}
	return h
}

// String returns the summary as JSON, as expvar.Var requires.
func (h *Histogram) String() string {
	b, _ := json.Marshal(h.Summary())
	return string(b)
}

// Observe records one duration, clamped to the range from one microsecond to
// histogramMaxDuration.
func (h *Histogram) Observe(d time.Duration) {
	s := &h.stripes[rand.IntN(histogramStripes)]
	v := min(max(int64(d/time.Microsecond), 1), histogramMaxMicroseconds)
	s.mu.Lock()
	_ = s.h.RecordValue(v)
	s.mu.Unlock()
}

// Summary holds the number of observations, and percentiles and the maximum in
// microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// Summary merges all stripes and returns the statistics of all observations since
// the histogram was created.
func (h *Histogram) Summary() Summary {
	all := hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantDigits)
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
