package replicator_test

import (
	"math/rand/v2"
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

// TestIsolatedLeaderStepsDown: symptom, a leader without a majority still
// takes changes. Sequence: the leader is isolated silently, a change is
// proposed to it, time passes. Cause: nothing but an answer ends a term.
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

// TestHealthyLeaderStays: symptom, an election although the leader is well.
// Sequence: one keeper no longer hears the leader, but everybody hears it; it
// asks for votes again and again, and the link heals. Cause: a request for
// votes that raises the term of keepers that hear their leader.
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

// TestLateSnapshotKeepsTail: symptom, a committed change is gone although a
// majority had acknowledged it. Sequence: a follower has entries 1 to 10 on
// disk and said so; a snapshot up to 5, sent earlier, arrives after them.
// Cause: the snapshot replaces the whole log.
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

// TestVoteSurvivesRestart: symptom, two leaders in one term. Sequence: a
// keeper votes, restarts, and another candidate of the same term asks. Cause:
// a vote that was sent before it was on disk.
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

// TestSpareTakesSilentSeat: symptom, a keeper that is lost for good leaves the
// deployment one failure from a halt. Sequence: four keepers of which three
// vote; one voter is silent for longer than Replace; it comes back later.
// Cause: a spare that is never used, or a keeper that is not told it was
// replaced and campaigns for ever.
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
	if !p.nodes["d"].core.Voter() || len(p.nodes[l].core.CommittedVoters()) != 3 {
		t.Fatalf("the spare does not vote: %v", p.nodes[l].core.CommittedVoters())
	}
	term := p.nodes[l].core.Term()
	p.cut = map[string]bool{}
	for range 60 {
		p.flow()
	}
	c := p.nodes[lost].core
	if c.Voter() || c.Commit() != p.nodes[l].core.Commit() || p.nodes[l].core.Term() != term {
		t.Fatalf("the replaced keeper: votes %v, commit %d of %d, term %d became %d", c.Voter(), c.Commit(), p.nodes[l].core.Commit(), term, p.nodes[l].core.Term())
	}
}

// TestOlderTermIsNotCommittedAlone: symptom, an acknowledged change is
// replaced by another. Sequence: a leader has a change on its own disk only,
// loses its role, leads again in a newer term, and one follower acknowledges
// the old entry but not yet the new term's. Cause: an entry of an older term
// counted as committed because a majority has it; a later leader may still
// replace it.
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

// TestRetiredKeeperLeaves: symptom, a keeper that was taken out of the
// settings counts against every majority for good. Sequence: four voters; one
// stops and the others restart with settings that do not name it.
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

// TestReplacedKeeperFindsNewDisks: symptom, a keeper stays outside for good
// after a long cut. Sequence: a voter is cut off, a spare takes its seat, and
// the other voters lose their disks one after the other; the cut heals. Cause:
// the keeper asks for votes only at the disks that it knows, which are all
// gone, and nobody tells it.
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
	if c.Voter() || c.Commit() != l.Commit() {
		t.Fatalf("the replaced keeper: votes %v, commit %d of %d", c.Voter(), c.Commit(), l.Commit())
	}
}

// TestSilentVoterGetsNoEntriesAgain: symptom, a leader fills the link to a
// voter that is cut off with megabytes a second. Sequence: a voter stops
// answering; changes go on. Cause: with each heartbeat the leader sends again
// all that the voter lacks, although none of it arrives.
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

// TestLostQuestionForVotesIsAskedAgain: symptom, after a loss of power of all
// keepers nobody leads for a second and more, and routers that started with them
// answer that they have no configuration. Sequence: all start together; the
// keepers ask for votes before the others listen. Cause: a question that
// is lost is not asked again before the next election.
func TestLostQuestionForVotesIsAskedAgain(t *testing.T) {
	timing := replicator.Timing{Heartbeat: 100 * time.Millisecond, Election: 600 * time.Millisecond, Replace: 6 * time.Second}
	const deaf, step = 400 * time.Millisecond, 20 * time.Millisecond
	p := newPoolOf(t, 5, 5, timing)
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
	// The first to ask again does so within a heartbeat of the others listening.
	if worst > 560*time.Millisecond {
		t.Fatalf("nobody led for %v after a start of all", worst)
	}
}
