package replicator

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

// followLeader becomes a follower of the sender and restarts the election
// timer.
func (c *Core) followLeader(from Member) {
	if c.role != Follower || c.leader != from {
		c.becomeFollower(c.term, from)
	}
	c.leaderHeardAt = c.now
	c.resetElectionTimer()
}

func (c *Core) onAppend(from Member, a *messenger.LogAppend) {
	if c.role == Leader {
		c.halt(merry.Errorf("%w: two leaders in term %d: %s and %s", ErrDiverged, c.term, c.self.Name, from.Name))
		return
	}
	c.followLeader(from)
	if t, ok := c.log.termAt(a.PrevIndex); a.PrevIndex >= c.log.base && (!ok || t != a.PrevTerm) {
		c.send(from, appendReply(false, min(max(a.PrevIndex, 1)-1, c.log.last()), a.Round))
		return
	}
	for _, e := range a.Entries {
		if !c.acceptEntry(e) {
			return
		}
	}
	match := a.PrevIndex + uint64(len(a.Entries))
	c.advanceCommit(min(a.CommitIndex, max(match, c.commit)))
	if c.commit >= a.CommitIndex {
		c.confirmedAt = c.now.Add(-time.Duration(a.ConfirmedAgeMs) * time.Millisecond)
	}
	c.acknowledge(from, match, a.Round)
}

// acceptEntry appends an entry and removes a conflicting tail first. It halts
// the core and returns false if that would remove a committed entry.
func (c *Core) acceptEntry(e *messenger.LogEntry) bool {
	if e.Index <= c.log.base {
		return true
	}
	if t, ok := c.log.termAt(e.Index); ok {
		if t == e.Term {
			return true
		}
		if e.Index <= c.commit {
			c.halt(merry.Errorf("%w: entry %d is of term %d here and of term %d at the leader", ErrDiverged, e.Index, t, e.Term))
			return false
		}
		c.deleteEntryRows(e.Index, c.log.last())
		c.log.truncate(e.Index)
	}
	c.log.append(e)
	c.writeEntry(e)
	return true
}

func (c *Core) onInstall(from Member, in *messenger.LogInstall) {
	if c.role == Leader {
		c.halt(merry.Errorf("%w: two leaders in term %d: %s and %s", ErrDiverged, c.term, c.self.Name, from.Name))
		return
	}
	c.followLeader(from)
	s := in.Snapshot
	if s == nil || xxhash.Sum64(s.Data) != s.Checksum {
		return
	}
	// Entries after the snapshot may already count towards a majority, so a late
	// snapshot must not remove them.
	if t, ok := c.log.termAt(s.Index); s.Index > c.commit && (!ok || t != s.Term) {
		if !c.installSnapshot(s) {
			return
		}
	}
	c.advanceCommit(max(c.commit, s.Index))
	c.acknowledge(from, s.Index, in.Round)
}

// acknowledge reports to the leader that the entries up to an index are on disk.
func (c *Core) acknowledge(from Member, match, round uint64) {
	if match > 1 {
		c.recordAcknowledgment(from)
	}
	c.send(from, appendReply(true, match, round))
}

func (c *Core) installSnapshot(s *messenger.LogSnapshot) bool {
	if err := c.options.Machine.Restore(s.Index, s.Data); err != nil {
		c.halt(merry.Errorf("%w: snapshot %d: %s", ErrCorrupt, s.Index, err.Error()))
		return false
	}
	first, last := c.log.base+1, c.log.last()
	c.log = entryLog{snapshot: s, base: s.Index, baseTerm: s.Term}
	c.log.findVoters()
	c.commit, c.applied = s.Index, s.Index
	c.writeSnapshot()
	c.deleteEntryRows(first, last)
	return true
}

func (c *Core) advanceCommit(i uint64) {
	if i > c.commit {
		c.commit = i
		c.stateDirty = true
	}
}

// finishStep commits and applies entries, and sends the broadcast and read
// confirmations that the step made due.
func (c *Core) finishStep() {
	if c.role == Leader {
		c.commitMajority()
	}
	c.applyCommitted()
	if c.role != Leader {
		return
	}
	if c.leaderState.broadcastDue {
		c.broadcast()
	}
	c.applyCommitted()
	c.confirmReads()
}

func (c *Core) applyCommitted() {
	for c.applied < c.commit && !c.halted {
		c.applied++
		c.apply(c.log.entryAt(c.applied))
	}
	c.compact()
}

func (c *Core) apply(e *messenger.LogEntry) {
	c.appliedBytes += len(e.Data)
	switch e.Kind {
	case messenger.LogEntryKind_LOG_ENTRY_KIND_CHANGE:
		result := c.options.Machine.Apply(e.Index, e.Data)
		if t, ok := c.leaderState.proposals[e.Index]; ok && c.role == Leader {
			delete(c.leaderState.proposals, e.Index)
			c.actions = append(c.actions, ProposalCommitted{Ticket: t, Result: result})
		}
	case messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP:
		if c.role == Leader && !c.IsVoter() {
			c.becomeFollower(c.term, Member{})
		}
	}
}

// compact replaces applied entries with a snapshot. Up to half of CompactAfter
// entries are retained for followers that lag slightly.
func (c *Core) compact() {
	kept := uint64(c.options.CompactAfter / 2)
	if c.options.CompactBytes > 0 && c.appliedBytes > c.options.CompactBytes {
		kept = min(kept, retainedAfterBytesLimit)
	} else if c.applied < c.log.base+uint64(c.options.CompactAfter) {
		return
	}
	if c.halted || c.applied <= c.log.base+kept {
		return
	}
	c.appliedBytes = 0
	t, _ := c.log.termAt(c.applied)
	data := c.options.Machine.Snapshot()
	c.log.snapshot = &messenger.LogSnapshot{
		Index: c.applied, Term: t, Membership: membershipToProto(c.log.votersAt(c.applied)),
		Data: data, Checksum: xxhash.Sum64(data),
	}
	first, upTo := c.log.base+1, c.applied-kept
	c.log.compact(upTo)
	c.writeSnapshot()
	c.deleteEntryRows(first, upTo)
}
