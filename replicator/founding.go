package replicator

import (
	"fmt"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// Only disks that were empty at the first start of all keepers found a
// deployment. They carry the names of all keepers that may, the founding seeds.
// Several deployments of the same seeds may be founded, but only one commits:
//   - The first membership of each has all seeds, so that a commit needs a majority of them. A seed that was
//     silent is in it without an incarnation, and can't vote.
//   - A disk that replaces a lost one is no seed.
//   - A disk belongs to one deployment at a time. It leaves one only if it helped to commit nothing there: it
//     knows nothing to be committed, and the leaders that it acknowledged entries to have left as well. Once
//     another deployment has committed, this one never has.
// A disk that leaves keeps its term and its vote, because it may join the same
// deployment again.

const (
	// reportLifetimeHellos is the number of rounds of hello messages for which the
	// report of a peer counts.
	reportLifetimeHellos = 3
	// abandonDelayFactor times the founding delay is the minimum time without a
	// leader after which a disk leaves a deployment.
	abandonDelayFactor = 3
)

// seedReport is what a peer reported of its disk.
type seedReport struct {
	incarnation uint64
	// round is that of the hello message that the report answers.
	round uint64
	// isSeed is set if the disk may found a deployment while it belongs to none.
	isSeed     bool
	deployment string
}

// founding is what a disk knows of the founding of its deployment.
type founding struct {
	// seeds are the names of the keepers that may found the deployment, sorted. It
	// is empty on a disk that may not. It is durable.
	seeds []string
	// acknowledgedTo holds the leaders to which this disk acknowledged entries before
	// it knew anything to be committed, with the last round of hello messages before.
	// The members are durable.
	acknowledgedTo map[Member]uint64
	// round counts the hello messages. It continues from the time of the start, so that replies to an earlier
	// process don't match.
	round   uint64
	reports map[string]seedReport
	// waitUntil is the time from which a majority of the seeds is enough.
	waitUntil time.Time
	// leaderlessSince is when the disk joined its deployment, or was started with it.
	leaderlessSince time.Time
	// abandonDelay is drawn at random, so that seeds that wait for each other leave at
	// different times.
	abandonDelay time.Duration
}

// FoundingSeeds returns the names of the keepers with which the local disk may
// found a deployment, or none.
func (c *Core) FoundingSeeds() []string { return slices.Clone(c.founding.seeds) }

// mayFound reports whether the local disk may found a deployment.
func (c *Core) mayFound() bool { return c.deployment == "" && len(c.founding.seeds) > 0 }

// initializeFounding prepares an empty disk.
func (c *Core) initializeFounding() {
	c.founding.round = uint64(c.now.UnixNano())
	if !c.options.NoFounding {
		c.founding.seeds = append(slices.Clone(c.options.Peers), c.self.Name)
		slices.Sort(c.founding.seeds)
	}
	c.resetFounding()
}

// restoreFounding prepares a disk that was in use before.
func (c *Core) restoreFounding(s *messenger.LogState) {
	c.founding.round = uint64(c.now.UnixNano())
	c.founding.seeds = s.FoundingSeeds
	c.resetFounding()
	for _, m := range membersFromProto(s.AcknowledgedTo) {
		c.founding.acknowledgedTo[m] = c.founding.round
	}
}

// resetFounding starts the waits of a founding anew.
func (c *Core) resetFounding() {
	c.founding.acknowledgedTo, c.founding.reports = map[Member]uint64{}, map[string]seedReport{}
	c.founding.waitUntil = c.now.Add(c.options.FoundingDelay)
	c.founding.leaderlessSince = c.now
	if d := abandonDelayFactor * c.options.FoundingDelay; d > 0 {
		c.founding.abandonDelay = d + time.Duration(c.options.Rand.Int64N(int64(d)))
	}
}

// checkDeployment reports whether a message belongs to this deployment. A
// keeper with an empty disk joins the deployment of the first message that
// names its incarnation, because only a keeper that has heard from this disk
// knows it.
func (c *Core) checkDeployment(m *messenger.LogMessage, to Member) bool {
	if c.deployment == "" && m.Deployment != "" && to.Incarnation == c.self.Incarnation {
		c.joinDeployment(m.Deployment, m.GetVote().GetFounding())
	}
	return m.Deployment != "" && m.Deployment == c.deployment
}

// joinDeployment makes an empty disk part of a deployment, with its first
// membership unless that is nil.
func (c *Core) joinDeployment(id string, first *messenger.LogMembership) {
	c.deployment = id
	c.founding.leaderlessSince = c.now
	c.stateDirty = true
	if first == nil {
		return
	}
	c.term = max(c.term, 1)
	e := &messenger.LogEntry{Index: 1, Term: 1, Kind: messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP, Membership: first}
	c.log.append(e)
	c.writeEntry(e)
	c.resetElectionTimer()
}

func (c *Core) onHelloReply(from Member, deployment string, r *messenger.LogHelloReply) {
	if c.founding.round-r.Round < reportLifetimeHellos {
		c.founding.reports[from.Name] = seedReport{incarnation: from.Incarnation, round: r.Round, isSeed: r.FoundingSeed, deployment: deployment}
	}
	if c.options.FoundingDelay > 0 && c.deployment != "" && deployment != c.deployment && r.Committed && c.commit == 0 {
		c.abandonDeployment()
	}
	c.tryFound()
}

// tryFound founds a deployment if this keeper is the first by name of the seeds
// that report an empty disk: at once if all of them do, and after the founding
// delay if a majority does.
func (c *Core) tryFound() {
	if !c.mayFound() {
		return
	}
	members, silent := c.foundingMembers()
	if silent > 0 && !c.canFoundWithout(silent) {
		return
	}
	first := slices.IndexFunc(members, func(m Member) bool { return m.Incarnation != 0 })
	if members[first] != c.self {
		return
	}
	if c.options.FoundingDelay == 0 {
		members = members[:min(max(c.options.Voters, 1), len(members))]
	}
	c.joinDeployment(fmt.Sprintf("%016x%016x", c.options.Rand.Uint64(), c.options.Rand.Uint64()), membershipToProto(members))
	c.electionAt = c.now
}

// foundingMembers returns the members of a deployment founded now, sorted by
// name, and how many of them are silent. These have no incarnation.
func (c *Core) foundingMembers() (members []Member, silent int) {
	for _, name := range c.founding.seeds {
		m := Member{Name: name}
		switch r, ok := c.founding.reports[name]; {
		case name == c.self.Name:
			m = c.self
		case ok && r.isSeed && r.deployment == "" && c.founding.round-r.round < reportLifetimeHellos:
			m.Incarnation = r.incarnation
		default:
			silent++
		}
		members = append(members, m)
	}
	return members, silent
}

// canFoundWithout reports whether the founding need not wait for a number of
// silent seeds.
func (c *Core) canFoundWithout(silent int) bool {
	n := len(c.founding.seeds)
	return c.options.FoundingDelay > 0 && n-silent > n/2 && !c.now.Before(c.founding.waitUntil)
}

// foundingMembership returns the membership of the first entry if the log has no
// other, or nil.
func (c *Core) foundingMembership() *messenger.LogMembership {
	if c.log.base > 0 || c.log.last() != 1 {
		return nil
	}
	return c.log.entryAt(1).Membership
}

// recordAcknowledgment records that a leader may count on this disk.
func (c *Core) recordAcknowledgment(leader Member) {
	if c.commit > 0 {
		return
	}
	if _, ok := c.founding.acknowledgedTo[leader]; !ok {
		c.stateDirty = true
	}
	c.founding.acknowledgedTo[leader] = c.founding.round
}

// hasContributed reports whether this disk may have helped to commit an entry. A
// leader that has left since the acknowledgment has committed nothing.
func (c *Core) hasContributed() bool {
	if c.commit > 0 {
		return true
	}
	for leader, round := range c.founding.acknowledgedTo {
		r, ok := c.founding.reports[leader.Name]
		if !ok || r.round <= round || r.incarnation != leader.Incarnation || r.deployment == c.deployment {
			return true
		}
	}
	return false
}

// tryAbandon leaves a deployment without a leader. Its members may be gone, or
// part of another deployment.
func (c *Core) tryAbandon() {
	if c.options.FoundingDelay == 0 || c.deployment == "" || len(c.founding.seeds) == 0 || c.hasContributed() {
		return
	}
	silence := c.now.Sub(c.founding.leaderlessSince)
	if !c.leaderHeardAt.IsZero() {
		silence = min(silence, c.now.Sub(c.leaderHeardAt))
	}
	if silence >= c.founding.abandonDelay {
		c.abandonDeployment()
	}
}

// abandonDeployment empties this disk.
func (c *Core) abandonDeployment() {
	c.deleteEntryRows(1, c.log.last())
	c.log = entryLog{}
	c.becomeFollower(c.term, Member{})
	c.deployment, c.leaderHeardAt, c.confirmedAt = "", time.Time{}, time.Time{}
	c.resetFounding()
}
