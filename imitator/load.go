package imitator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load is a bounded number of calls of one workspace, several at once, with
// retries under the same id at another router. The seed fixes the calls.
type Load struct {
	// Call is what every call has in common; its id, router and prompt vary.
	Call Call
	// Routers are host:port; each attempt goes to the next one.
	Routers []string
	// Count and For bound the load; both apply.
	Count int
	For   time.Duration
	// Concurrent is the number of callers.
	Concurrent int
	// Retries is how often a caller tries again after a failure or a refusal
	// that names a time to come back.
	Retries int
	// Prefix is the first part of every request id.
	Prefix string
	Seed   uint64
	// Outcomes takes a JSON line for each call, for outside oracles; may be
	// nil.
	Outcomes io.Writer
}

// Outcome is how one call ended.
type Outcome struct {
	RequestID string `json:"request_id"`
	// Result is "answered", "wrong", "failed" or "refused".
	Result   string `json:"result"`
	Code     string `json:"code,omitempty"`
	Outcome  string `json:"outcome,omitempty"`
	Attempts int    `json:"attempts"`
	Endpoint string `json:"endpoint,omitempty"`
	Charged  int64  `json:"charged_tokens"`
	Error    string `json:"error,omitempty"`

	firstToken, end time.Duration
}

// Results of a call.
const (
	ResultAnswered = "answered"
	ResultWrong    = "wrong"
	ResultFailed   = "failed"
	ResultRefused  = "refused"
)

// Latencies are quantiles in milliseconds.
type Latencies struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Summary adds up a load.
type Summary struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Wrong    int `json:"wrong"`
	Failed   int `json:"failed"`
	Retried  int `json:"retried"`
	// Refused counts the refusals by "code/outcome".
	Refused map[string]int `json:"refused"`
	Charged int64          `json:"charged_tokens"`
	// Seconds is how long the load took.
	Seconds    float64   `json:"seconds"`
	FirstToken Latencies `json:"first_token_ms"`
	End        Latencies `json:"end_ms"`
}

// Histograms hold microseconds up to an hour in three digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
	retryPause      = 50 * time.Millisecond
)

type tally struct {
	mu         sync.Mutex
	summary    Summary
	first, end *hdrhistogram.Histogram
	outcomes   io.Writer
}

// Run sends the load and returns its summary.
func (l Load) Run(ctx context.Context) (Summary, error) {
	if len(l.Routers) == 0 || l.Count <= 0 || l.Concurrent <= 0 || l.For <= 0 {
		return Summary{}, errors.New("load: want routers and positive count, concurrent and for")
	}
	ctx, cancel := context.WithTimeout(ctx, l.For)
	defer cancel()
	start := time.Now()
	t := &tally{
		summary: Summary{Refused: map[string]int{}}, outcomes: l.Outcomes,
		first: hdrhistogram.New(1, histogramMax, histogramDigits),
		end:   hdrhistogram.New(1, histogramMax, histogramDigits),
	}
	var next atomic.Int64
	var wg sync.WaitGroup
	for range l.Concurrent {
		wg.Go(func() {
			for n := int(next.Add(1)) - 1; n < l.Count && ctx.Err() == nil; n = int(next.Add(1)) - 1 {
				t.add(l.one(ctx, n))
			}
		})
	}
	wg.Wait()
	t.summary.Seconds = time.Since(start).Seconds()
	t.summary.FirstToken, t.summary.End = latencies(t.first), latencies(t.end)
	return t.summary, nil
}

// CallNumber returns call n of the load; an outside oracle can make the same.
func (l Load) CallNumber(n int) Call {
	r := rand.New(rand.NewPCG(l.Seed, uint64(n)))
	c := l.Call
	c.RequestID = fmt.Sprintf("%s%d-%d", l.Prefix, l.Seed, n)
	c.Stream = r.IntN(2) == 0
	for range 4 + r.IntN(12) {
		c.Prompt += " " + words[r.IntN(len(words))]
	}
	return c
}

func (l Load) one(ctx context.Context, n int) Outcome {
	c := l.CallNumber(n)
	start := time.Now()
	for attempt := 1; ; attempt++ {
		c.Router = l.Routers[(n+attempt-1)%len(l.Routers)]
		begun := time.Since(start)
		reply, err := c.Do(ctx)
		o := outcomeOf(c.RequestID, reply, err)
		o.Attempts, o.end = attempt, time.Since(start)
		if reply != nil {
			o.firstToken = begun + reply.FirstToken
		}
		if attempt > l.Retries || !worthRetry(o, err) || ctx.Err() != nil {
			return o
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

func outcomeOf(id string, reply *Reply, err error) Outcome {
	o := Outcome{RequestID: id}
	var refused *Refusal
	switch {
	case err == nil:
		o.Result, o.Endpoint, o.Charged = ResultAnswered, reply.Endpoint, reply.ChargedTokens
		return o
	case errors.Is(err, ErrWrong):
		o.Result = ResultWrong
	case errors.As(err, &refused):
		o.Result, o.Code, o.Outcome = ResultRefused, refused.Code, refused.Outcome
	default:
		o.Result = ResultFailed
	}
	o.Error = err.Error()
	return o
}

// worthRetry reports whether the caller comes back: after a lost answer, and
// after a refusal that says when.
func worthRetry(o Outcome, err error) bool {
	var refused *Refusal
	if errors.As(err, &refused) {
		return refused.RetryAfter > 0 || refused.Outcome == "unknown"
	}
	return o.Result == ResultFailed
}

func (t *tally) add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.summary
	s.Sent++
	s.Retried += o.Attempts - 1
	switch o.Result {
	case ResultAnswered:
		s.Answered++
		s.Charged += o.Charged
		_ = t.first.RecordValue(max(o.firstToken.Microseconds(), 1))
		_ = t.end.RecordValue(max(o.end.Microseconds(), 1))
	case ResultWrong:
		s.Wrong++
	case ResultRefused:
		s.Refused[o.Code+"/"+o.Outcome]++
	default:
		s.Failed++
	}
	if t.outcomes != nil {
		_ = json.NewEncoder(t.outcomes).Encode(o)
	}
}

func latencies(h *hdrhistogram.Histogram) Latencies {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latencies{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}
