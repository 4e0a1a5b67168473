package imitator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Hop compares calls of a plain service through routers with the same calls
// sent to the endpoint itself, so that the cost of the routers shows.
type Hop struct {
	// Call is the plain call; its id and router vary.
	Call Call
	// Routers are host:port; callers take them in turn.
	Routers []string
	// Endpoint is host:port of the plain service.
	Endpoint string
	// Callers are the numbers of callers at once, one comparison each.
	Callers []int
	// For is the time of each of the two ways, for each number of callers.
	For time.Duration
}

// HopResult is one way at one number of callers.
type HopResult struct {
	// Way is WayDirect or WayRouted.
	Way     string `json:"way"`
	Callers int    `json:"callers"`
	// Calls were answered whole; Failed were not.
	Calls  int64     `json:"calls"`
	Failed int64     `json:"failed"`
	Rate   float64   `json:"calls_per_s"`
	End    Latencies `json:"end_ms"`
}

// Ways of a comparison.
const (
	WayDirect = "direct"
	WayRouted = "routed"
)

// hopWarmUp fills the connections and the routers' slices before the clock
// runs.
const hopWarmUp = 500 * time.Millisecond

// Run measures direct and routed, one after the other, for each number of
// callers.
func (h Hop) Run(ctx context.Context) ([]HopResult, error) {
	if len(h.Routers) == 0 || h.Endpoint == "" || len(h.Callers) == 0 || h.For <= 0 {
		return nil, errors.New("hop: want router, endpoint, callers and a positive time")
	}
	var out []HopResult
	for _, n := range h.Callers {
		if n <= 0 {
			return nil, fmt.Errorf("hop: callers: %d is not positive", n)
		}
		for _, way := range []string{WayDirect, WayRouted} {
			warm := h
			warm.For = hopWarmUp
			warm.measure(ctx, "warm-"+way, way, n)
			out = append(out, h.measure(ctx, way, way, n))
		}
	}
	return out, ctx.Err()
}

func (h Hop) measure(ctx context.Context, prefix, way string, callers int) HopResult {
	out := HopResult{Way: way, Callers: callers}
	all := hdrhistogram.New(1, histogramMax, histogramDigits)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range callers {
		wg.Go(func() {
			own, failed := h.caller(ctx, fmt.Sprintf("%s-%d-%d", prefix, callers, i), way, start)
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
			out.Failed += failed
		})
	}
	wg.Wait()
	out.Calls, out.End = all.TotalCount(), latencies(all)
	out.Rate = float64(out.Calls) / time.Since(start).Seconds()
	return out
}

// caller sends one call after the other and times the whole ones.
func (h Hop) caller(ctx context.Context, prefix, way string, start time.Time) (*hdrhistogram.Histogram, int64) {
	own, failed := hdrhistogram.New(1, histogramMax, histogramDigits), int64(0)
	for n := 0; time.Since(start) < h.For && ctx.Err() == nil; n++ {
		c := h.Call
		c.RequestID = fmt.Sprintf("%s-%d", prefix, n)
		c.Router = h.Routers[n%len(h.Routers)]
		began := time.Now()
		if err := h.send(ctx, c, way); err != nil {
			failed++
			continue
		}
		_ = own.RecordValue(max(time.Since(began).Microseconds(), 1))
	}
	return own, failed
}

func (h Hop) send(ctx context.Context, c Call, way string) error {
	if way == WayRouted {
		_, err := c.Do(ctx)
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Endpoint+c.Path, bytes.NewReader([]byte(c.Prompt)))
	if err != nil {
		return err
	}
	r.Header.Set(headerRequestID, c.Workspace+"/"+c.RequestID)
	resp, err := callers.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return c.verifyPlain(&Reply{Text: string(b)})
}
