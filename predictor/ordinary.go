package predictor

import (
	"sync"
	"time"
)

const (
	// Before anything was measured, a first event takes startBase and a prompt's
	// tokens startToken each, at the speed of the slowest engines in use; startPair
	// is for each pair of tokens that attend to each other.
	startBase  = 40 * time.Millisecond
	startToken = 25 * time.Microsecond
	startPair  = 0.3 // nanoseconds
	// tokenScale and pairScale bring the three figures to the same size: a usual
	// long prompt.
	tokenScale = 10_000
	pairScale  = 100_000_000
	// What was measured counts from the first few prompts on: the start is off by
	// as much as startSpread, a measurement by measureSpread, both as time.
	startSpread   = 100 * time.Millisecond
	measureSpread = 30 * time.Millisecond
	// forget is what an older measurement weighs at each new one: those of the
	// last few hundred prompts count.
	forget = 0.997
	// outlier bounds how far one measurement pulls: an endpoint that is slow tells of
	// itself, not of the others.
	outlier = 150 * time.Millisecond
	// answerGain is the weight of the newest plain answer; the first ones count alike.
	answerGain = 0.05
	// answerOutlier bounds how much longer than the average, as a multiple of it, one
	// plain answer counts: one in a hundred takes twenty times as long where a zone is
	// cut off or an answer is lost, and would keep requests away from a sound endpoint.
	answerOutlier = 3
)

// Ordinary is what the endpoints of one service have in common, learned from all of
// them: how long a plain answer takes, and the first event of a prompt, which has a part that every request takes, one for each
// token that it must read, and one for each pair of a token and those before it,
// which long prompts feel. It is safe for concurrent use.
type Ordinary struct {
	mu sync.Mutex
	// Theta holds the three figures in milliseconds, spread their uncertainty, as
	// recursive least squares keep it.
	theta  [3]float64
	spread [3][3]float64
	// Answer is the average time of a plain answer, 0 before the first, and answers how
	// many there were.
	answer  time.Duration
	answers int
}

// NewOrdinary returns what is taken for ordinary before anything was measured.
func NewOrdinary() *Ordinary {
	r := &Ordinary{theta: [3]float64{
		milliseconds(startBase), milliseconds(startToken) * tokenScale, startPair * pairScale / 1e6,
	}}
	r.spread = startUncertainty()
	return r
}

func startUncertainty() (out [3][3]float64) {
	s := milliseconds(startSpread) / milliseconds(measureSpread)
	for i := range out {
		out[i][i] = s * s
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// features are what a prompt is measured by, of which unread tokens must be read.
func features(unread, prompt int64) [3]float64 {
	u, p := float64(unread), float64(max(prompt, unread))
	return [3]float64{1, u / tokenScale, u * (p - u/2) / pairScale}
}

// Base is the time to a first event that no prompt explains.
func (r *Ordinary) Base() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return duration(r.theta[0])
}

// Read returns the time that reading takes, beside Base.
func (r *Ordinary) Read(unread, prompt int64) time.Duration {
	x := features(unread, prompt)
	r.mu.Lock()
	defer r.mu.Unlock()
	return duration(r.theta[1]*x[1] + r.theta[2]*x[2])
}

// LearnAnswer takes in the time of a plain answer and returns by how much it was
// longer than they are on average.
func (r *Ordinary) LearnAnswer(took time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	off := min(took-r.answer, answerOutlier*r.answer)
	if r.answers == 0 {
		off = 0
		r.answer = took
	}
	r.answers++
	r.answer += time.Duration(max(answerGain, 1/float64(r.answers)) * float64(off))
	return off
}

// Answer returns the average time of a plain answer, or 0 before the first.
func (r *Ordinary) Answer() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer
}

// Learn takes in the time to the first event of a prompt that found nothing else to
// be read at its endpoint.
func (r *Ordinary) Learn(unread, prompt int64, took time.Duration) {
	x := features(unread, prompt)
	r.mu.Lock()
	defer r.mu.Unlock()
	var gain [3]float64
	norm, expected := forget, 0.0
	for i := range x {
		for j := range x {
			gain[i] += r.spread[i][j] * x[j]
		}
		norm += x[i] * gain[i]
		expected += r.theta[i] * x[i]
	}
	if norm < forget {
		// Rounding has made the uncertainty impossible.
		r.spread = startUncertainty()
		return
	}
	off := milliseconds(min(max(took-duration(expected), -outlier), outlier))
	var next [3][3]float64
	for i := range x {
		// Neither part can be less than nothing.
		r.theta[i] = max(r.theta[i]+gain[i]/norm*off, 0)
		for j := range x {
			next[i][j] = (r.spread[i][j] - gain[i]*gain[j]/norm) / forget
		}
	}
	r.spread = next
	r.bound()
}

// bound keeps the uncertainty at what it was at the start: while only one kind of
// prompt comes, forgetting would let that of the others grow without limit.
func (r *Ordinary) bound() {
	most := startUncertainty()
	for i := range r.spread {
		if r.spread[i][i] <= most[i][i] {
			continue
		}
		shrink := most[i][i] / r.spread[i][i]
		for j := range r.spread {
			r.spread[i][j] *= shrink
			r.spread[j][i] *= shrink
		}
		r.spread[i][i] = most[i][i]
	}
}
