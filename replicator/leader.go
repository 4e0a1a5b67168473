package replicator

import (
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// appendBytes bounds the entries of one message.
const appendBytes = 512 << 10

// progress is what a leader knows of one other member.
type progress struct {
	// Match is the last index known to be on the member's disk.
	match uint64
	// Next is the index to send from; match+1 again after silence.
	next uint64
	// Round is the newest broadcast that the member answered.
	round   uint64
	ackedAt time.Time
	// AckedSince is reset at every heartbeat.
	ackedSince bool
	// Silent members get no entries until they answer: all that is not on
	// their disks would else be sent again with every heartbeat, megabytes a
	// second over a link that is cut or slow.
	silent bool
	since  time.Time
	// SinceRound is the leader's broadcast when the member became known: only
	// the answer to a later one shows that its disk still exists.
	sinceRound uint64
	// InstallAt is when a snapshot was sent last.
	installAt time.Time
}

type pendingRead struct {
	ticket Ticket
	// Round must be answered by a majority; it began after the read.
	round uint64
	index uint64
}

type sentRound struct {
	round uint64
	at    time.Time
}

// leadership is the state of a leader's term.
type leadership struct {
	// FirstIndex is the index of the term's first entry.
	firstIndex  uint64
	progress    map[Member]*progress
	proposals   map[uint64]Ticket
	reads       []pendingRead
	round       uint64
	rounds      []sentRound
	confirmed   uint64
	confirmedAt time.Time
	beatAt      time.Time
	// BroadcastDue asks for a broadcast at the end of the step.
	broadcastDue bool
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.self
	c.lead = leadership{
		progress: map[Member]*progress{}, proposals: map[uint64]Ticket{},
		confirmedAt: c.now, firstIndex: c.log.last() + 1,
	}
	c.trackMembers()
	c.appendOwn(&messenger.LogEntry{Kind: messenger.LogEntryKind_LOG_ENTRY_KIND_NOOP})
}

// loseLeadership gives up what waits: whether it will be committed is up to
// the next leader.
func (c *Core) loseLeadership() {
	for _, i := range slices.Sorted(maps.Keys(c.lead.proposals)) {
		c.out = append(c.out, Lost{Ticket: c.lead.proposals[i]})
	}
	for _, r := range c.lead.reads {
		c.out = append(c.out, Lost{Ticket: r.ticket})
	}
	c.confirmedAt = c.lead.confirmedAt
	c.lead = leadership{}
}

// checkQuorum ends a leadership without a majority: a leader that was cut off
// or frozen must stop before it accepts or confirms anything.
func (c *Core) checkQuorum() {
	if c.role == Leader && c.now.Sub(c.lead.confirmedAt) > c.options.Timing.Election {
		c.becomeFollower(c.term, Member{})
	}
}

func (c *Core) appendOwn(e *messenger.LogEntry) {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.append(e)
	c.writeEntry(e)
	c.lead.broadcastDue = true
}

func (c *Core) propose(e Propose) {
	if !c.Ready() {
		c.out = append(c.out, Rejected{Ticket: e.Ticket})
		return
	}
	c.appendOwn(&messenger.LogEntry{Kind: messenger.LogEntryKind_LOG_ENTRY_KIND_CHANGE, Data: e.Data})
	c.lead.proposals[c.log.last()] = e.Ticket
}

// read waits for a round that begins after it: the clock of the leader is not
// trusted, because a VM that was paused may not see the time that it lost.
func (c *Core) read(e Read) {
	if c.role != Leader {
		c.out = append(c.out, Rejected{Ticket: e.Ticket})
		return
	}
	c.lead.reads = append(c.lead.reads, pendingRead{ticket: e.Ticket, round: c.lead.round + 1, index: c.commit})
	c.lead.broadcastDue = true
}

func (c *Core) tickLeader() {
	if c.now.Sub(c.lead.beatAt) < c.options.Timing.Heartbeat {
		return
	}
	for m, p := range c.lead.progress {
		if !p.ackedSince {
			p.next = p.match + 1
			p.silent = true
		}
		p.ackedSince = false
		if !slices.Contains(c.log.voters, m) && c.now.Sub(p.ackedAt) > learnerTimeout && c.now.Sub(p.since) > learnerTimeout {
			delete(c.lead.progress, m)
		}
	}
	c.lead.beatAt = c.now
	c.lead.broadcastDue = true
	c.mendMembership()
}

// trackMembers keeps a progress for every voter besides the leader.
func (c *Core) trackMembers() {
	for _, v := range c.log.voters {
		if v != c.self && c.lead.progress[v] == nil {
			c.lead.progress[v] = &progress{next: c.log.last() + 1, since: c.now, ackedAt: c.now}
		}
	}
}

func (c *Core) broadcast() {
	c.lead.broadcastDue = false
	c.lead.round++
	c.lead.rounds = append(c.lead.rounds, sentRound{round: c.lead.round, at: c.now})
	for _, m := range c.members() {
		c.replicateTo(m, c.lead.progress[m])
	}
	c.confirmRounds()
}

// members returns the tracked members in a fixed order, so that equal inputs
// give equal outputs.
func (c *Core) members() []Member {
	out := make([]Member, 0, len(c.lead.progress))
	for m := range c.lead.progress {
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
		c.installAt(m, p)
		return
	}
	var entries []*messenger.LogEntry
	if !p.silent {
		entries = c.log.from(p.next, appendBytes)
	}
	p.next += uint64(len(entries))
	c.send(m, &messenger.LogMessage{Body: &messenger.LogMessage_Append{Append: &messenger.LogAppend{
		PrevIndex: prev, PrevTerm: t, Entries: entries, CommitIndex: c.commit, Round: c.lead.round,
		ConfirmedAgeMs: c.now.Sub(c.lead.confirmedAt).Milliseconds(),
	}}})
}

// installAt sends the snapshot, at most once an election timeout: it may be
// large, and its answer needs time.
func (c *Core) installAt(m Member, p *progress) {
	if c.now.Sub(p.installAt) < c.options.Timing.Election && !p.installAt.IsZero() {
		return
	}
	p.installAt = c.now
	c.send(m, &messenger.LogMessage{Body: &messenger.LogMessage_Install{Install: &messenger.LogInstall{
		Snapshot: c.log.snapshot, Round: c.lead.round,
	}}})
}

func (c *Core) onAppendReply(from Member, r *messenger.LogAppendReply) {
	p := c.lead.progress[from]
	if c.role != Leader || p == nil {
		return
	}
	p.ackedAt, p.ackedSince, p.silent = c.now, true, false
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

// confirmRounds finds the newest round that a majority answered.
func (c *Core) confirmRounds() {
	r := c.majority(func(p *progress) uint64 { return p.round }, c.lead.round)
	if r <= c.lead.confirmed {
		return
	}
	c.lead.confirmed = r
	for len(c.lead.rounds) > 0 && c.lead.rounds[0].round <= r {
		c.lead.confirmedAt = c.lead.rounds[0].at
		c.lead.rounds = c.lead.rounds[1:]
	}
}

// majority returns the largest value that more than half of the voters reach.
func (c *Core) majority(of func(*progress) uint64, own uint64) uint64 {
	values := make([]uint64, 0, len(c.log.voters))
	for _, v := range c.log.voters {
		switch p := c.lead.progress[v]; {
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

// commitMajority moves the commit index over entries of the own term only:
// an older entry on a majority can still be replaced by a later leader.
func (c *Core) commitMajority() {
	i := c.majority(func(p *progress) uint64 { return p.match }, c.log.last())
	t, ok := c.log.termAt(i)
	if i > c.commit && ok && t == c.term {
		c.setCommit(i)
		c.lead.broadcastDue = true
	}
}

func (c *Core) answerReads() {
	if !c.Ready() {
		return
	}
	rest := c.lead.reads[:0]
	for _, r := range c.lead.reads {
		if r.round > c.lead.confirmed {
			rest = append(rest, r)
			continue
		}
		c.out = append(c.out, Confirmed{Ticket: r.ticket, Index: max(r.index, c.lead.firstIndex)})
	}
	c.lead.reads = rest
}
