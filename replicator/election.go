package replicator

import (
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// preference is the candidate that gets this keeper's trial vote until a point in time.
type preference struct {
	candidate Member
	until     time.Time
}

// prefer reports whether this keeper gives its trial vote to a candidate. Candidates that ask at the same moment
// would split the votes of the next term, and all wait for another election timeout. So for a heartbeat interval
// each voter prefers the first candidate that asks, or one that comes before it in the order of names. A candidate that
// hears no answers repeats its question about as often, and the others get their turn in between.
func (c *Core) prefer(m Member) bool {
	if c.now.Before(c.preferred.until) && compareMembers(m, c.preferred.candidate) > 0 {
		return false
	}
	c.preferred = preference{candidate: m, until: c.now.Add(c.options.Timing.HeartbeatInterval)}
	return true
}

// hasLiveLeader reports whether this core leads or heard from a leader within
// the election timeout. Votes are then refused, so that one keeper with a bad
// link cannot depose a healthy leader.
func (c *Core) hasLiveLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != Member{} && c.now.Sub(c.leaderHeardAt) < c.options.Timing.ElectionTimeout
}

// startPreVote asks the voters whether they would vote for this keeper,
// without a new term. A keeper that returns from a network partition must not
// raise the term of the others.
func (c *Core) startPreVote() {
	c.role = PreCandidate
	c.leader = Member{}
	c.resetElectionTimer()
	c.votes = map[Member]bool{c.self: true}
	if c.hasVoteMajority() {
		c.startElection()
		return
	}
	c.requestVotes(true, c.term+1)
}

// startElection starts a new term as candidate and votes for itself.
func (c *Core) startElection() {
	c.role = Candidate
	c.term++
	c.vote = c.self
	c.stateDirty = true
	c.resetElectionTimer()
	c.votes = map[Member]bool{c.self: true}
	if c.hasVoteMajority() {
		c.becomeLeader()
		return
	}
	c.requestVotes(false, c.term)
}

// retryVoteRequests repeats vote requests to voters that have not granted one.
// The first request may be lost, for example when all keepers start together
// and some are not listening yet. Without retries there was no leader for 1.1
// s after all keepers lost power.
func (c *Core) retryVoteRequests() {
	if c.now.Before(c.voteRetryAt) {
		return
	}
	switch c.role {
	case PreCandidate:
		c.requestVotes(true, c.term+1)
	case Candidate:
		c.requestVotes(false, c.term)
	}
}

// resetVoteRetryTimer sets a random wait before the next vote requests,
// because keepers that ask at the same moment split the votes.
func (c *Core) resetVoteRetryTimer() {
	h := c.options.Timing.HeartbeatInterval
	c.voteRetryAt = c.now.Add(h/2 + time.Duration(c.options.Rand.Int64N(int64(h))))
}

func (c *Core) requestVotes(trial bool, term uint64) {
	c.resetVoteRetryTimer()
	if trial {
		c.prefer(c.self)
	}
	for _, v := range c.log.voters {
		if c.votes[v] {
			continue
		}
		c.send(v, &messenger.LogMessage{Term: term, Body: &messenger.LogMessage_Vote{Vote: &messenger.LogVote{
			Trial: trial, LastIndex: c.log.last(), LastTerm: c.log.lastTerm(), Founding: c.foundingMembership(),
		}}})
	}
}

func (c *Core) onVote(from Member, term uint64, v *messenger.LogVote) {
	if v.Trial {
		c.onPreVote(from, term, v)
		return
	}
	granted := (c.vote == Member{} || c.vote == from) && c.isLogUpToDate(v)
	if granted && c.vote != from {
		c.vote = from
		c.stateDirty = true
	}
	if granted {
		c.resetElectionTimer()
	}
	c.send(from, voteReply(false, granted))
}

func (c *Core) onPreVote(from Member, term uint64, v *messenger.LogVote) {
	if term > c.term && !c.hasLiveLeader() && c.isLogUpToDate(v) && c.prefer(from) {
		// Delay this keeper's own vote requests in favor of the candidate.
		c.resetVoteRetryTimer()
		m := voteReply(true, true)
		m.Term = term
		c.send(from, m)
		return
	}
	c.send(from, voteReply(true, false))
}

// isLogUpToDate reports whether the candidate's log contains every entry that
// the local log may have helped to commit.
func (c *Core) isLogUpToDate(v *messenger.LogVote) bool {
	if v.LastTerm != c.log.lastTerm() {
		return v.LastTerm > c.log.lastTerm()
	}
	return v.LastIndex >= c.log.last()
}

func (c *Core) onVoteReply(from Member, term uint64, r *messenger.LogVoteReply) {
	if !r.Granted || !slices.Contains(c.log.voters, from) {
		return
	}
	switch {
	case r.Trial && c.role == PreCandidate && term == c.term+1:
		c.votes[from] = true
		if c.hasVoteMajority() {
			c.startElection()
		}
	case !r.Trial && c.role == Candidate && term == c.term:
		c.votes[from] = true
		if c.hasVoteMajority() {
			c.becomeLeader()
		}
	}
}

func (c *Core) hasVoteMajority() bool {
	n := 0
	for _, v := range c.log.voters {
		if c.votes[v] {
			n++
		}
	}
	return n > len(c.log.voters)/2
}
