package picker

import (
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/ejector"
)

// Assumed before anything is learned, in seconds a token.
const (
	assumedTokenTime   = 0.02
	assumedPrefillTime = 0.0005
)

const (
	// sampleWeight lets some five runs replace what was learned before.
	sampleWeight = 0.3
	// serviceWeight is smaller: a service has many endpoints' samples.
	serviceWeight = 0.05
	// othersWeight averages the reports of some seconds.
	othersWeight = 0.15
	// shareWeight averages those of a quarter of a minute.
	shareWeight = 0.03
	// learnedHalf is the age at which a learned time counts half.
	learnedHalf = 10 * time.Second
)

// Service is what this router has learned of a service as a whole.
type Service struct {
	tokenTime   average
	prefillTime average
	// PromptTime is the time to the first token by the length of the prompt,
	// of all runs: cached prefixes and waiting at the endpoint included.
	promptTime average
	// CallTime is the whole time of a run whose answer has no tokens.
	callTime average
	// AnswerShare is the answer's length by the bound that the request gave.
	answerShare average
	// AnswerLength is the length of an answer in tokens.
	answerLength average
	// TextTokens is the tokens of one text of a streamed answer.
	textTokens average
	// OthersPerOwn is the other routers' requests by this router's own.
	othersPerOwn average
	// Samples counts whole runs.
	samples atomic.Int64
	// LearnedAt is the end of the last whole run.
	learnedAt atomic.Int64
}

// TokenTime returns the seconds between two tokens of an answer.
func (s *Service) TokenTime() float64 { return s.tokenTime.value(assumedTokenTime) }

// PrefillTime returns the seconds to read a prompt token that is not cached.
func (s *Service) PrefillTime() float64 { return s.prefillTime.value(assumedPrefillTime) }

// longAnswer is how many usual lengths an answer is expected to have at most.
const longAnswer = 3

// AnswerTokens returns the length to expect of an answer bounded by most.
// Where some callers give a tight bound and others none, the share of the
// bound misleads: answers of 100 tokens under a bound of 4,000 would be
// expected to take minutes, and refused. The usual length bounds that.
func (s *Service) AnswerTokens(most int64) float64 {
	x := float64(most) * s.answerShare.value(1)
	return min(x, longAnswer*s.answerLength.value(x))
}

// Learned reports whether enough runs have ended to refuse on their account,
// the last of them at most age ago.
func (s *Service) Learned(now, age time.Duration) bool {
	const enough = 8
	return s.samples.Load() >= enough && int64(now)-s.learnedAt.Load() <= int64(age)
}

// Stats is this router's own record of one incarnation of an endpoint.
type Stats struct {
	// Id is unique in the ledger and never reused.
	id          uint32
	incarnation rattanhoist.Incarnation
	service     *Service
	gate        ejector.Gate
	// InFlight counts this router's requests there.
	inFlight atomic.Int64
	// Others averages what reports say beyond this router's own requests.
	others average
	// OwnShare and allShare average the own and all requests over longer.
	ownShare, allShare average
	// ReportAt is when that report arrived, in nanoseconds of the ledger.
	reportAt    atomic.Int64
	tokenTime   average
	prefillTime average
	// Reuse is the share of expected prefix hits that were hits.
	reuse average
	// UsedAt is when a set last listed the endpoint.
	usedAt atomic.Int64
}

// InFlight returns this router's requests in progress at the endpoint.
func (s *Stats) InFlight() int64 { return s.inFlight.Load() }

// Ejected reports whether the endpoint is out of service for failures.
func (s *Stats) Ejected() bool { return s.gate.Ejected() }

// report notes the arrival of a load report. A report is late by a time that
// nobody knows, so it counts requests of this router that have ended since
// and misses new ones; on average over some reports that evens out.
func (s *Stats) report(at time.Duration, load float64) {
	if old := s.reportAt.Load(); (at > 0 && int64(at) > old) && s.reportAt.CompareAndSwap(old, int64(at)) {
		own := float64(s.inFlight.Load())
		s.others.add(load-own, othersWeight, at)
		s.ownShare.add(own, shareWeight, at)
		s.allShare.add(load, shareWeight, at)
	}
}
