package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
)

const (
	testFoundingDelay = time.Second
	// foundingTimeout is the time in which a majority of seeds must have a leader, whatever happened before, and
	// ackTimeout that after a single fault.
	foundingTimeout = 30 * time.Second
	ackTimeout      = 4 * time.Second
)

// newSeeds returns three nodes that start for the first time.
func newSeeds(t rapid.TB) *pool {
	p := preparePool(t, 3, 3, fleetTiming())
	p.foundingDelay = testFoundingDelay
	p.startAll()
	return p
}

// restart starts a node again with its disk, or with an empty one.
func (p *pool) restart(name string, wiped bool) {
	p.restarted[name] = true
	if wiped {
		p.nodes[name].disk = map[string]map[string][]byte{}
	}
	p.start(name)
}

// awaitLeader lets time pass until a node leads and commits a further change. It returns the node.
func (p *pool) awaitLeader(timeout time.Duration) *node {
	p.cut = map[string]bool{}
	before := len(p.acked)
	for range timeout / (50 * time.Millisecond) {
		p.flow()
		for _, name := range p.names {
			n := p.nodes[name]
			if p.down[name] || !n.core.Ready() {
				continue
			}
			p.step(name, p.newChange(name))
			if len(p.acked) > before {
				return n
			}
		}
	}
	for _, n := range p.names {
		c := p.nodes[n].core
		p.t.Logf("%s: down %v deployment %q role %d term %d commit %d voters %v", n, p.down[n], c.Deployment(), c.Role(), c.Term(), c.Commit(), c.Voters())
	}
	p.t.Fatalf("nothing is committed")
	return nil
}

// Guards against a deployment that is never founded because one of three seeds is lost, or killed and started
// again, at any moment of the first start.
func TestTwoOfThreeSeedsFoundADeployment(t *testing.T) {
	for _, fault := range []string{"lost", "disk lost", "killed"} {
		for _, name := range []string{"a", "b", "c"} {
			for delivered := range 40 {
				t.Run(fmt.Sprint(fault, " ", name, " ", delivered), func(t *testing.T) {
					p := newSeeds(t)
					for i := 0; i < delivered; {
						if len(p.messages) == 0 {
							p.tick(50 * time.Millisecond)
							continue
						}
						p.deliver(0, false)
						i++
					}
					switch fault {
					case "lost":
						p.down[name] = true
					case "disk lost":
						p.restart(name, true)
					default:
						p.restart(name, false)
					}
					p.awaitLeader(ackTimeout)
				})
			}
		}
	}
}

// Guards against two deployments of the same seeds that both commit, and against seeds that never found one:
// at the first start, messages are lost and doubled, seeds can't reach each other and are killed, and one of
// them loses its disk.
func TestSeedsFoundOneDeployment(t *testing.T) {
	var abandoned, partial int
	rapid.Check(t, func(t *rapid.T) {
		p := newSeeds(t)
		lost := rapid.SampledFrom(append([]string{""}, p.names...)).Draw(t, "lost")
		actions := p.actions()
		for _, x := range []string{"wipe", "crash"} {
			delete(actions, x)
		}
		actions["restart"] = func(*rapid.T) { p.restart(p.name(), false) }
		actions["lose"] = func(*rapid.T) {
			if lost != "" && p.majoritiesSurvive(lost) {
				p.restart(lost, true)
				lost = ""
			}
		}
		actions["wait"] = func(t *rapid.T) {
			for range rapid.IntRange(10, 150).Draw(t, "rounds") {
				p.flow()
			}
		}
		deployments := map[string]string{}
		actions[""] = func(*rapid.T) {
			for _, n := range p.names {
				c := p.nodes[n].core
				if d := deployments[n]; d != "" && d != c.Deployment() {
					abandoned++
				}
				deployments[n] = c.Deployment()
				if slices.ContainsFunc(c.Voters(), func(m replicator.Member) bool { return m.Incarnation == 0 }) {
					partial++
				}
			}
		}
		t.Repeat(actions)
		p.checkAcknowledgedAt(p.awaitLeader(foundingTimeout))
	})
	t.Logf("%d deployments abandoned, %d observations of a membership with a silent seed", abandoned, partial)
	if abandoned == 0 || partial == 0 {
		t.Fatalf("the seeds met too little")
	}
}

// majoritiesSurvive reports whether a majority of every membership that a node uses keeps its disks if a node
// loses its own. A seed that was silent when the deployment was founded counts as lost until it is added.
func (p *pool) majoritiesSurvive(lost string) bool {
	for name, n := range p.nodes {
		v := n.core.Voters()
		gone := 0
		for _, m := range v {
			if m.Name == lost || p.nodes[m.Name].core.Self() != m {
				gone++
			}
		}
		if name != lost && gone > max(len(v)-1, 0)/2 {
			return false
		}
	}
	return true
}

// checkAcknowledgedAt checks that a node has every acknowledged change.
func (p *pool) checkAcknowledgedAt(n *node) {
	for id, v := range p.acked {
		if len(n.machine.history) < v || n.machine.history[v-1] != id {
			p.t.Fatalf("change %s was acknowledged as version %d; history %v", id, v, n.machine.history)
		}
	}
}

// seed is one seed of three that is sent messages by hand, and that has joined a deployment of them.
type seed struct {
	t    *testing.T
	core *replicator.Core
	now  time.Time
	// round is that of the seed's last hello message.
	round uint64
	term  uint64
}

const testDeployment = "first"

func joinedSeed(t *testing.T) *seed {
	s := &seed{t: t, now: time.Unix(1000, 0), term: 2}
	s.core = replicator.NewCore(replicator.Options{
		Name: "c", Peers: []string{"a", "b"}, Voters: 3, Timing: fleetTiming(), FoundingDelay: testFoundingDelay,
		Rand: rand.New(rand.NewPCG(1, 2)), Machine: &register{},
	})
	if _, err := s.core.NewRestorer().Start(s.now); err != nil {
		t.Fatal(err)
	}
	first := &messenger.LogMembership{Voters: []*messenger.LogMember{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 2}, {Name: "c", Incarnation: s.core.Self().Incarnation}}}
	if !s.requestVote("a", 1, first) {
		t.Fatal("the seed does not vote")
	}
	return s
}

// receive passes a message from a keeper whose deployment may differ.
func (s *seed) receive(from string, incarnation uint64, deployment string, m *messenger.LogMessage) []replicator.Action {
	m.From, m.To = &messenger.LogMember{Name: from, Incarnation: incarnation}, &messenger.LogMember{Name: "c", Incarnation: s.core.Self().Incarnation}
	m.Deployment, m.Term = deployment, s.term
	return s.core.Step(s.now, replicator.Receive{Message: m})
}

// requestVote requests a vote of the seed and reports whether it was granted.
func (s *seed) requestVote(from string, incarnation uint64, first *messenger.LogMembership) bool {
	for _, a := range s.receive(from, incarnation, testDeployment, &messenger.LogMessage{Body: &messenger.LogMessage_Vote{Vote: &messenger.LogVote{LastIndex: 1, LastTerm: 1, Founding: first}}}) {
		if m, ok := a.(replicator.Send); ok && m.Message.GetVoteReply().GetGranted() {
			return true
		}
	}
	return false
}

// acknowledge makes the seed acknowledge an entry to a leader.
func (s *seed) acknowledge(from string, incarnation uint64) {
	s.receive(from, incarnation, testDeployment, &messenger.LogMessage{Body: &messenger.LogMessage_Append{Append: &messenger.LogAppend{
		PrevIndex: 1, PrevTerm: 1, Entries: []*messenger.LogEntry{{Index: 2, Term: s.term, Kind: messenger.LogEntryKind_LOG_ENTRY_KIND_NOOP}},
	}}})
}

// report answers the hello message of a round.
func (s *seed) report(from string, incarnation uint64, deployment string, round uint64, committed bool) {
	s.receive(from, incarnation, deployment, &messenger.LogMessage{Body: &messenger.LogMessage_HelloReply{HelloReply: &messenger.LogHelloReply{
		Founded: deployment != "", FoundingSeed: true, Committed: committed, Round: round,
	}}})
}

// wait lets time pass without an answer.
func (s *seed) wait(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(20 * time.Millisecond)
		for _, a := range s.core.Step(s.now, replicator.Tick{}) {
			if m, ok := a.(replicator.Send); ok && m.Message.GetHello() != nil {
				s.round = m.Message.GetHello().Round
			}
		}
	}
}

func (s *seed) expectDeployment(want string) {
	s.t.Helper()
	if got := s.core.Deployment(); got != want {
		s.t.Fatalf("deployment %q, want %q", got, want)
	}
}

// Guards against a deployment that its founder alone can complete: a seed that joins by a vote is a voter.
func TestVoteMakesASeedAVoter(t *testing.T) {
	if s := joinedSeed(t); !s.core.IsVoter() || len(s.core.Voters()) != 3 {
		t.Fatalf("voters %v", s.core.Voters())
	}
}

// Guards against a second vote in one term by a seed that left the deployment in between.
func TestSeedThatLeftADeploymentVotesOnceInATerm(t *testing.T) {
	s := joinedSeed(t)
	incarnation := s.core.Self().Incarnation
	s.wait(foundingTimeout)
	s.expectDeployment("")
	if s.core.Self().Incarnation != incarnation || s.core.Term() < s.term {
		t.Fatalf("%v in term %d", s.core.Self(), s.core.Term())
	}
	s.term = s.core.Term()
	if s.requestVote("b", 2, nil) {
		t.Fatal("a second vote")
	}
}

// Guards against the loss of what was committed: a seed leaves the deployment whose leader counts on it.
func TestSeedThatAcknowledgedAnEntryStays(t *testing.T) {
	s := joinedSeed(t)
	s.wait(2 * time.Second)
	before := s.round
	s.acknowledge("a", 1)
	s.report("a", 1, "", before, false)
	s.wait(30 * time.Second)
	s.expectDeployment(testDeployment)

	s.report("a", 9, "", s.round, false)
	s.wait(30 * time.Second)
	s.expectDeployment(testDeployment)
}

// Guards against a seed that is lost to every deployment: the leader that it acknowledged an entry to has left,
// or another deployment has committed.
func TestSeedLeavesADeploymentThatNeverCommitted(t *testing.T) {
	s := joinedSeed(t)
	s.acknowledge("a", 1)
	s.wait(30 * time.Second)
	s.report("a", 1, "second", s.round, false)
	s.wait(time.Second)
	s.expectDeployment("")

	s = joinedSeed(t)
	s.acknowledge("a", 1)
	s.wait(2 * time.Second)
	s.report("b", 2, "second", s.round, true)
	s.expectDeployment("")
}
