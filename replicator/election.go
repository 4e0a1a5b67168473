package replicator

import (
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// leaderAlive reports whether a leader was heard of so recently that its
// majority may still hold: then nobody else gets a vote, so that one keeper
// with a bad link can't unseat a healthy leader.
func (c *Core) leaderAlive() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != Member{} && c.now.Sub(c.heard) < c.options.Timing.Election
}

// beginTrial asks the others whether they would vote, in the present term:
// a keeper that comes back from a cut must not raise the term of the rest.
func (c *Core) beginTrial() {
	c.role = Trial
	c.leader = Member{}
	c.restTimer()
	c.votes = map[Member]bool{c.self: true}
	if c.won() {
		c.beginElection()
		return
	}
	c.askVotes(true, c.term+1)
}

// beginElection opens a term with a vote for itself.
func (c *Core) beginElection() {
	c.role = Candidate
	c.term++
	c.vote = c.self
	c.dirty = true
	c.restTimer()
	c.votes = map[Member]bool{c.self: true}
	if c.won() {
		c.becomeLeader()
		return
	}
	c.askVotes(false, c.term)
}

// askAgain repeats the question for votes to those who have not granted one: the
// first may be lost, as when all keepers start together and some don't listen
// yet. Without that nobody led for 1.1 s after a loss of power of all.
func (c *Core) askAgain() {
	if c.now.Before(c.askAt) {
		return
	}
	switch c.role {
	case Trial:
		c.askVotes(true, c.term+1)
	case Candidate:
		c.askVotes(false, c.term)
	}
}

// restAsking draws the wait before votes are asked for again, at random: those
// who ask at the same moment split the votes.
func (c *Core) restAsking() {
	h := c.options.Timing.Heartbeat
	c.askAt = c.now.Add(h/2 + time.Duration(c.options.Rand.Int64N(int64(h))))
}

func (c *Core) askVotes(trial bool, term uint64) {
	c.restAsking()
	for _, v := range c.log.voters {
		if c.votes[v] {
			continue
		}
		c.send(v, &messenger.LogMessage{Term: term, Body: &messenger.LogMessage_Vote{Vote: &messenger.LogVote{
			Trial: trial, LastIndex: c.log.last(), LastTerm: c.log.lastTerm(),
		}}})
	}
}

func (c *Core) onVote(from Member, term uint64, v *messenger.LogVote) {
	if v.Trial {
		c.onTrial(from, term, v)
		return
	}
	granted := (c.vote == Member{} || c.vote == from) && c.atLeastAsLong(v)
	if granted && c.vote != from {
		c.vote = from
		c.dirty = true
	}
	if granted {
		c.restTimer()
	}
	c.send(from, voteReply(false, granted))
}

func (c *Core) onTrial(from Member, term uint64, v *messenger.LogVote) {
	if term > c.term && !c.leaderAlive() && c.atLeastAsLong(v) {
		// Whoever was promised a vote goes first.
		c.restAsking()
		m := voteReply(true, true)
		m.Term = term
		c.send(from, m)
		return
	}
	c.send(from, voteReply(true, false))
}

// atLeastAsLong reports whether the candidate's log has all that this one's
// may have helped to commit.
func (c *Core) atLeastAsLong(v *messenger.LogVote) bool {
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
	case r.Trial && c.role == Trial && term == c.term+1:
		c.votes[from] = true
		if c.won() {
			c.beginElection()
		}
	case !r.Trial && c.role == Candidate && term == c.term:
		c.votes[from] = true
		if c.won() {
			c.becomeLeader()
		}
	}
}

func (c *Core) won() bool {
	n := 0
	for _, v := range c.log.voters {
		if c.votes[v] {
			n++
		}
	}
	return n > len(c.log.voters)/2
}
