package picker

import "time"

const (
	// learnedValidity is how long after the last complete run the learned
	// times may be used to reject requests. After that, requests have to be
	// admitted to learn again.
	learnedValidity = 10 * time.Second
	// minServiceShare is the fraction of the expected service time that the
	// fastest runs take.
	minServiceShare = 0.7
)

// Estimate is the expected cost of a request, regardless of the endpoint.
type Estimate struct {
	// Tokens is the expected length of the response.
	Tokens float64
	// Service is the expected time from dispatch to the end of the response;
	// 0 if there are too few recent samples to reject requests by it.
	Service time.Duration
	// MinService is the lower bound of the service time.
	MinService time.Duration
}

// Estimate predicts the cost of a request from the last runs of the service.
func (s *Service) Estimate(q Query, now time.Duration) Estimate {
	e := Estimate{Tokens: s.AnswerTokens(q.MaxAnswer)}
	if !s.HasRecentSamples(now, learnedValidity) {
		return e
	}
	if q.MaxAnswer == 0 {
		e.Service = time.Duration(s.callTime.value(0) * float64(time.Second))
		e.MinService = time.Duration(minServiceShare * float64(e.Service))
		return e
	}
	x := e.Tokens*s.TokenTime() + float64(q.PromptTokens)*s.promptTime.value(assumedPrefillTime)
	e.Service = time.Duration(x * float64(time.Second))
	e.MinService = time.Duration(minServiceShare * x * float64(time.Second))
	return e
}
