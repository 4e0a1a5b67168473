package picker

// Deadline is the name of the product's own picker: endpoints that are
// predicted to finish within the deadline go first; among them the one whose
// predicted time, reuse of a cached prefix included, is the shortest.
var Deadline = Register("deadline", func() Picker { return deadline{} })

const (
	// scanAll is the largest set that is looked at whole; larger ones are
	// sampled, which bounds the cost and keeps routers with the same view
	// from choosing the same endpoint.
	scanAll      = 4
	sampleLocal  = 2
	sampleOthers = 1
	// reuseWeight weighs a reused prefix above the time it saves the request:
	// the prompt that is not read again leaves room in the batch for others.
	reuseWeight = 4.0
	// crossZone is the time another zone must save to be preferred.
	crossZone = 0.02
	// crowding is how much longer a request takes in a full batch than in an
	// empty one, beyond what was learned: learned times come from the usual
	// fill. Counted whole once more, it outweighs the reuse of a prefix.
	crowding = 0.3
)

type deadline struct{}

// Pick implements Picker.
func (deadline) Pick(q Query, s *Set) int {
	now := s.at(q.Now)
	p := prediction{q: &q, s: s, now: now, best: -1}
	p.prepare()
	n := len(s.candidates)
	if n <= scanAll {
		p.scan(int(q.Seed>>32), 0, n)
	} else {
		p.sample()
	}
	if p.best < 0 {
		return s.lastResort(&q, now)
	}
	return p.best
}

// prediction compares candidates for one request.
type prediction struct {
	q   *Query
	s   *Set
	now instant
	// Answer is the expected length; the times are in seconds.
	answer, prompt, tokenTime, prefillTime, left float64
	owners                                       [prefixWays]uint32
	best                                         int
	bestCost                                     float64
	bestMeets                                    bool
	// Paced says that the service's answers tell the time of a token.
	paced bool
}

func (p *prediction) prepare() {
	v := p.s.service
	p.answer = v.AnswerTokens(p.q.MaxAnswer)
	p.prompt = float64(p.q.PromptTokens)
	p.tokenTime = v.TokenTime()
	p.paced = v.tokenTime.known()
	p.prefillTime = v.PrefillTime()
	p.left = p.q.Deadline.Sub(p.q.Now).Seconds()
	p.owners = p.s.ledger.prefixes.owners(p.q.Prefix, p.now.Duration)
}

// scan looks at candidates from to to-1, beginning at a random one so that
// equal candidates share the work.
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

// sample looks at the endpoints that hold the prefix and at a few others.
func (p *prediction) sample() {
	for _, id := range p.owners {
		if id == 0 {
			continue
		}
		if i, ok := p.s.index[id]; ok {
			p.consider(int(i))
		}
	}
	r := source(p.q.Seed)
	p.sampleRange(&r, 0, p.s.local, sampleLocal)
	p.sampleRange(&r, p.s.local, len(p.s.candidates), sampleOthers)
}

// sampleRange looks at most candidates of those from from to to-1.
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

func (p *prediction) consider(i int) {
	if !p.s.usable(p.q, i, p.now) {
		return
	}
	c := &p.s.candidates[i]
	st := c.stats
	hit := 0.0
	if p.holds(st.id) {
		hit = st.reuse.value(1)
	}
	fill := c.work(p.now.Duration) / c.capacity
	// What was learned of an endpoint is believed less as it ages, so that
	// one that was slow is tried again, but only by a request that would be
	// in time even if nothing has changed.
	slowest := p.finish(c, fill, hit, st.tokenTime.value(p.tokenTime), st.prefillTime.value(p.prefillTime))
	cost := p.finish(c, fill, hit, st.tokenTime.aged(p.tokenTime, p.now.Duration, learnedHalf), st.prefillTime.aged(p.prefillTime, p.now.Duration, learnedHalf))
	cost -= hit * p.prompt * p.prefillTime * (reuseWeight - 1)
	if i >= p.s.local {
		cost += crossZone
	}
	meets := slowest <= p.left && !p.unproven(st)
	if p.best < 0 || meets && !p.bestMeets || meets == p.bestMeets && cost < p.bestCost {
		p.best, p.bestCost, p.bestMeets = i, cost, meets
	}
}

// finish predicts the seconds until the end of the answer at an endpoint that
// is full to a part and takes the given times for a token of the answer and
// of the prompt.
func (p *prediction) finish(c *Candidate, fill, hit, tokenTime, prefillTime float64) float64 {
	decode := p.answer * tokenTime * (1 + crowding*min(fill, 1))
	prefill := p.prompt * prefillTime
	wait := 0.0
	if fill >= 1 {
		wait = (fill - 1 + 1/c.capacity) * (decode + prefill)
	}
	return wait + prefill*(1-hit) + decode
}

// unproven reports whether this router waits for an endpoint's first tokens to
// tell how quick it is. Until then it is assumed to be as quick as the others,
// and a slow one would be sent more than it can answer in time.
func (p *prediction) unproven(s *Stats) bool {
	return p.paced && !s.tokenTime.known() && s.inFlight.Load() > 0
}

func (p *prediction) holds(id uint32) bool {
	for _, o := range p.owners {
		if o == id {
			return true
		}
	}
	return false
}
