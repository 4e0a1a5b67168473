// Package replicator implements a replicated log in the style of Raft. An
// entry is committed once a majority of voters has it on disk. All keepers see
// committed entries in the same order, and entries survive the loss of any
// minority.
//
// Core is a pure state machine: time, randomness, messages and stored rows are
// passed in as arguments. Its caller must make the rows of a step durable
// before it carries out any other action of that step.
package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

// Errors of the log. Compare with errors.Is.
var (
	// ErrCorrupt reports that the disk lost or changed data that may have been
	// acknowledged. The keeper must restart with an empty disk.
	ErrCorrupt = merry.Sentinel("log on disk is corrupt")
	// ErrDiverged reports that a message contradicts the entries committed here.
	ErrDiverged = merry.Sentinel("log contradicts what is committed")
)

// Member identifies one disk of one keeper.
type Member struct {
	// Name is the keeper's name in the settings.
	Name string
	// Incarnation is a random number drawn once for each empty disk. 0 matches any
	// incarnation.
	Incarnation uint64
}

// String returns the member as name@incarnation.
func (m Member) String() string { return fmt.Sprintf("%s@%016x", m.Name, m.Incarnation) }

// Role is the role of a core in its current term.
type Role int

// Roles of a core.
const (
	Follower Role = iota
	// PreCandidate asks whether it would win an election, without starting a new
	// term (a pre-vote).
	PreCandidate
	Candidate
	Leader
)

// Timing holds the intervals and timeouts of a core.
type Timing struct {
	// HeartbeatInterval is the interval between broadcasts of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum silence of a leader before an election
	// starts, and the maximum time that a leader stays in office without a
	// majority. The actual wait is drawn from ElectionTimeout to twice that.
	ElectionTimeout time.Duration
	// Replace is the silence after which a spare replaces a voter.
	Replace time.Duration
}

// DefaultTiming returns timings that elect a new leader well under 2 s after
// the failure of the old one.
func DefaultTiming() Timing {
	return Timing{HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 600 * time.Millisecond, Replace: 10 * time.Minute}
}

// StateMachine is the state built from committed entries. Its methods must be
// deterministic functions of the entries.
type StateMachine interface {
	// Apply applies the committed change of the log entry with an index and returns its result.
	Apply(index uint64, data []byte) any
	Snapshot() []byte
	// Restore replaces the state by a snapshot that was taken after the entry with an index.
	Restore(index uint64, snapshot []byte) error
}

// Options configures a core.
type Options struct {
	Name string
	// Peers are the names of the other keepers in the settings.
	Peers []string
	// Voters is the number of keepers that vote. The others are spares.
	Voters int
	// Zone returns the availability zone of a keeper, or "" if it is not known. Voters are spread over
	// the zones. Nil stands for no known zones.
	Zone    func(name string) string
	Timing  Timing
	Rand    *rand.Rand
	Machine StateMachine
	// CompactAfter is the number of applied entries after which a snapshot is
	// taken. Half of them are retained beside it. 0 selects the default.
	CompactAfter int
	// CompactBytes is the size of applied entries above which a snapshot is taken
	// before CompactAfter is reached. 0 disables the limit.
	CompactBytes int
	// NoFounding prevents a keeper with an empty disk from founding a deployment,
	// so that it waits to be added to one. It is needed where members discover
	// each other through seeds: a keeper whose disk was erased knows too few names
	// to tell whether it is the first.
	NoFounding bool
	// FoundingDelay is the time after the start from which a majority of the
	// keepers may found the deployment without the others. 0 waits for all of them.
	FoundingDelay time.Duration
}

const (
	defaultCompactAfter = 4096
	// retainedAfterBytesLimit is the number of entries retained beside a snapshot
	// triggered by CompactBytes. It is small because each entry may be large.
	retainedAfterBytesLimit = 16
	// learnerTimeout is the silence after which a leader stops tracking a learner.
	learnerTimeout = 10 * time.Second
	// startupMinDivisor and startupSpreadDivisor divide the election timeout to
	// get the minimum and the random part of the wait after a start: 0.1 to 0.4 s
	// for a timeout of 0.6 s.
	startupMinDivisor    = 6
	startupSpreadDivisor = 2
	// helloIntervalHeartbeats is the interval between hello messages, in heartbeat
	// intervals.
	helloIntervalHeartbeats = 3
)

// Core is the consensus state of one keeper. It is not safe for concurrent
// use.
type Core struct {
	options    Options
	self       Member
	deployment string
	term       uint64
	// vote is the candidate that received the vote in this term. It is made
	// durable before the reply is sent.
	vote   Member
	role   Role
	leader Member
	log    entryLog
	// commit is the highest index known to be committed. It never decreases and is
	// durable before anything that depends on it is sent.
	commit  uint64
	applied uint64
	// appliedBytes is the size of the data applied since the last snapshot.
	appliedBytes int

	now time.Time
	// leaderHeardAt is when the leader of the current term last sent a message.
	leaderHeardAt time.Time
	electionAt    time.Time
	// voteRetryAt is when voters that have not granted a vote are asked again.
	voteRetryAt time.Time
	preferred   preference
	helloAt     time.Time
	// confirmedAt is when a majority last confirmed that the local copy is
	// current.
	confirmedAt time.Time
	votes       map[Member]bool
	founding    founding
	leaderState leaderState

	stateDirty bool
	writes     []Action
	actions    []Action
	halted     bool
}

// NewCore returns a core without state. Load its rows with NewRestorer and
// Restorer.Start before the first Step.
func NewCore(o Options) *Core {
	if o.CompactAfter == 0 {
		o.CompactAfter = defaultCompactAfter
	}
	return &Core{options: o, self: Member{Name: o.Name}}
}

// Self returns the name and incarnation of the local disk.
func (c *Core) Self() Member { return c.self }

// SetPeers replaces the names of the other keepers, which change where members
// discover each other.
func (c *Core) SetPeers(names []string) { c.options.Peers = slices.Clone(names) }

// Role returns the role of the core in its current term.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Leader returns the known leader of the current term, or the zero Member.
func (c *Core) Leader() Member { return c.leader }

// Commit returns the last index known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// Deployment returns the ID of the deployment, or "" before it is founded.
func (c *Core) Deployment() string { return c.deployment }

// Voters returns the latest membership in the log, committed or not. A
// majority of it commits entries.
func (c *Core) Voters() []Member { return slices.Clone(c.log.voters) }

// CommittedVoters returns the voters of the last committed membership.
func (c *Core) CommittedVoters() []Member { return c.log.votersAt(c.commit) }

// IsVoter reports whether the local disk is a voter.
func (c *Core) IsVoter() bool { return slices.Contains(c.log.voters, c.self) }

// Ready reports whether the core is the leader and has applied everything that
// was committed before its term.
func (c *Core) Ready() bool { return c.role == Leader && c.applied >= c.leaderState.firstIndex }

// ConfirmedAt returns when a majority last confirmed that the local copy is
// current, or the zero time if none has since the start.
func (c *Core) ConfirmedAt() time.Time {
	if c.role == Leader {
		return c.leaderState.confirmedAt
	}
	return c.confirmedAt
}

// Step handles events that arrived together. The returned Write actions come
// first, and the caller must sync them before it carries out the others.
// However many changes the events propose and commit, a leader sends each
// member one message for all of them.
func (c *Core) Step(now time.Time, events ...Event) []Action {
	if c.halted {
		return nil
	}
	c.now = now
	c.checkQuorum()
	for _, e := range events {
		if !c.halted {
			c.handle(e)
		}
	}
	c.finishStep()
	return c.takeActions()
}

func (c *Core) handle(e Event) {
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
}

// takeActions returns and clears the collected actions, with durable rows
// first and the state row last among them.
func (c *Core) takeActions() []Action {
	if c.stateDirty {
		c.writes = append(c.writes, c.stateRow())
		c.stateDirty = false
	}
	out := append(c.writes, c.actions...)
	c.writes, c.actions = nil, nil
	return out
}

func (c *Core) halt(err error) {
	c.halted = true
	c.actions = append(c.actions, Halt{Err: err})
}

func (c *Core) tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.tryAbandon()
	c.sendHello()
	if c.IsVoter() && !c.now.Before(c.electionAt) {
		c.startPreVote()
		return
	}
	c.retryVoteRequests()
}

// resetElectionTimer sets a random wait before the next election. Randomness
// makes split votes between keepers unlikely.
func (c *Core) resetElectionTimer() {
	e := c.options.Timing.ElectionTimeout
	c.electionAt = c.now.Add(e + time.Duration(c.options.Rand.Int64N(int64(e))))
}

// setStartupElectionTimer sets a shorter random wait after a start. If all
// keepers lost power there is no leader, and a pre-vote does not disturb a
// leader that is still alive.
func (c *Core) setStartupElectionTimer() {
	e := c.options.Timing.ElectionTimeout
	c.electionAt = c.now.Add(e/startupMinDivisor + time.Duration(c.options.Rand.Int64N(int64(e/startupSpreadDivisor))))
}

func (c *Core) send(to Member, m *messenger.LogMessage) {
	m.Deployment = c.deployment
	m.From = c.self.proto()
	m.To = to.proto()
	if m.Term == 0 {
		m.Term = c.term
	}
	c.actions = append(c.actions, Send{Message: m})
}

func (c *Core) receive(m *messenger.LogMessage) {
	from, to := memberFromProto(m.From), memberFromProto(m.To)
	if to.Name != c.self.Name || to.Incarnation != 0 && to.Incarnation != c.self.Incarnation {
		return
	}
	switch b := m.Body.(type) {
	case *messenger.LogMessage_Hello:
		c.onHello(from, m.Deployment, b.Hello.Round)
		return
	case *messenger.LogMessage_HelloReply:
		c.onHelloReply(from, m.Deployment, b.HelloReply)
		return
	}
	if !c.checkDeployment(m, to) || !c.followTerm(m) {
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

// followTerm adopts a newer term and reports whether the message belongs to
// the current term. Pre-votes and their grants are always accepted, because
// they name a term that has not started yet. Vote requests for a newer term
// are ignored while the leader is alive.
func (c *Core) followTerm(m *messenger.LogMessage) bool {
	v, trial := m.Body.(*messenger.LogMessage_Vote)
	if trial && v.Vote.Trial {
		return true
	}
	r, reply := m.Body.(*messenger.LogMessage_VoteReply)
	if reply && r.VoteReply.Trial && r.VoteReply.Granted {
		return true
	}
	if _, vote := m.Body.(*messenger.LogMessage_Vote); vote && m.Term > c.term && c.hasLiveLeader() {
		return false
	}
	switch {
	case m.Term > c.term:
		c.becomeFollower(m.Term, Member{})
	case m.Term < c.term:
		c.rejectStale(m)
		return false
	}
	return true
}

// rejectStale informs a stale leader or candidate of the newer term. Otherwise
// a leader that was partitioned would continue until it loses its majority.
func (c *Core) rejectStale(m *messenger.LogMessage) {
	from := memberFromProto(m.From)
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
		c.stateDirty = true
	}
	if c.role == Leader {
		c.abandonPending()
	}
	if c.role != Follower {
		c.role = Follower
		c.resetElectionTimer()
	}
	c.leader = leader
}
