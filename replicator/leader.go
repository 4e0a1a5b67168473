package replicator

import (
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// maxAppendBytes limits the size of the entries in one message.
const maxAppendBytes = 512 << 10

// progress is the leader's view of one other member.
type progress struct {
	// match is the highest index known to be on the member's disk.
	match uint64
	// next is the next index to send. It is reset to match+1 if the member does
	// not answer.
	next uint64
	// round is the latest broadcast round that the member answered.
	round uint64
	// ackedAt is when the member last answered this leader, or the zero time.
	ackedAt time.Time
	// ackedSinceHeartbeat is reset at every heartbeat.
	ackedSinceHeartbeat bool
	// paused is set while the member does not answer, so that it gets no entries.
	// Otherwise every heartbeat would resend all entries that it lacks, megabytes
	// per second over a partitioned or slow link.
	paused    bool
	trackedAt time.Time
	// trackedRound is the leader's broadcast round when tracking began. Only an
	// answer to a later round proves that the disk still exists.
	trackedRound uint64
	// snapshotSentAt is when a snapshot was last sent.
	snapshotSentAt time.Time
}

// pendingRead is a read that waits for confirmation by a majority.
type pendingRead struct {
	ticket Ticket
	// round is a round that began after the read. A majority must answer it.
	round uint64
	index uint64
}

type sentRound struct {
	round uint64
	at    time.Time
}

// leaderState holds what a leader keeps for its term.
type leaderState struct {
	// firstIndex is the index of the first entry of the term.
	firstIndex     uint64
	progress       map[Member]*progress
	proposals      map[uint64]Ticket
	reads          []pendingRead
	round          uint64
	rounds         []sentRound
	confirmedRound uint64
	confirmedAt    time.Time
	heartbeatAt    time.Time
	// heartbeatCommit is the commit index at the previous heartbeat.
	heartbeatCommit uint64
	// broadcastDue requests a broadcast at the end of the step.
	broadcastDue bool
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.self
	c.leaderState = leaderState{
		progress: map[Member]*progress{}, proposals: map[uint64]Ticket{},
		confirmedAt: c.now, firstIndex: c.log.last() + 1, heartbeatCommit: c.commit,
	}
	c.trackMembers()
	c.appendLeaderEntry(&messenger.LogEntry{Kind: messenger.LogEntryKind_LOG_ENTRY_KIND_NOOP})
}

// abandonPending reports an unknown outcome for pending proposals and reads.
// The next leader decides whether the proposals are committed.
func (c *Core) abandonPending() {
	for _, i := range slices.Sorted(maps.Keys(c.leaderState.proposals)) {
		c.actions = append(c.actions, OutcomeUnknown{Ticket: c.leaderState.proposals[i]})
	}
	for _, r := range c.leaderState.reads {
		c.actions = append(c.actions, OutcomeUnknown{Ticket: r.ticket})
	}
	c.confirmedAt = c.leaderState.confirmedAt
	c.leaderState = leaderState{}
}

// checkQuorum steps down a leader that has lost its majority. A leader that
// was partitioned or frozen must stop before it accepts or confirms anything.
func (c *Core) checkQuorum() {
	if c.role == Leader && c.now.Sub(c.leaderState.confirmedAt) > c.options.Timing.ElectionTimeout {
		c.becomeFollower(c.term, Member{})
	}
}

func (c *Core) appendLeaderEntry(e *messenger.LogEntry) {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.append(e)
	c.writeEntry(e)
	c.leaderState.broadcastDue = true
}

func (c *Core) propose(e Propose) {
	if !c.Ready() {
		c.actions = append(c.actions, Rejected{Ticket: e.Ticket})
		return
	}
	c.appendLeaderEntry(&messenger.LogEntry{Kind: messenger.LogEntryKind_LOG_ENTRY_KIND_CHANGE, Data: e.Data})
	c.leaderState.proposals[c.log.last()] = e.Ticket
}

// read queues a read until a majority answers a round that begins after it.
// The leader's clock is not trusted, because a VM that was paused may not
// notice the lost time.
func (c *Core) read(e Read) {
	if c.role != Leader {
		c.actions = append(c.actions, Rejected{Ticket: e.Ticket})
		return
	}
	c.leaderState.reads = append(c.leaderState.reads, pendingRead{ticket: e.Ticket, round: c.leaderState.round + 1, index: c.commit})
	c.leaderState.broadcastDue = true
}

func (c *Core) tickLeader() {
	if c.now.Sub(c.leaderState.heartbeatAt) < c.options.Timing.HeartbeatInterval {
		return
	}
	for m, p := range c.leaderState.progress {
		if !p.ackedSinceHeartbeat {
			p.next = p.match + 1
			p.paused = true
		}
		p.ackedSinceHeartbeat = false
		if !slices.Contains(c.log.voters, m) && c.now.Sub(p.ackedAt) > learnerTimeout && c.now.Sub(p.trackedAt) > learnerTimeout {
			delete(c.leaderState.progress, m)
		}
	}
	c.leaderState.heartbeatAt = c.now
	c.leaderState.broadcastDue = true
	c.repairMembership()
	c.leaderState.heartbeatCommit = c.commit
}

// trackMembers creates progress for every voter except the leader.
func (c *Core) trackMembers() {
	for _, v := range c.log.voters {
		if v != c.self && c.leaderState.progress[v] == nil {
			c.leaderState.progress[v] = &progress{next: c.log.last() + 1, trackedAt: c.now}
		}
	}
}

func (c *Core) broadcast() {
	c.leaderState.broadcastDue = false
	c.leaderState.round++
	c.leaderState.rounds = append(c.leaderState.rounds, sentRound{round: c.leaderState.round, at: c.now})
	for _, m := range c.members() {
		c.replicateTo(m, c.leaderState.progress[m])
	}
	c.confirmRounds()
}

// members returns the tracked members in a fixed order, so that equal inputs
// give equal outputs.
func (c *Core) members() []Member {
	out := make([]Member, 0, len(c.leaderState.progress))
	for m := range c.leaderState.progress {
		out = append(out, m)
	}
	slices.SortFunc(out, compareMembers)
	return out
}

func compareMembers(a, b Member) int {
	switch {
	case a.Name != b.Name && a.Name < b.Name, a.Name == b.Name && a.Incarnation < b.Incarnation:
		return -1
	case a == b:
		return 0
	default:
		return 1
	}
}

func (c *Core) replicateTo(m Member, p *progress) {
	prev := p.next - 1
	t, ok := c.log.termAt(prev)
	if !ok {
		c.sendSnapshot(m, p)
		return
	}
	var entries []*messenger.LogEntry
	if !p.paused {
		entries = c.log.from(p.next, maxAppendBytes)
	}
	p.next += uint64(len(entries))
	c.send(m, &messenger.LogMessage{Body: &messenger.LogMessage_Append{Append: &messenger.LogAppend{
		PrevIndex: prev, PrevTerm: t, Entries: entries, CommitIndex: c.commit, Round: c.leaderState.round,
		ConfirmedAgeMs: c.now.Sub(c.leaderState.confirmedAt).Milliseconds(),
	}}})
}

// sendSnapshot sends the snapshot, but at most once per election timeout,
// because it may be large and take time to be acknowledged.
func (c *Core) sendSnapshot(m Member, p *progress) {
	if c.now.Sub(p.snapshotSentAt) < c.options.Timing.ElectionTimeout && !p.snapshotSentAt.IsZero() {
		return
	}
	p.snapshotSentAt = c.now
	c.send(m, &messenger.LogMessage{Body: &messenger.LogMessage_Install{Install: &messenger.LogInstall{
		Snapshot: c.log.snapshot, Round: c.leaderState.round,
	}}})
}

func (c *Core) onAppendReply(from Member, r *messenger.LogAppendReply) {
	p := c.leaderState.progress[from]
	if c.role != Leader || p == nil {
		return
	}
	p.ackedAt, p.ackedSinceHeartbeat, p.paused = c.now, true, false
	p.round = max(p.round, r.Round)
	if r.Accepted {
		p.match = max(p.match, r.MatchIndex)
		p.next = max(p.next, p.match+1)
	} else if r.MatchIndex+1 < p.next {
		p.next = max(p.match, r.MatchIndex) + 1
	}
	c.confirmRounds()
	c.commitMajority()
	if p.next <= c.log.last() {
		c.replicateTo(from, p)
	}
}

// confirmRounds records the latest round that a majority has answered.
func (c *Core) confirmRounds() {
	r := c.majority(func(p *progress) uint64 { return p.round }, c.leaderState.round)
	if r <= c.leaderState.confirmedRound {
		return
	}
	c.leaderState.confirmedRound = r
	for len(c.leaderState.rounds) > 0 && c.leaderState.rounds[0].round <= r {
		c.leaderState.confirmedAt = c.leaderState.rounds[0].at
		c.leaderState.rounds = c.leaderState.rounds[1:]
	}
}

// majority returns the largest value that more than half of the voters have
// reached.
func (c *Core) majority(of func(*progress) uint64, own uint64) uint64 {
	values := make([]uint64, 0, len(c.log.voters))
	for _, v := range c.log.voters {
		switch p := c.leaderState.progress[v]; {
		case v == c.self:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// commitMajority advances the commit index only to entries of the current
// term. An entry of an older term can still be replaced by a later leader,
// even if a majority has it.
func (c *Core) commitMajority() {
	i := c.majority(func(p *progress) uint64 { return p.match }, c.log.last())
	t, ok := c.log.termAt(i)
	if i > c.commit && ok && t == c.term {
		c.advanceCommit(i)
		c.leaderState.broadcastDue = true
	}
}

func (c *Core) confirmReads() {
	if !c.Ready() {
		return
	}
	rest := c.leaderState.reads[:0]
	for _, r := range c.leaderState.reads {
		if r.round > c.leaderState.confirmedRound {
			rest = append(rest, r)
			continue
		}
		c.actions = append(c.actions, ReadConfirmed{Ticket: r.ticket, Index: max(r.index, c.leaderState.firstIndex)})
	}
	c.leaderState.reads = rest
}
