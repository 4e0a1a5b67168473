package picker

import "time"

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
	// crowding is how much a full batch slows each of its requests.
	crowding = 1.0
)

type deadline struct{}

// Pick implements Picker.
func (deadline) Pick(q Query, s *Set) int {
	now := s.since(q.Now)
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
	now time.Duration
	// Answer is the expected length; the times are in seconds.
	answer, prompt, tokenTime, prefillTime, left float64
	owners                                       [prefixWays]uint32
	best                                         int
	bestCost                                     float64
	bestMeets                                    bool
}

func (p *prediction) prepare() {
	v := p.s.service
	p.answer = v.AnswerTokens(p.q.MaxAnswer)
	p.prompt = float64(p.q.PromptTokens)
	p.tokenTime = v.TokenTime()
	p.prefillTime = v.PrefillTime()
	p.left = p.q.Deadline.Sub(p.q.Now).Seconds()
	p.owners = p.s.ledger.prefixes.owners(p.q.Prefix, p.now)
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
	d := draw(p.q.Seed)
	p.draw(&d, 0, p.s.local, sampleLocal)
	p.draw(&d, p.s.local, len(p.s.candidates), sampleOthers)
}

func (p *prediction) draw(d *draw, from, to, most int) {
	n := to - from
	if n <= most {
		p.scan(int(d.next()>>33), from, to)
		return
	}
	for range most {
		p.consider(from + d.below(n))
	}
}

func (p *prediction) consider(i int) {
	if !p.s.usable(p.q, i, p.now) {
		return
	}
	c := &p.s.candidates[i]
	finish, saved := p.finish(c)
	cost := finish - saved*(reuseWeight-1)
	if i >= p.s.local {
		cost += crossZone
	}
	meets := finish <= p.left
	if p.best < 0 || meets && !p.bestMeets || meets == p.bestMeets && cost < p.bestCost {
		p.best, p.bestCost, p.bestMeets = i, cost, meets
	}
}

// finish predicts the seconds until the end of the answer, and those that a
// cached prefix saves of them.
func (p *prediction) finish(c *Candidate) (seconds, saved float64) {
	t := c.stats.tokenTime.aged(p.tokenTime, p.now, learnedHalf)
	f := c.stats.prefillTime.aged(p.prefillTime, p.now, learnedHalf)
	fill := c.work(p.now) / c.capacity
	decode := p.answer * t * (1 + crowding*min(fill, 1))
	prefill := p.prompt * f
	if p.holds(c.stats.id) {
		saved = prefill * c.stats.reuse.value(1)
	}
	wait := 0.0
	if fill >= 1 {
		wait = (fill - 1 + 1/c.capacity) * (decode + prefill)
	}
	return wait + prefill - saved + decode, saved
}

func (p *prediction) holds(id uint32) bool {
	for _, o := range p.owners {
		if o == id {
			return true
		}
	}
	return false
}
