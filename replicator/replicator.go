// Package replicator keeps one log on several keepers: what a majority has on
// disk is committed, in one order, and survives the loss of any minority.
//
// Core is a pure state machine: time, randomness, messages and the rows of
// the disk come in as arguments. Its shell must make the rows of a step
// durable before it carries out any other action of that step.
package replicator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

// Errors of the log. Compare with errors.Is.
var (
	// ErrCorrupt says that the disk lost or changed what may have been
	// acknowledged; the keeper must come back with an empty disk.
	ErrCorrupt = merry.Sentinel("log on disk is corrupt")
	// ErrDiverged says that a message contradicts what is committed here.
	ErrDiverged = merry.Sentinel("log contradicts what is committed")
)

// Member is one disk of one keeper.
type Member struct {
	// Name is the keeper's name in the settings.
	Name string
	// Incarnation is drawn once for each empty disk; 0 stands for any.
	Incarnation uint64
}

// Role is what a core is in its term.
type Role int

// Roles of a core.
const (
	Follower Role = iota
	// Trial asks whether an election would be won, without a new term.
	Trial
	Candidate
	Leader
)

// Timing holds the waits of a core.
type Timing struct {
	// Heartbeat is the pause between broadcasts of a leader.
	Heartbeat time.Duration
	// Election is the least silence of a leader before another is elected,
	// and the longest that a leader goes on without a majority. The actual
	// wait is drawn from Election to twice that.
	Election time.Duration
	// Replace is the silence after which a spare takes a voter's place.
	Replace time.Duration
}

// DefaultTiming elects a new leader well under 2 s after the old one's death.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 100 * time.Millisecond, Election: 600 * time.Millisecond, Replace: 10 * time.Minute}
}

// Machine is the state that committed entries build up. Its methods must
// depend on nothing but the entries.
type Machine interface {
	// Apply takes a committed change in and returns its result.
	Apply(data []byte) any
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Options describe a core.
type Options struct {
	Name string
	// Peers are the names of the other keepers in the settings.
	Peers []string
	// Voters is how many keepers vote; the others are spares.
	Voters  int
	Timing  Timing
	Rand    *rand.Rand
	Machine Machine
	// CompactAfter is the number of applied entries kept beside a snapshot;
	// 0 stands for the default.
	CompactAfter int
	// CompactBytes is how many bytes of applied entries call for a snapshot
	// before CompactAfter does; 0 for no such bound.
	CompactBytes int
	// NeverFounds keeps an empty disk from founding a deployment: it waits to
	// be taken into one. Where members find each other through seeds, a disk
	// that was emptied knows too few names to tell that it is the first.
	NeverFounds bool
}

const (
	defaultCompactAfter = 4096
	// keptAfterBytes is the number of entries kept beside a snapshot that
	// CompactBytes called for: each may be large.
	keptAfterBytes = 16
	// learnerTimeout is the silence after which a learner is forgotten.
	learnerTimeout = 10 * time.Second
	// startPart and startSpread of the election timeout are the least wait and
	// its spread after a start: 0.1 to 0.4 of 0.6 s.
	startPart   = 6
	startSpread = 2
	// helloEvery is in heartbeats.
	helloEvery = 3
)

// Core is the log of one keeper. It is not safe for concurrent use.
type Core struct {
	options    Options
	self       Member
	deployment string
	term       uint64
	// Vote is the candidate that got this term's vote, durable before any
	// reply says so.
	vote   Member
	role   Role
	leader Member
	log    entryLog
	// Commit never goes back and is durable before what it shows leaves.
	commit  uint64
	applied uint64
	// AppliedBytes counts the data applied since the last snapshot.
	appliedBytes int

	now time.Time
	// Heard is when a leader of the current term was last heard of.
	heard   time.Time
	electAt time.Time
	// AskAt is when those are asked again who have not granted a vote.
	askAt   time.Time
	helloAt time.Time
	// ConfirmedAt is when a majority last confirmed the copy held here.
	confirmedAt time.Time
	votes       map[Member]bool
	// Unfounded holds the peers that answered that their disk is empty.
	unfounded map[string]uint64
	lead      leadership

	dirty  bool
	writes []Action
	out    []Action
	halted bool
}

// NewCore returns a core without state; Restore and Start follow.
func NewCore(o Options) *Core {
	if o.CompactAfter == 0 {
		o.CompactAfter = defaultCompactAfter
	}
	return &Core{options: o, self: Member{Name: o.Name}, unfounded: map[string]uint64{}}
}

// Self returns the name and the incarnation of this disk.
func (c *Core) Self() Member { return c.self }

// SetPeers replaces the names of the other keepers: where members find each
// other, names come and go.
func (c *Core) SetPeers(names []string) { c.options.Peers = slices.Clone(names) }

// Role returns what the core is in its term.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Leader returns the leader of the term, or the zero Member.
func (c *Core) Leader() Member { return c.leader }

// Commit returns the last index known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// Deployment returns the identity of the deployment, or "" before founding.
func (c *Core) Deployment() string { return c.deployment }

// Voters returns the members whose majority commits.
func (c *Core) Voters() []Member { return slices.Clone(c.log.voters) }

// CommittedVoters returns the members of the last committed membership.
func (c *Core) CommittedVoters() []Member { return c.log.votersAt(c.commit) }

// Voter reports whether this disk votes.
func (c *Core) Voter() bool { return slices.Contains(c.log.voters, c.self) }

// Ready reports whether the core leads and knows all that was committed
// before its term.
func (c *Core) Ready() bool { return c.role == Leader && c.applied >= c.lead.firstIndex }

// ConfirmedAt returns when a majority last confirmed the copy held here; zero
// when none has since the start.
func (c *Core) ConfirmedAt() time.Time {
	if c.role == Leader {
		return c.lead.confirmedAt
	}
	return c.confirmedAt
}

// Step handles one event. The caller must sync the Write actions, which come
// first, before it carries out the others.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.halted {
		return nil
	}
	c.now = now
	c.checkQuorum()
	switch e := e.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(e.Message)
	case Propose:
		c.propose(e)
	case Read:
		c.read(e)
	}
	c.advance()
	return c.take()
}

// take returns the actions gathered so far, durable rows first.
func (c *Core) take() []Action {
	if c.dirty {
		c.writes = append(c.writes, c.stateRow())
		c.dirty = false
	}
	out := append(c.writes, c.out...)
	c.writes, c.out = nil, nil
	return out
}

func (c *Core) halt(err error) {
	c.halted = true
	c.out = append(c.out, Halt{Err: err})
}

func (c *Core) tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.sayHello()
	if c.Voter() && !c.now.Before(c.electAt) {
		c.beginTrial()
		return
	}
	c.askAgain()
}

// restTimer draws the wait before the next election: drawn at random, so that
// two keepers seldom split the votes.
func (c *Core) restTimer() {
	e := c.options.Timing.Election
	c.electAt = c.now.Add(e + time.Duration(c.options.Rand.Int64N(int64(e))))
}

// startTimer draws a shorter wait for a core that has just started: after a
// loss of power of all keepers nobody leads, and a trial vote disturbs no
// leader that lives.
func (c *Core) startTimer() {
	e := c.options.Timing.Election
	c.electAt = c.now.Add(e/startPart + time.Duration(c.options.Rand.Int64N(int64(e/startSpread))))
}

func (c *Core) send(to Member, m *messenger.LogMessage) {
	m.Deployment = c.deployment
	m.From = c.self.proto()
	m.To = to.proto()
	if m.Term == 0 {
		m.Term = c.term
	}
	c.out = append(c.out, Send{Message: m})
}

func (c *Core) receive(m *messenger.LogMessage) {
	from, to := memberOf(m.From), memberOf(m.To)
	if to.Name != c.self.Name || to.Incarnation != 0 && to.Incarnation != c.self.Incarnation {
		return
	}
	switch b := m.Body.(type) {
	case *messenger.LogMessage_Hello:
		c.onHello(from, m.Deployment)
		return
	case *messenger.LogMessage_HelloReply:
		c.onHelloReply(from, b.HelloReply)
		return
	}
	if !c.adopt(m, to) || !c.followTerm(m) {
		return
	}
	switch b := m.Body.(type) {
	case *messenger.LogMessage_Vote:
		c.onVote(from, m.Term, b.Vote)
	case *messenger.LogMessage_VoteReply:
		c.onVoteReply(from, m.Term, b.VoteReply)
	case *messenger.LogMessage_Append:
		c.onAppend(from, b.Append)
	case *messenger.LogMessage_AppendReply:
		c.onAppendReply(from, b.AppendReply)
	case *messenger.LogMessage_Install:
		c.onInstall(from, b.Install)
	}
}

// followTerm moves to a newer term and reports whether the message belongs to
// the current one. A trial vote and its grant name a term that nobody is in
// yet.
func (c *Core) followTerm(m *messenger.LogMessage) bool {
	v, trial := m.Body.(*messenger.LogMessage_Vote)
	if trial && v.Vote.Trial {
		return true
	}
	r, reply := m.Body.(*messenger.LogMessage_VoteReply)
	if reply && r.VoteReply.Trial && r.VoteReply.Granted {
		return true
	}
	if _, vote := m.Body.(*messenger.LogMessage_Vote); vote && m.Term > c.term && c.leaderAlive() {
		return false
	}
	switch {
	case m.Term > c.term:
		c.becomeFollower(m.Term, Member{})
	case m.Term < c.term:
		c.refuseStale(m)
		return false
	}
	return true
}

// refuseStale tells a stale leader or candidate the newer term: without it a
// leader that was cut off would go on until its majority fails it.
func (c *Core) refuseStale(m *messenger.LogMessage) {
	from := memberOf(m.From)
	switch b := m.Body.(type) {
	case *messenger.LogMessage_Append:
		c.send(from, appendReply(false, c.log.last(), b.Append.Round))
	case *messenger.LogMessage_Install:
		c.send(from, appendReply(false, c.log.last(), b.Install.Round))
	case *messenger.LogMessage_Vote:
		c.send(from, voteReply(false, false))
	}
}

func (c *Core) becomeFollower(term uint64, leader Member) {
	if term > c.term {
		c.term, c.vote = term, Member{}
		c.dirty = true
	}
	if c.role == Leader {
		c.loseLeadership()
	}
	if c.role != Follower {
		c.role = Follower
		c.restTimer()
	}
	c.leader = leader
}
