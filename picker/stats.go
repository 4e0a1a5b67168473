package picker

import (
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/ejector"
)

// Times assumed before there are samples, in seconds per token.
const (
	assumedTokenTime   = 0.02
	assumedPrefillTime = 0.0005
)

const (
	// sampleWeight lets about five runs replace the previous average.
	sampleWeight = 0.3
	// serviceWeight is smaller because a service has samples of many endpoints.
	serviceWeight = 0.05
	// othersWeight averages the load reports of a few seconds.
	othersWeight = 0.15
	// shareWeight averages the load reports of a quarter of a minute.
	shareWeight = 0.03
	// learnedHalfLife is the age at which a learned time has half its weight.
	learnedHalfLife = 10 * time.Second
)

// Service holds this router's statistics of a service over all its endpoints.
type Service struct {
	tokenTime   average
	prefillTime average
	// promptTime is the time to the first token per prompt token of all runs,
	// including those with cached prefixes or queueing at the endpoint.
	promptTime average
	// callTime is the duration of a run whose response has no tokens.
	callTime average
	// answerShare is the length of a response divided by the request's limit.
	answerShare average
	// answerLength is the length of a response in tokens.
	answerLength average
	// tokensPerChunk is the number of tokens per chunk of a streamed response.
	tokensPerChunk average
	// othersPerOwn is the ratio of other routers' requests to this router's.
	othersPerOwn average
	// samples counts complete runs.
	samples atomic.Int64
	// learnedAt is the end of the last complete run.
	learnedAt atomic.Int64
}

// TokenTime returns the seconds per token of a response.
func (s *Service) TokenTime() float64 { return s.tokenTime.value(assumedTokenTime) }

// PrefillTime returns the seconds per prompt token that is not cached.
func (s *Service) PrefillTime() float64 { return s.prefillTime.value(assumedPrefillTime) }

// maxUsualLengths limits the expected length of a response, as a multiple of the
// average length.
const maxUsualLengths = 3

// AnswerTokens returns the expected length of a response limited to most tokens:
// the average fraction of the limit that responses use, capped by a multiple of
// their average length. Without the cap, if some callers give a tight limit and
// others none, responses of 100 tokens with a limit of 4,000 would be expected
// to take minutes, and their requests rejected.
func (s *Service) AnswerTokens(most int64) float64 {
	x := float64(most) * s.answerShare.value(1)
	return min(x, maxUsualLengths*s.answerLength.value(x))
}

// HasRecentSamples reports whether there are enough complete runs to reject
// requests by their statistics, the last of them at most age ago.
func (s *Service) HasRecentSamples(now, age time.Duration) bool {
	const enough = 8
	return s.samples.Load() >= enough && int64(now)-s.learnedAt.Load() <= int64(age)
}

// Stats holds this router's statistics of one incarnation of an endpoint.
type Stats struct {
	// id is unique in the ledger and never reused.
	id          uint32
	incarnation rattanhoist.Incarnation
	service     *Service
	gate        ejector.Gate
	// inFlight counts this router's requests in progress at the endpoint.
	inFlight atomic.Int64
	// others averages the reported load minus this router's own requests.
	others average
	// ownShare and allShare average this router's own requests and the
	// reported load over a longer period.
	ownShare, allShare average
	// reportAt is when the last report arrived, in nanoseconds since the
	// ledger's base.
	reportAt    atomic.Int64
	tokenTime   average
	prefillTime average
	// reuse is the fraction of the expected prefix cache hits that were hits.
	reuse average
	// usedAt is when the endpoint was last put into a set.
	usedAt atomic.Int64
}

// InFlight returns the number of this router's requests in progress at the
// endpoint.
func (s *Stats) InFlight() int64 { return s.inFlight.Load() }

// Ejected reports whether the endpoint is ejected because of failures.
func (s *Stats) Ejected() bool { return s.gate.Ejected() }

// recordReport records the arrival of a load report. A report has an unknown
// delay, so it includes requests of this router that have ended since and misses
// new ones; averaged over several reports, these errors cancel out.
func (s *Stats) recordReport(at time.Duration, load float64) {
	if old := s.reportAt.Load(); (at > 0 && int64(at) > old) && s.reportAt.CompareAndSwap(old, int64(at)) {
		own := float64(s.inFlight.Load())
		s.others.add(load-own, othersWeight, at)
		s.ownShare.add(own, shareWeight, at)
		s.allShare.add(load, shareWeight, at)
	}
}
