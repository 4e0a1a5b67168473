package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
)

// register is the state machine of the test model. A change "id/base" is
// accepted if base is the number of changes before it.
type register struct{ history []string }

func (r *register) Apply(_ uint64, data []byte) any {
	id, base, _ := strings.Cut(string(data), "/")
	if i := slices.Index(r.history, id); i >= 0 {
		return i + 1
	}
	if base != fmt.Sprint(len(r.history)) {
		return 0
	}
	r.history = append(r.history, id)
	return len(r.history)
}

func (r *register) Snapshot() []byte { return []byte(strings.Join(r.history, "\n")) }

func (r *register) Restore(_ uint64, b []byte) error {
	r.history = nil
	if len(b) > 0 {
		r.history = strings.Split(string(b), "\n")
	}
	return nil
}

type node struct {
	core    *replicator.Core
	machine *register
	disk    map[string]map[string][]byte
	// rand is kept across restarts, like the randomness of the system.
	rand *rand.Rand
	// now is the node's own clock. Clocks may drift apart without limit.
	now time.Time
}

// defaultSeed is the seed of pools whose test names none.
const defaultSeed = 7

type pendingRequest struct {
	id    string
	floor uint64
}

type pool struct {
	t rapid.TB
	// draw is nil in tests with a fixed sequence.
	draw     *rapid.T
	names    []string
	nodes    map[string]*node
	messages []*messenger.LogMessage
	cut      map[string]bool
	ticket   replicator.Ticket
	asked    map[replicator.Ticket]pendingRequest
	// acked maps change IDs to the versions that were acknowledged.
	acked map[string]int
	// floor is the highest index that was shown to anybody as committed.
	floor   uint64
	leaders map[string]replicator.Member
	ids     int
	voters  int
	timing  replicator.Timing
	// zone is nil unless the voters are spread over zones.
	zone func(name string) string
	// retired is a name that is no longer in the settings.
	retired string
	// seed distinguishes the random numbers of pools.
	seed uint64
	// foundingDelay is passed on to the cores.
	foundingDelay time.Duration
	// restarted holds the nodes that no longer start as parts of the first start.
	restarted map[string]bool
	// down holds the nodes that do not run.
	down map[string]bool
	// committed holds the deployments that have committed anything.
	committed map[string]bool
	// reads and wiped count events, so that a test in which nothing happens fails.
	reads, wiped int
}

func newPool(t rapid.TB, n int) *pool { return newPoolOf(t, n, n, replicator.DefaultTiming()) }

func newPoolOf(t rapid.TB, n, voters int, timing replicator.Timing) *pool {
	return newZonedPool(t, n, voters, timing, nil)
}

// newZonedPool returns a pool whose voters are spread over zones.
func newZonedPool(t rapid.TB, n, voters int, timing replicator.Timing, zone func(string) string) *pool {
	p := preparePool(t, n, voters, timing)
	p.zone = zone
	p.startAll()
	return p
}

// newSeededPool is newPoolOf with other random numbers.
func newSeededPool(t rapid.TB, n, voters int, timing replicator.Timing, seed uint64) *pool {
	p := preparePool(t, n, voters, timing)
	p.seed = seed
	p.startAll()
	return p
}

// preparePool returns a pool of which no node runs.
func preparePool(t rapid.TB, n, voters int, timing replicator.Timing) *pool {
	p := &pool{
		seed: defaultSeed, voters: voters, timing: timing, t: t, nodes: map[string]*node{}, cut: map[string]bool{},
		asked: map[replicator.Ticket]pendingRequest{}, acked: map[string]int{}, leaders: map[string]replicator.Member{},
		restarted: map[string]bool{}, down: map[string]bool{}, committed: map[string]bool{},
	}
	for i := range n {
		p.names = append(p.names, string(rune('a'+i)))
	}
	p.draw, _ = t.(*rapid.T)
	return p
}

// startAll starts all nodes for the first time.
func (p *pool) startAll() {
	for i, name := range p.names {
		p.nodes[name] = &node{disk: map[string]map[string][]byte{}, rand: rand.New(rand.NewPCG(uint64(i), p.seed)), now: time.Unix(1000, 0)}
		p.start(name)
	}
}

// zoneOfNode places three nodes in each zone.
func zoneOfNode(name string) string { return fmt.Sprint("z", (name[0]-'a')/3) }

func (p *pool) start(name string) {
	n := p.nodes[name]
	n.machine = &register{}
	n.core = replicator.NewCore(replicator.Options{
		Name: name, Peers: slices.DeleteFunc(slices.Clone(p.names), func(s string) bool { return s == name || s == p.retired }),
		Voters: p.voters, Zone: p.zone, Timing: p.timing, Rand: n.rand, Machine: n.machine, CompactAfter: 8,
		FoundingDelay: p.foundingDelay, NoFounding: p.restarted[name],
	})
	r := n.core.NewRestorer()
	for _, b := range replicator.Buckets {
		for k, v := range n.disk[b] {
			r.AddRow(b, k, v)
		}
	}
	actions, err := r.Start(n.now)
	if err != nil {
		// Only a torn write causes this error, and writes are torn only if the disk
		// may be lost.
		n.disk = map[string]map[string][]byte{}
		p.start(name)
		return
	}
	p.do(name, actions)
}

func (n *node) write(w replicator.Write) {
	if n.disk[w.Bucket] == nil {
		n.disk[w.Bucket] = map[string][]byte{}
	}
	if w.Value == nil {
		delete(n.disk[w.Bucket], w.Key)
		return
	}
	n.disk[w.Bucket][w.Key] = w.Value
}

func (p *pool) do(name string, actions []replicator.Action) {
	n := p.nodes[name]
	for _, a := range actions {
		switch a := a.(type) {
		case replicator.Write:
			n.write(a)
		case replicator.Send:
			p.messages = append(p.messages, a.Message)
		case replicator.ProposalCommitted:
			if v := a.Result.(int); v > 0 {
				p.acked[p.asked[a.Ticket].id] = v
				p.floor = max(p.floor, n.core.Commit())
			}
		case replicator.ReadConfirmed:
			p.reads++
			if a.Index < p.asked[a.Ticket].floor {
				p.t.Fatalf("confirmed read at %d misses commit %d", a.Index, p.asked[a.Ticket].floor)
			}
		case replicator.Halt:
			p.t.Fatalf("%s halted: %v", name, a.Err)
		}
	}
	p.checkNode(name)
}

func (p *pool) checkNode(name string) {
	n := p.nodes[name]
	if n.core.Commit() > 0 {
		p.committed[n.core.Deployment()] = true
	}
	if len(p.committed) > 1 {
		p.t.Fatalf("two deployments have committed: %v", p.committed)
	}
	if n.core.Role() == replicator.Leader {
		key := fmt.Sprint(n.core.Deployment(), n.core.Term())
		if l, ok := p.leaders[key]; ok && l != n.core.Self() {
			p.t.Fatalf("two leaders in term %s: %v and %v", key, l, n.core.Self())
		}
		p.leaders[key] = n.core.Self()
		p.checkVoters(n.core)
	}
	for _, o := range p.nodes {
		if o.machine == nil {
			continue
		}
		m := min(len(o.machine.history), len(n.machine.history))
		if !slices.Equal(o.machine.history[:m], n.machine.history[:m]) {
			p.t.Fatalf("histories differ: %v and %v", o.machine.history, n.machine.history)
		}
	}
}

// checkVoters fails if two membership changes are in progress at once, because
// their majorities need not overlap.
func (p *pool) checkVoters(c *replicator.Core) {
	now, before := c.Voters(), c.CommittedVoters()
	differ := len(now) + len(before)
	for _, v := range now {
		if slices.Contains(before, v) {
			differ -= 2
		}
	}
	if differ > 1 && c.Commit() > 0 {
		p.t.Fatalf("voters change from %v to %v in one step", before, now)
	}
}

func (p *pool) step(name string, events ...replicator.Event) {
	if p.down[name] {
		return
	}
	p.do(name, p.nodes[name].core.Step(p.nodes[name].now, events...))
}

func (p *pool) tick(d time.Duration) {
	for _, n := range p.names {
		p.tickOne(n, d)
	}
}

func (p *pool) tickOne(name string, d time.Duration) {
	p.nodes[name].now = p.nodes[name].now.Add(d)
	p.step(name, replicator.Tick{})
}

func (p *pool) name() string { return rapid.SampledFrom(p.names).Draw(p.draw, "node") }

// propose sends a new or repeated change, based on the version that the node
// knows.
func (p *pool) propose(name string) {
	p.offer(name, rapid.IntRange(0, p.ids).Draw(p.draw, "again"))
}

// offer proposes change number again, or a new change if again is 0.
func (p *pool) offer(name string, again int) {
	if again == 0 || again%2 == 0 {
		p.step(name, p.newChange(name))
		return
	}
	p.step(name, p.change(name, again))
}

// newChange returns the proposal of a change that was never proposed.
func (p *pool) newChange(name string) replicator.Propose {
	p.ids++
	return p.change(name, p.ids)
}

// change returns the proposal of change number n.
func (p *pool) change(name string, n int) replicator.Propose {
	id := fmt.Sprint("c", n)
	p.ticket++
	p.asked[p.ticket] = pendingRequest{id: id}
	return replicator.Propose{Ticket: p.ticket, Data: fmt.Appendf(nil, "%s/%d", id, len(p.nodes[name].machine.history))}
}

func (p *pool) read(name string) {
	p.ticket++
	p.asked[p.ticket] = pendingRequest{floor: p.floor}
	p.step(name, replicator.Read{Ticket: p.ticket})
}

// deliver delivers one message, which may be lost or kept for a second
// delivery.
func (p *pool) deliver(i int, keep bool) {
	m := p.messages[i]
	if !keep {
		p.messages = slices.Delete(p.messages, i, i+1)
	}
	p.pass(m)
}

// deliverTogether delivers up to n of the waiting messages to one node in one
// step, and then a new change.
func (p *pool) deliverTogether(n int) {
	if len(p.messages) == 0 {
		return
	}
	to := p.messages[0].To.Name
	var events []replicator.Event
	p.messages = slices.DeleteFunc(p.messages, func(m *messenger.LogMessage) bool {
		if m.To.Name != to || len(events) == n {
			return false
		}
		if !p.cut[m.From.Name+to] {
			events = append(events, replicator.Receive{Message: m})
		}
		return true
	})
	p.step(to, append(events, p.newChange(to))...)
}

func (p *pool) pass(m *messenger.LogMessage) {
	if !p.cut[m.From.Name+m.To.Name] {
		p.step(m.To.Name, replicator.Receive{Message: m})
	}
}

// canLoseDisk reports whether the disk of a keeper may be lost. A majority of
// every membership that any keeper uses must keep its disks.
func (p *pool) canLoseDisk(name string) bool {
	for _, n := range p.nodes {
		v := n.core.Voters()
		if n.core.Deployment() == "" || n.core.Commit() == 0 {
			return false
		}
		gone := 0
		if p.timing.Replace < replicator.DefaultTiming().Replace && !slices.ContainsFunc(v, func(m replicator.Member) bool { return m.Name == name }) {
			// A leader may be about to add it.
			return false
		}
		for _, m := range v {
			if m.Name == name || p.nodes[m.Name].core.Self() != m {
				gone++
			}
		}
		if gone > (len(v)-1)/2 {
			return false
		}
	}
	return true
}

// settle removes all faults and runs until there is one leader and everybody
// has its copy.
func (p *pool) settle() {
	p.cut = map[string]bool{}
	last := fmt.Sprint("last", p.ids)
	for range 2000 {
		p.flow()
		for range 2 * len(p.messages) {
			if len(p.messages) > 0 {
				p.deliver(0, false)
			}
		}
		if p.settled(last) {
			return
		}
		for _, n := range p.names {
			if c := p.nodes[n].core; c.Ready() && p.acked[last] == 0 {
				p.ticket++
				p.asked[p.ticket] = pendingRequest{id: last}
				p.step(n, replicator.Propose{Ticket: p.ticket, Data: fmt.Appendf(nil, "%s/%d", last, len(p.nodes[n].machine.history))})
			}
		}
	}
	for _, n := range p.names {
		c := p.nodes[n].core
		p.t.Logf("%s: role %d term %d leader %v commit %d voters %v", n, c.Role(), c.Term(), c.Leader(), c.Commit(), c.Voters())
	}
	p.t.Fatalf("did not settle")
}

func (p *pool) settled(last string) bool {
	voters := 0
	for _, name := range p.names {
		n := p.nodes[name]
		if !slices.Contains(n.machine.history, last) {
			return false
		}
		if n.core.IsVoter() {
			voters++
		}
	}
	return voters == p.voters
}

// checkAcked checks that every acknowledged change appears exactly once, at
// its version.
func (p *pool) checkAcked() {
	for name, n := range p.nodes {
		for id, v := range p.acked {
			if len(n.machine.history) < v || n.machine.history[v-1] != id {
				p.t.Fatalf("%s: change %s was acknowledged as version %d; history %v", name, id, v, n.machine.history)
			}
		}
		seen := map[string]bool{}
		for _, id := range n.machine.history {
			if seen[id] {
				p.t.Fatalf("%s: change %s is there twice", name, id)
			}
			seen[id] = true
		}
	}
}
