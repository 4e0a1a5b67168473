package predictor

import (
	"sync"
	"time"
)

const (
	// Initial estimates, at the speed of the slowest engines in use: initialBase for every
	// first event, initialPerToken for each token to prefill, and initialPerPairNs for each
	// pair of tokens that attend to each other.
	initialBase      = 40 * time.Millisecond
	initialPerToken  = 25 * time.Microsecond
	initialPerPairNs = 0.3
	// tokenScale and pairScale scale the features of a typical long prompt to about 1, like
	// that of the base latency.
	tokenScale = 10_000
	pairScale  = 100_000_000
	// initialUncertainty is the standard deviation assumed for the initial estimates,
	// measurementNoise that of one measurement. Their ratio lets measurements take effect
	// from the first few prompts on.
	initialUncertainty = 100 * time.Millisecond
	measurementNoise   = 30 * time.Millisecond
	// forgettingFactor is the factor by which the weight of older measurements falls with
	// each new one, so that those of the last few hundred prompts count.
	forgettingFactor = 0.997
	// maxResidual bounds the effect of one measurement: a slow endpoint says something
	// about itself, not about the others.
	maxResidual = 150 * time.Millisecond
	// answerTimeGain is the weight of the newest plain answer in the average; the first
	// answers have equal weights.
	answerTimeGain = 0.05
	// maxAnswerExcess bounds, as a multiple of the average, how much longer than the
	// average a plain answer counts. One answer in a hundred takes twenty times as long
	// where a zone is partitioned or an answer is lost, and would otherwise keep requests
	// away from a healthy endpoint.
	maxAnswerExcess = 3
)

// LatencyModel predicts the latency of a typical endpoint of a service, learned from all of
// its endpoints: the average time of plain answers, and the time to the first event of a
// prompt. The latter is the sum of a base latency, a time for each token to prefill, and a
// time for each pair of such a token and one before it, which is what makes long prompts
// slow. It is safe for concurrent use.
type LatencyModel struct {
	mu sync.Mutex
	// coefficients holds the three coefficients in milliseconds, covariance their
	// covariance matrix, relative to the measurement noise. Both are updated by recursive
	// least squares.
	coefficients [3]float64
	covariance   [3][3]float64
	// meanAnswer is the average time of plain answers, 0 before the first one; answerCount
	// is their number.
	meanAnswer  time.Duration
	answerCount int
}

// NewLatencyModel returns a model with the initial estimates.
func NewLatencyModel() *LatencyModel {
	r := &LatencyModel{coefficients: [3]float64{
		milliseconds(initialBase), milliseconds(initialPerToken) * tokenScale, initialPerPairNs * pairScale / 1e6,
	}}
	r.covariance = initialCovariance()
	return r
}

// initialCovariance returns the covariance matrix of the initial estimates.
func initialCovariance() (out [3][3]float64) {
	s := milliseconds(initialUncertainty) / milliseconds(measurementNoise)
	for i := range out {
		out[i][i] = s * s
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// features returns the regression features of a prompt of which unread tokens have to be
// prefilled.
func features(uncached, prompt int64) [3]float64 {
	u, p := float64(uncached), float64(max(prompt, uncached))
	return [3]float64{1, u / tokenScale, u * (p - u/2) / pairScale}
}

// BaseLatency returns the part of the time to the first event that does not depend on the
// prompt.
func (r *LatencyModel) BaseLatency() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return duration(r.coefficients[0])
}

// PrefillTime returns the predicted time for the prefill of uncached tokens of a prompt,
// without BaseLatency.
func (r *LatencyModel) PrefillTime(uncached, prompt int64) time.Duration {
	x := features(uncached, prompt)
	r.mu.Lock()
	defer r.mu.Unlock()
	return duration(r.coefficients[1]*x[1] + r.coefficients[2]*x[2])
}

// ObserveAnswer updates the average with the time of a plain answer. It returns by how much
// the answer took longer than the average, bounded by maxAnswerExcess.
func (r *LatencyModel) ObserveAnswer(took time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	excess := min(took-r.meanAnswer, maxAnswerExcess*r.meanAnswer)
	if r.answerCount == 0 {
		excess = 0
		r.meanAnswer = took
	}
	r.answerCount++
	r.meanAnswer += time.Duration(max(answerTimeGain, 1/float64(r.answerCount)) * float64(excess))
	return excess
}

// MeanAnswer returns the average time of plain answers, or 0 before the first one.
func (r *LatencyModel) MeanAnswer() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.meanAnswer
}

// ObservePrefill updates the model with the time to the first event of a prompt that was
// sent to an endpoint with an empty queue.
func (r *LatencyModel) ObservePrefill(uncached, prompt int64, took time.Duration) {
	x := features(uncached, prompt)
	r.mu.Lock()
	defer r.mu.Unlock()
	var gain [3]float64
	norm, expected := forgettingFactor, 0.0
	for i := range x {
		for j := range x {
			gain[i] += r.covariance[i][j] * x[j]
		}
		norm += x[i] * gain[i]
		expected += r.coefficients[i] * x[i]
	}
	if norm < forgettingFactor {
		// Rounding errors made the covariance matrix invalid.
		r.covariance = initialCovariance()
		return
	}
	residual := milliseconds(min(max(took-duration(expected), -maxResidual), maxResidual))
	var next [3][3]float64
	for i := range x {
		// No coefficient can be negative.
		r.coefficients[i] = max(r.coefficients[i]+gain[i]/norm*residual, 0)
		for j := range x {
			next[i][j] = (r.covariance[i][j] - gain[i]*gain[j]/norm) / forgettingFactor
		}
	}
	r.covariance = next
	r.boundCovariance()
}

// boundCovariance limits the variances to their initial values. While all prompts are of
// one kind, the forgetting factor would let the variances of the other features grow
// without limit.
func (r *LatencyModel) boundCovariance() {
	limit := initialCovariance()
	for i := range r.covariance {
		if r.covariance[i][i] <= limit[i][i] {
			continue
		}
		shrink := limit[i][i] / r.covariance[i][i]
		for j := range r.covariance {
			r.covariance[i][j] *= shrink
			r.covariance[j][i] *= shrink
		}
		r.covariance[i][i] = limit[i][i]
	}
}
