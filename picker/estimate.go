package picker

import "time"

const (
	// learnedValidity is how long what was learned may refuse requests: when
	// no run has ended for longer, one has to be let in to learn again.
	learnedValidity = 10 * time.Second
	// leastShare is the part of the expected time that a lucky run may take.
	leastShare = 0.7
)

// Estimate is what this router expects of a request at any endpoint.
type Estimate struct {
	// Tokens is the expected length of the answer.
	Tokens float64
	// Service is the time from dispatch to the end of the answer, 0 while
	// too little is learned to refuse on its account.
	Service time.Duration
	// Least is the shortest time that is thinkable.
	Least time.Duration
}

// Estimate predicts a request from what the service's last runs took.
func (s *Service) Estimate(q Query, now time.Duration) Estimate {
	e := Estimate{Tokens: s.AnswerTokens(q.MaxAnswer)}
	if !s.Learned(now, learnedValidity) {
		return e
	}
	if q.MaxAnswer == 0 {
		e.Service = time.Duration(s.callTime.value(0) * float64(time.Second))
		e.Least = time.Duration(leastShare * float64(e.Service))
		return e
	}
	x := e.Tokens*s.TokenTime() + float64(q.PromptTokens)*s.promptTime.value(assumedPrefillTime)
	e.Service = time.Duration(x * float64(time.Second))
	e.Least = time.Duration(leastShare * x * float64(time.Second))
	return e
}
