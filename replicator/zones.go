package replicator

import (
	"cmp"
	"slices"
)

// zone returns the availability zone of a member, or "" if it is not known.
func (c *Core) zone(m Member) string {
	if c.options.Zone == nil {
		return ""
	}
	return c.options.Zone(m.Name)
}

// votersByZone returns the number of voters in each zone. It returns nil if the
// zone of a voter is not known.
func (c *Core) votersByZone() map[string]int {
	out := map[string]int{}
	for _, v := range c.log.voters {
		z := c.zone(v)
		if z == "" {
			return nil
		}
		out[z]++
	}
	return out
}

// caughtUpLearners returns the learners that may become voters, those of zones
// with the fewest voters first.
func (c *Core) caughtUpLearners() []Member {
	out := slices.DeleteFunc(c.members(), func(m Member) bool { return !c.isCaughtUp(m) })
	if voters := c.votersByZone(); voters != nil {
		slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(voters[c.zone(a)], voters[c.zone(b)]) })
	}
	return out
}

// spreadTo adds a learner beside the full set of voters, and reports whether it
// did, if its zone has fewer voters than another one by two at least. A voter of
// the zone with most voters is removed in the next step. Until then one voter
// more is needed for a majority, and as many may be lost as before.
func (c *Core) spreadTo(l Member) bool {
	voters, zone := c.votersByZone(), c.zone(l)
	if voters == nil || zone == "" || len(c.log.voters) != c.options.Voters || voters[zone]+2 > maxCount(voters) || c.responsiveVoters() < len(c.log.voters) {
		return false
	}
	c.changeVoters(append(c.Voters(), l))
	return true
}

// removeSurplusVoter removes a voter if there are more than configured, and
// reports whether it did: one that does not answer, or else one of the zone with
// most voters. The leader stays. A new leader waits until all but the surplus
// have answered.
func (c *Core) removeSurplusVoter() bool {
	surplus := len(c.log.voters) - c.options.Voters
	if surplus <= 0 || c.awaitedVoters() > surplus {
		return false
	}
	voters := c.votersByZone()
	most := maxCount(voters)
	return c.removeVoterIf(func(v Member) bool { return !c.isResponsiveVoter(v) }) ||
		c.removeVoterIf(func(v Member) bool { return voters == nil || voters[c.zone(v)] >= most })
}

// awaitedVoters returns how many voters may still answer this leader for the
// first time.
func (c *Core) awaitedVoters() int {
	n := 0
	for _, v := range c.log.voters {
		p := c.leaderState.progress[v]
		if p != nil && p.ackedAt.IsZero() && c.silence(p) < c.options.Timing.ElectionTimeout {
			n++
		}
	}
	return n
}

// removeVoterIf removes the last voter for which f is true, and reports whether
// it did. The voters left that answer must be a majority.
func (c *Core) removeVoterIf(f func(Member) bool) bool {
	for i, v := range slices.Backward(c.log.voters) {
		if v == c.self || !f(v) {
			continue
		}
		rest := c.responsiveVoters()
		if c.isResponsiveVoter(v) {
			rest--
		}
		if rest > (len(c.log.voters)-1)/2 {
			c.changeVoters(slices.Delete(c.Voters(), i, i+1))
			return true
		}
	}
	return false
}

func maxCount(counts map[string]int) int {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

// ResponsiveVoters returns how many voters answer this core while it leads, itself included; otherwise 0.
func (c *Core) ResponsiveVoters() int {
	if c.role != Leader {
		return 0
	}
	return c.responsiveVoters()
}

// responsiveVoters returns how many voters answer, the leader included.
func (c *Core) responsiveVoters() int {
	n := 0
	for _, v := range c.log.voters {
		if c.isResponsiveVoter(v) {
			n++
		}
	}
	return n
}

func (c *Core) isResponsiveVoter(v Member) bool {
	return v == c.self || c.leaderState.progress[v] != nil && c.isResponsive(c.leaderState.progress[v])
}
