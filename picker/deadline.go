package picker

// Deadline is the name of the default picker. It prefers endpoints that are
// predicted to finish within the deadline, and among them the one with the
// lowest predicted time, including the benefit of a cached prefix.
var Deadline = Register("deadline", func() Picker { return deadline{} })

const (
	// maxFullScan is the largest set of which all candidates are compared.
	// Larger ones are sampled, which bounds the cost and keeps routers with
	// the same view from choosing the same endpoint.
	maxFullScan   = 4
	localSamples  = 2
	remoteSamples = 1
	// reuseWeight multiplies the time that a cached prefix saves. It is above
	// 1 because skipping the prefill also frees batch capacity for other
	// requests.
	reuseWeight = 4.0
	// crossZonePenalty is the time in seconds that an endpoint of another zone
	// must save to be preferred.
	crossZonePenalty = 0.02
	// fullBatchSlowdown is the relative slowdown of decoding in a full batch
	// compared with an empty one, on top of the learned times, which reflect
	// the usual batch size. A value that counts the whole slowdown again
	// outweighs the reuse of a prefix.
	fullBatchSlowdown = 0.3
)

type deadline struct{}

// Pick implements Picker.
func (deadline) Pick(q Query, s *Set) int {
	now := s.at(q.Now)
	p := prediction{q: &q, s: s, now: now, best: -1}
	p.prepare()
	n := len(s.candidates)
	if n <= maxFullScan {
		p.scan(int(q.Seed>>32), 0, n)
	} else {
		p.sample()
	}
	if p.best < 0 {
		return s.fallback(&q, now)
	}
	return p.best
}

// prediction compares candidates for one request.
type prediction struct {
	q   *Query
	s   *Set
	now instant
	// answer and prompt are lengths in tokens; the times are in seconds.
	answer, prompt, tokenTime, prefillTime, timeLeft float64
	prefixHolders                                    [prefixWays]uint32
	best                                             int
	bestCost                                         float64
	bestMeets                                        bool
	// tokenTimeKnown reports whether the time per token of the service was
	// learned.
	tokenTimeKnown bool
}

// prepare sets the inputs of the prediction that are the same for all candidates.
func (p *prediction) prepare() {
	v := p.s.service
	p.answer = v.AnswerTokens(p.q.MaxAnswer)
	p.prompt = float64(p.q.PromptTokens)
	p.tokenTime = v.TokenTime()
	p.tokenTimeKnown = v.tokenTime.hasSamples()
	p.prefillTime = v.PrefillTime()
	p.timeLeft = p.q.Deadline.Sub(p.q.Now).Seconds()
	p.prefixHolders = p.s.ledger.prefixes.holders(p.q.Prefix, p.now.Duration)
}

// scan considers the candidates from to to-1, starting at a random one so that
// equal candidates share the load.
func (p *prediction) scan(seed, from, to int) {
	n := to - from
	if n <= 0 {
		return
	}
	i := seed % n
	for range n {
		p.consider(from + i)
		if i++; i == n {
			i = 0
		}
	}
}

// sample considers the endpoints that hold the prefix and a few random others.
func (p *prediction) sample() {
	for _, id := range p.prefixHolders {
		if id == 0 {
			continue
		}
		if i, ok := p.s.index[id]; ok {
			p.consider(int(i))
		}
	}
	r := source(p.q.Seed)
	p.sampleRange(&r, 0, p.s.local, localSamples)
	p.sampleRange(&r, p.s.local, len(p.s.candidates), remoteSamples)
}

// sampleRange considers up to most random candidates of those from from to to-1.
func (p *prediction) sampleRange(r *source, from, to, most int) {
	n := to - from
	if n <= most {
		p.scan(int(r.next()>>33), from, to)
		return
	}
	for range most {
		p.consider(from + r.below(n))
	}
}

// consider makes candidate i the best one if it is usable and better than the
// best so far.
func (p *prediction) consider(i int) {
	if !p.s.usable(p.q, i, p.now) {
		return
	}
	c := &p.s.candidates[i]
	st := c.stats
	hit := 0.0
	if p.holdsPrefix(st.id) {
		hit = st.reuse.value(1)
	}
	fill := c.estimatedInFlight(p.now.Duration) / c.capacity
	// The cost uses times that decay towards those of the service, so that an
	// endpoint that was slow is tried again. Whether the deadline is met is
	// decided by the undecayed times, so that only requests that would be in
	// time on a still slow endpoint are used to try it.
	slowest := p.predictFinish(c, fill, hit, st.tokenTime.value(p.tokenTime), st.prefillTime.value(p.prefillTime))
	cost := p.predictFinish(c, fill, hit, st.tokenTime.decayed(p.tokenTime, p.now.Duration, learnedHalfLife), st.prefillTime.decayed(p.prefillTime, p.now.Duration, learnedHalfLife))
	cost -= hit * p.prompt * p.prefillTime * (reuseWeight - 1)
	if i >= p.s.local {
		cost += crossZonePenalty
	}
	meets := slowest <= p.timeLeft && !p.awaitsFirstTokens(st)
	if p.best < 0 || meets && !p.bestMeets || meets == p.bestMeets && cost < p.bestCost {
		p.best, p.bestCost, p.bestMeets = i, cost, meets
	}
}

// predictFinish returns the predicted seconds until the end of the response at
// an endpoint. fill is its load by its capacity, hit the probability that the
// prefix is cached, tokenTime and prefillTime the seconds per response token and
// per prompt token.
func (p *prediction) predictFinish(c *Candidate, fill, hit, tokenTime, prefillTime float64) float64 {
	decode := p.answer * tokenTime * (1 + fullBatchSlowdown*min(fill, 1))
	prefill := p.prompt * prefillTime
	wait := 0.0
	if fill >= 1 {
		wait = (fill - 1 + 1/c.capacity) * (decode + prefill)
	}
	return wait + prefill*(1-hit) + decode
}

// awaitsFirstTokens reports whether requests are in progress at an endpoint
// whose time per token is still unknown. Until it is known, the endpoint is
// assumed to be as fast as the others, and a slow one would get more requests
// than it can answer in time.
func (p *prediction) awaitsFirstTokens(s *Stats) bool {
	return p.tokenTimeKnown && !s.tokenTime.hasSamples() && s.inFlight.Load() > 0
}

func (p *prediction) holdsPrefix(id uint32) bool {
	for _, o := range p.prefixHolders {
		if o == id {
			return true
		}
	}
	return false
}
