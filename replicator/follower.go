package replicator

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

func (c *Core) hear(from Member) {
	if c.role != Follower || c.leader != from {
		c.becomeFollower(c.term, from)
	}
	c.heard = c.now
	c.restTimer()
}

func (c *Core) onAppend(from Member, a *messenger.LogAppend) {
	if c.role == Leader {
		c.halt(merry.Errorf("%w: two leaders in term %d: %s and %s", ErrDiverged, c.term, c.self.Name, from.Name))
		return
	}
	c.hear(from)
	if t, ok := c.log.termAt(a.PrevIndex); a.PrevIndex >= c.log.base && (!ok || t != a.PrevTerm) {
		c.send(from, appendReply(false, min(max(a.PrevIndex, 1)-1, c.log.last()), a.Round))
		return
	}
	for _, e := range a.Entries {
		if !c.takeEntry(e) {
			return
		}
	}
	match := a.PrevIndex + uint64(len(a.Entries))
	c.setCommit(min(a.CommitIndex, max(match, c.commit)))
	if c.commit >= a.CommitIndex {
		c.confirmedAt = c.now.Add(-time.Duration(a.ConfirmedAgeMs) * time.Millisecond)
	}
	c.send(from, appendReply(true, match, a.Round))
}

// takeEntry appends an entry, replacing a conflicting tail; it reports false
// when that would undo a committed one.
func (c *Core) takeEntry(e *messenger.LogEntry) bool {
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
		c.dropEntries(e.Index, c.log.last())
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
	c.hear(from)
	s := in.Snapshot
	if s == nil || xxhash.Sum64(s.Data) != s.Checksum {
		return
	}
	// Entries beyond the snapshot may count for a majority already: a late
	// snapshot must not take them away.
	if t, ok := c.log.termAt(s.Index); s.Index > c.commit && (!ok || t != s.Term) {
		if !c.installSnapshot(s) {
			return
		}
	}
	c.setCommit(max(c.commit, s.Index))
	c.send(from, appendReply(true, s.Index, in.Round))
}

func (c *Core) installSnapshot(s *messenger.LogSnapshot) bool {
	if err := c.options.Machine.Restore(s.Data); err != nil {
		c.halt(merry.Errorf("%w: snapshot %d: %s", ErrCorrupt, s.Index, err.Error()))
		return false
	}
	first, last := c.log.base+1, c.log.last()
	c.log = entryLog{snapshot: s, base: s.Index, baseTerm: s.Term}
	c.log.findVoters()
	c.commit, c.applied = s.Index, s.Index
	c.writeSnapshot()
	c.dropEntries(first, last)
	return true
}

func (c *Core) setCommit(i uint64) {
	if i > c.commit {
		c.commit = i
		c.dirty = true
	}
}

// advance applies what is committed and sends what the step made due.
func (c *Core) advance() {
	if c.role == Leader {
		c.commitMajority()
	}
	c.applyCommitted()
	if c.role != Leader {
		return
	}
	if c.lead.broadcastDue {
		c.broadcast()
	}
	c.applyCommitted()
	c.answerReads()
}

func (c *Core) applyCommitted() {
	for c.applied < c.commit && !c.halted {
		c.applied++
		c.apply(c.log.at(c.applied))
	}
	c.compact()
}

func (c *Core) apply(e *messenger.LogEntry) {
	c.appliedBytes += len(e.Data)
	switch e.Kind {
	case messenger.LogEntryKind_LOG_ENTRY_KIND_CHANGE:
		result := c.options.Machine.Apply(e.Data)
		if t, ok := c.lead.proposals[e.Index]; ok && c.role == Leader {
			delete(c.lead.proposals, e.Index)
			c.out = append(c.out, Answered{Ticket: t, Result: result})
		}
	case messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP:
		if c.role == Leader && !c.Voter() {
			c.becomeFollower(c.term, Member{})
		}
	}
}

// compact replaces applied entries by a snapshot; half of them stay beside it
// for followers that lag a little.
func (c *Core) compact() {
	kept := uint64(c.options.CompactAfter / 2)
	if c.options.CompactBytes > 0 && c.appliedBytes > c.options.CompactBytes {
		kept = min(kept, keptAfterBytes)
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
		Index: c.applied, Term: t, Membership: membershipOf(c.log.votersAt(c.applied)),
		Data: data, Checksum: xxhash.Sum64(data),
	}
	first, upTo := c.log.base+1, c.applied-kept
	c.log.compact(upTo)
	c.writeSnapshot()
	c.dropEntries(first, upTo)
}
