package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
)

func (p *pool) leaderName() string {
	for _, n := range p.names {
		if p.nodes[n].core.Role() == replicator.Leader {
			return n
		}
	}
	return ""
}

// TestIsolatedLeaderStepsDown guards against a leader without a majority that
// still accepts changes, because only a reply can end its term. The test
// isolates the leader without notice, proposes a change to it and lets time
// pass.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	p := newPool(t, 3)
	p.settle()
	l := p.leaderName()
	p.isolateLeader()
	p.offer(l, 0)
	for range 14 {
		p.flow()
	}
	if p.nodes[l].core.Role() == replicator.Leader {
		t.Fatalf("still leads 700 ms after the cut")
	}
	p.ticket++
	for _, a := range p.nodes[l].core.Step(p.nodes[l].now, replicator.Propose{Ticket: p.ticket, Data: []byte("x/0")}) {
		if _, ok := a.(replicator.Rejected); !ok {
			t.Fatalf("a change was taken: %T", a)
		}
	}
}

// TestHealthyLeaderStays guards against an election while the leader is
// healthy, caused by vote requests that raise the term of keepers that hear
// their leader. One keeper stops hearing the leader and requests votes
// repeatedly, while everybody hears that keeper. Then the link heals.
func TestHealthyLeaderStays(t *testing.T) {
	p := newPool(t, 3)
	p.settle()
	l := p.leaderName()
	term := p.nodes[l].core.Term()
	for _, n := range p.names {
		if n != l {
			p.cut[l+n] = true
			break
		}
	}
	for range 100 {
		p.flow()
	}
	p.cut = map[string]bool{}
	for range 100 {
		p.flow()
	}
	if p.leaderName() != l || p.nodes[l].core.Term() != term {
		t.Fatalf("term %d of %s became term %d of %s", term, l, p.nodes[l].core.Term(), p.leaderName())
	}
}

// TestLateSnapshotKeepsTail guards against the loss of a committed change that
// a majority has acknowledged, caused by a snapshot that replaces the whole
// log. A follower has acknowledged entries 1 to 10 on disk when a snapshot up
// to entry 5, sent earlier, arrives.
func TestLateSnapshotKeepsTail(t *testing.T) {
	now := time.Unix(1000, 0)
	c := replicator.NewCore(replicator.Options{
		Name: "b", Peers: []string{"a"}, Voters: 2, Timing: replicator.DefaultTiming(),
		Rand: rand.New(rand.NewPCG(1, 1)), Machine: &register{},
	})
	if _, err := c.NewRestorer().Start(now); err != nil {
		t.Fatal(err)
	}
	send := func(m *messenger.LogMessage) *messenger.LogAppendReply {
		m.Deployment, m.Term = "d", 1
		m.From = &messenger.LogMember{Name: "a", Incarnation: 1}
		m.To = &messenger.LogMember{Name: "b", Incarnation: c.Self().Incarnation}
		for _, a := range c.Step(now, replicator.Receive{Message: m}) {
			if s, ok := a.(replicator.Send); ok {
				return s.Message.GetAppendReply()
			}
		}
		return nil
	}
	var entries []*messenger.LogEntry
	for i := range uint64(10) {
		entries = append(entries, &messenger.LogEntry{Index: i + 1, Term: 1, Kind: messenger.LogEntryKind_LOG_ENTRY_KIND_NOOP})
	}
	if r := send(&messenger.LogMessage{Body: &messenger.LogMessage_Append{Append: &messenger.LogAppend{Entries: entries}}}); !r.GetAccepted() || r.MatchIndex != 10 {
		t.Fatalf("entries: %v", r)
	}
	snapshot := &messenger.LogSnapshot{Index: 5, Term: 1, Checksum: xxhash.Sum64(nil)}
	if r := send(&messenger.LogMessage{Body: &messenger.LogMessage_Install{Install: &messenger.LogInstall{Snapshot: snapshot}}}); !r.GetAccepted() {
		t.Fatalf("snapshot: %v", r)
	}
	if r := send(&messenger.LogMessage{Body: &messenger.LogMessage_Append{Append: &messenger.LogAppend{PrevIndex: 10, PrevTerm: 1}}}); !r.GetAccepted() {
		t.Fatalf("entry 10, acknowledged before, is gone: %v", r)
	}
}

// TestVoteSurvivesRestart guards against two leaders in one term, caused by a
// vote that is sent before it is on disk. A keeper votes and restarts, and
// another candidate of the same term requests its vote.
func TestVoteSurvivesRestart(t *testing.T) {
	p := newPool(t, 3)
	p.settle()
	l := p.leaderName()
	p.isolateLeader()
	var rest []string
	for _, n := range p.names {
		if n != l {
			rest = append(rest, n)
		}
	}
	voter, other := rest[0], rest[1]
	c := p.nodes[voter].core
	term := c.Term() + 7
	ask := func(from string) bool {
		n := p.nodes[voter]
		n.now = n.now.Add(time.Second)
		s, f := n.core.Self(), p.nodes[from].core.Self()
		m := &messenger.LogMessage{
			Deployment: n.core.Deployment(), Term: term,
			From: &messenger.LogMember{Name: f.Name, Incarnation: f.Incarnation},
			To:   &messenger.LogMember{Name: s.Name, Incarnation: s.Incarnation},
			Body: &messenger.LogMessage_Vote{Vote: &messenger.LogVote{LastIndex: 1 << 20, LastTerm: term}},
		}
		p.messages = nil
		p.step(voter, replicator.Receive{Message: m})
		granted := p.messages[len(p.messages)-1].GetVoteReply().GetGranted()
		p.start(voter)
		return granted
	}
	if !ask(other) {
		t.Fatalf("the first candidate got no vote")
	}
	if ask(l) {
		t.Fatalf("a second candidate of term %d got the vote", term)
	}
	if !ask(other) {
		t.Fatalf("the vote was not repeated")
	}
}

// TestSpareTakesSilentSeat guards against a deployment that is one failure
// from a halt after the permanent loss of a keeper, because the spare is never
// used. It also guards against a replaced keeper that is not told so and
// campaigns forever. Three of four keepers vote; one voter is silent for
// longer than the Replace timeout and returns later.
func TestSpareTakesSilentSeat(t *testing.T) {
	timing := replicator.DefaultTiming()
	timing.Replace = 3 * time.Second
	p := newPoolOf(t, 4, 3, timing)
	for range 60 {
		p.flow()
	}
	lost := ""
	for _, v := range p.nodes[p.leaderName()].core.Voters() {
		if v.Name != p.leaderName() {
			lost = v.Name
		}
	}
	for _, n := range p.names {
		p.cut[lost+n], p.cut[n+lost] = true, true
	}
	for range 120 {
		p.flow()
	}
	l := p.leaderName()
	if !p.nodes["d"].core.IsVoter() || len(p.nodes[l].core.CommittedVoters()) != 3 {
		t.Fatalf("the spare does not vote: %v", p.nodes[l].core.CommittedVoters())
	}
	term := p.nodes[l].core.Term()
	p.cut = map[string]bool{}
	for range 60 {
		p.flow()
	}
	c := p.nodes[lost].core
	if c.IsVoter() || c.Commit() != p.nodes[l].core.Commit() || p.nodes[l].core.Term() != term {
		t.Fatalf("the replaced keeper: votes %v, commit %d of %d, term %d became %d", c.IsVoter(), c.Commit(), p.nodes[l].core.Commit(), term, p.nodes[l].core.Term())
	}
}

// TestOlderTermIsNotCommittedAlone guards against the replacement of an
// acknowledged change, caused by counting an entry of an older term as
// committed because a majority has it. A later leader may still replace it. A
// leader has a change only on its own disk, loses its role and leads again in
// a newer term. One follower then acknowledges the old entry but not yet the
// entry of the new term.
func TestOlderTermIsNotCommittedAlone(t *testing.T) {
	p := newPool(t, 3)
	p.settle()
	l := p.leaderName()
	for _, a := range p.names {
		for _, b := range p.names {
			p.cut[a+b] = true
		}
	}
	p.offer(l, 0)
	c := p.nodes[l].core
	old := c.Commit() + 1
	for range 40 {
		p.flow()
	}
	p.cut = map[string]bool{}
	for c.Role() != replicator.Leader {
		p.tickOne(l, 50*time.Millisecond)
		for len(p.messages) > 0 && c.Role() != replicator.Leader {
			p.deliver(0, false)
		}
	}
	p.messages = nil
	for _, v := range c.Voters() {
		if v == c.Self() {
			continue
		}
		s := c.Self()
		p.step(l, replicator.Receive{Message: &messenger.LogMessage{
			Deployment: c.Deployment(), Term: c.Term(),
			From: &messenger.LogMember{Name: v.Name, Incarnation: v.Incarnation},
			To:   &messenger.LogMember{Name: s.Name, Incarnation: s.Incarnation},
			Body: &messenger.LogMessage_AppendReply{AppendReply: &messenger.LogAppendReply{Accepted: true, MatchIndex: old, Round: 1}},
		}})
		break
	}
	if c.Commit() >= old {
		t.Fatalf("entry %d of an older term counts as committed", old)
	}
}

// TestRetiredKeeperLeaves guards against a keeper that was removed from the
// settings but counts against every majority forever. One of four voters
// stops, and the others restart with settings that do not name it.
func TestRetiredKeeperLeaves(t *testing.T) {
	p := newPool(t, 4)
	p.settle()
	p.retired, p.voters = "d", 3
	for _, n := range []string{"a", "b", "c"} {
		p.cut["d"+n], p.cut[n+"d"] = true, true
		p.start(n)
	}
	for range 80 {
		p.flow()
	}
	v := p.nodes[p.leaderName()].core.CommittedVoters()
	if len(v) != 3 {
		t.Fatalf("voters are %v", v)
	}
}

// TestReplacedKeeperFindsNewDisks guards against a keeper that never rejoins
// after a long network partition, because it requests votes only from disks
// that it knows, which are all gone, and nobody informs it. A voter is
// partitioned, a spare replaces it, and the other voters lose their disks one
// after the other. Then the partition heals.
func TestReplacedKeeperFindsNewDisks(t *testing.T) {
	timing := replicator.DefaultTiming()
	timing.Replace = 3 * time.Second
	p := newPoolOf(t, 4, 3, timing)
	for range 60 {
		p.flow()
	}
	lost := "c"
	for _, n := range p.names {
		p.cut[lost+n], p.cut[n+lost] = true, true
	}
	for range 140 {
		p.flow()
	}
	for _, n := range []string{"a", "b"} {
		p.nodes[n].disk = map[string]map[string][]byte{}
		p.start(n)
		for range 140 {
			p.flow()
		}
	}
	p.cut = map[string]bool{}
	for range 60 {
		p.flow()
	}
	l, c := p.nodes[p.leaderName()].core, p.nodes[lost].core
	if c.IsVoter() || c.Commit() != l.Commit() {
		t.Fatalf("the replaced keeper: votes %v, commit %d of %d", c.IsVoter(), c.Commit(), l.Commit())
	}
}

// TestSilentVoterGetsNoEntriesAgain guards against a leader that sends
// megabytes per second to a partitioned voter, because every heartbeat resends
// all entries that the voter lacks although none arrive. A voter stops
// answering while changes continue.
func TestSilentVoterGetsNoEntriesAgain(t *testing.T) {
	p := newPool(t, 3)
	p.settle()
	l := p.leaderName()
	silent := ""
	for _, n := range p.names {
		if n != l {
			silent = n
		}
	}
	p.cut[l+silent], p.cut[silent+l] = true, true
	for range 3 {
		p.offer(l, 0)
	}
	sent := 0
	for round := range 20 {
		p.tick(50 * time.Millisecond)
		for len(p.messages) > 0 {
			if m := p.messages[0]; round > 4 && m.From.Name == l && m.To.Name == silent {
				sent += len(m.GetAppend().GetEntries())
			}
			p.deliver(0, false)
		}
	}
	if p.nodes[l].core.Role() != replicator.Leader {
		t.Fatalf("%s leads no more", l)
	}
	if sent > 0 {
		t.Fatalf("%d entries sent to a silent voter within a second", sent)
	}
}

// TestLostQuestionForVotesIsAskedAgain guards against a second or more without
// a leader after all keepers lost power, during which routers that started
// with them answer that they have no configuration. All keepers start together
// and request votes before the others are listening. The cause is a lost vote
// request that is not repeated before the next election.
func TestLostQuestionForVotesIsAskedAgain(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", defaultSeed+seed), func(t *testing.T) { testStartOfAll(t, defaultSeed+seed) })
	}
}

func testStartOfAll(t *testing.T, seed uint64) {
	timing := replicator.Timing{HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 600 * time.Millisecond, Replace: 6 * time.Second}
	const deaf, step = 400 * time.Millisecond, 20 * time.Millisecond
	p := newSeededPool(t, 5, 5, timing, seed)
	p.settle()
	var worst time.Duration
	for range 50 {
		p.messages = nil
		for _, n := range p.names {
			p.start(n)
		}
		var passed time.Duration
		for led := false; !led && passed < 5*time.Second; passed += step {
			p.tick(step)
			if passed < deaf {
				p.messages = nil
			}
			for len(p.messages) > 0 {
				p.deliver(0, false)
			}
			for _, n := range p.names {
				led = led || p.nodes[n].core.Role() == replicator.Leader
			}
		}
		worst = max(worst, passed)
	}
	// The first repeated vote request is sent within a heartbeat interval after
	// the others start to listen.
	if worst > 560*time.Millisecond {
		t.Fatalf("nobody led for %v after a start of all", worst)
	}
}

// separate cuts nodes off from all others, or joins them again.
func (p *pool) separate(cut bool, nodes ...string) {
	for _, n := range nodes {
		for _, other := range p.names {
			p.cut[n+other], p.cut[other+n] = cut, cut
		}
	}
}

// timeToElect returns how long it takes until one of the nodes leads, at most 10 s.
func (p *pool) timeToElect(nodes []string) time.Duration {
	const step = 20 * time.Millisecond
	var passed time.Duration
	for led := false; !led && passed < 10*time.Second; passed += step {
		p.tick(step)
		for len(p.messages) > 0 {
			p.deliver(0, false)
		}
		for _, n := range nodes {
			led = led || p.nodes[n].core.Role() == replicator.Leader
		}
	}
	return passed
}

// Guards against a voter that is replaced too late, or seconds without a leader, because the keepers that are left ask
// for votes at the same moment again and again: two of five are lost, so that a leader needs the votes of all others.
func TestThreeOfFiveElectALeaderSoon(t *testing.T) {
	// Two election timeouts and a round of votes.
	const bound = 2*600*time.Millisecond + 200*time.Millisecond
	testElections(t, bound, func(p *pool, leader, other string) { p.separate(true, leader, other) })
}

// Guards against seconds without a leader because keepers give way to one that asks for votes and hears no answers.
func TestDeafCandidateHoldsUpNobody(t *testing.T) {
	// One more election than without it.
	const bound = 4*600*time.Millisecond + 200*time.Millisecond
	testElections(t, bound, func(p *pool, leader, other string) {
		p.separate(true, leader)
		for _, n := range p.names {
			p.cut[n+other] = true
		}
	})
}

// testElections loses the leader and hampers another one of five keepers, again and again, and checks how long the
// other three are without a leader.
func testElections(t *testing.T, bound time.Duration, lose func(p *pool, leader, other string)) {
	timing := replicator.Timing{HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 600 * time.Millisecond, Replace: 6 * time.Second}
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", defaultSeed+seed), func(t *testing.T) {
			p := newSeededPool(t, 5, 5, timing, defaultSeed+seed)
			p.settle()
			var worst time.Duration
			for range 20 {
				leader := p.leaderName()
				other := p.names[slices.IndexFunc(p.names, func(n string) bool { return n != leader })]
				lose(p, leader, other)
				worst = max(worst, p.timeToElect(slices.DeleteFunc(slices.Clone(p.names), func(n string) bool { return n == leader || n == other })))
				p.separate(false, leader, other)
				p.settle()
			}
			if worst > bound {
				t.Fatalf("nobody led for %v", worst)
			}
		})
	}
}
