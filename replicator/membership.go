package replicator

import (
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// sendHello announces a disk that is not a voter, or that finds no leader, to
// the peers. A voter without a leader may have been replaced while it was
// partitioned, and all the disks that it knows may be gone.
func (c *Core) sendHello() {
	if c.IsVoter() && c.role != PreCandidate || c.now.Before(c.helloAt) {
		return
	}
	c.helloAt = c.now.Add(helloIntervalHeartbeats * c.options.Timing.HeartbeatInterval)
	c.founding.round++
	for _, p := range c.options.Peers {
		c.send(Member{Name: p}, &messenger.LogMessage{Body: &messenger.LogMessage_Hello{Hello: &messenger.LogHello{Round: c.founding.round}}})
	}
	c.tryFound()
}

func (c *Core) onHello(from Member, deployment string, round uint64) {
	c.send(from, &messenger.LogMessage{Body: &messenger.LogMessage_HelloReply{HelloReply: &messenger.LogHelloReply{
		Founded: c.deployment != "", Voters: membershipToProto(c.log.voters).Voters, FoundingSeed: len(c.founding.seeds) > 0, Committed: c.commit > 0,
		Round: round,
	}}})
	if deployment == "" || deployment == c.deployment {
		c.addLearner(from)
	}
}

// addLearner makes the leader replicate to a disk that is not a voter.
func (c *Core) addLearner(m Member) {
	if c.role != Leader || c.leaderState.progress[m] != nil || m == c.self || m.Incarnation == 0 {
		return
	}
	c.leaderState.progress[m] = &progress{next: c.log.last() + 1, trackedAt: c.now, trackedRound: c.leaderState.round}
}

// repairMembership takes one step towards a full set of voters with live
// disks, spread over the availability zones. It removes a voter whose disk was
// erased, that the settings no longer name, or beyond the configured number, and
// adds a disk with a complete copy. Each step
// waits until the previous one is committed, so that any two majorities
// overlap.
func (c *Core) repairMembership() {
	if !c.Ready() || c.log.votersIndex > c.commit {
		return
	}
	if c.removeUnconfiguredVoter() || c.removeSurplusVoter() {
		return
	}
	for _, l := range c.caughtUpLearners() {
		if c.promoteLearner(l) || c.spreadTo(l) {
			return
		}
	}
}

// removeUnconfiguredVoter removes a silent voter that the settings no longer
// name, and reports whether it did.
func (c *Core) removeUnconfiguredVoter() bool {
	for i, v := range c.log.voters {
		if v != c.self && !slices.Contains(c.options.Peers, v.Name) && c.canRemove(v) {
			c.changeVoters(slices.Delete(c.Voters(), i, i+1))
			return true
		}
	}
	return false
}

// isCaughtUp reports whether a disk that is not a voter has all entries that
// were committed at the previous heartbeat. In a busy log, the answers of a
// distant or slow disk are always behind the majority's. The disk must have answered a round since tracking began, so that
// late messages from a lost disk do not add it again.
func (c *Core) isCaughtUp(l Member) bool {
	p := c.leaderState.progress[l]
	return !slices.Contains(c.log.voters, l) && c.isResponsive(p) && p.round > p.trackedRound && p.match >= c.leaderState.heartbeatCommit
}

// promoteLearner takes the next step towards making a learner a voter, and
// reports whether there was one. Two disks of the same keeper never vote at
// the same time: the older one is lost and would count against every majority.
// A learner that replaces the silent voter of another keeper, whose disk may be
// whole, is added before that voter is removed. With one voter less in between,
// fewer disks could be lost.
func (c *Core) promoteLearner(l Member) bool {
	i := slices.IndexFunc(c.log.voters, func(v Member) bool { return v.Name == l.Name })
	switch {
	case i >= 0 && c.canRemove(c.log.voters[i]):
		c.changeVoters(slices.Delete(c.Voters(), i, i+1))
	case i < 0 && (len(c.log.voters) < c.options.Voters || c.canAddReplacement()):
		c.changeVoters(append(c.Voters(), l))
	default:
		return false
	}
	return true
}

// canAddReplacement reports whether a voter is to be replaced, and the responsive
// voters and one more form a majority of the larger membership.
func (c *Core) canAddReplacement() bool {
	n := len(c.log.voters)
	return n == c.options.Voters && slices.ContainsFunc(c.log.voters, c.isReplaceable) && c.responsiveVoters()+1 > (n+1)/2
}

// isReplaceable reports whether a voter was silent for longer than the Replace
// timeout. A leader does not know how long a voter was silent before it was
// elected, so half of the timeout is enough for one that never answered it.
func (c *Core) isReplaceable(v Member) bool {
	p := c.leaderState.progress[v]
	switch {
	case p == nil:
		return false
	case p.ackedAt.IsZero():
		return c.silence(p) > max(c.options.Timing.Replace/2, c.options.Timing.ElectionTimeout)
	}
	return c.silence(p) > c.options.Timing.Replace
}

// canRemove reports whether a voter is silent and the responsive voters form a
// majority without it. Otherwise its removal could not be committed.
func (c *Core) canRemove(v Member) bool {
	p := c.leaderState.progress[v]
	return p != nil && c.silence(p) >= c.options.Timing.ElectionTimeout && c.responsiveVoters() > (len(c.log.voters)-1)/2
}

// silence returns for how long a member has not answered this leader.
func (c *Core) silence(p *progress) time.Duration {
	if p.ackedAt.IsZero() {
		return c.now.Sub(p.trackedAt)
	}
	return c.now.Sub(p.ackedAt)
}

func (c *Core) isResponsive(p *progress) bool {
	return !p.ackedAt.IsZero() && c.now.Sub(p.ackedAt) < c.options.Timing.ElectionTimeout
}

func (c *Core) changeVoters(voters []Member) {
	slices.SortFunc(voters, compareMembers)
	c.appendLeaderEntry(&messenger.LogEntry{Kind: messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP, Membership: membershipToProto(voters)})
	c.trackMembers()
}
