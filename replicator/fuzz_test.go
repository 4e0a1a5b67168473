package replicator_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist/replicator"
)

func init() {
	seed, checks := os.Getenv("FUZZ_SEED"), os.Getenv("FUZZ_CHECKS")
	if seed == "" {
		seed = "20261202"
	}
	if checks == "" {
		checks = "150"
	}
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", checks)
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.shrinktime", "5s")
}

// crash discards the rows of a step, or tears them if the disk may be lost.
func (p *pool) crash(name string) {
	n := p.nodes[name]
	if len(p.messages) > 0 {
		i := rapid.IntRange(0, len(p.messages)-1).Draw(p.draw, "unsynced")
		if m := p.messages[i]; m.To.Name == name {
			actions := n.core.Step(n.now, replicator.Receive{Message: m})
			if p.canLoseDisk(name) {
				p.tear(n, actions)
			}
		}
	}
	p.start(name)
}

func (p *pool) tear(n *node, actions []replicator.Action) {
	var rows []replicator.Write
	for _, a := range actions {
		if w, ok := a.(replicator.Write); ok {
			rows = append(rows, w)
		}
	}
	if len(rows) == 0 {
		return
	}
	whole := rapid.IntRange(0, len(rows)-1).Draw(p.draw, "rows")
	for _, w := range rows[:whole] {
		n.write(w)
	}
	if w := rows[whole]; w.Value != nil {
		w.Value = slices.Clone(w.Value[:len(w.Value)/2])
		n.write(w)
	}
}

func (p *pool) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"tick": func(t *rapid.T) { p.tick(time.Duration(rapid.IntRange(10, 200).Draw(t, "ms")) * time.Millisecond) },
		"deliver": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "messages") {
				if len(p.messages) > 0 {
					p.deliver(rapid.IntRange(0, min(len(p.messages)-1, 8)).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "twice") == 0)
				}
			}
		},
		"together": func(t *rapid.T) { p.deliverTogether(rapid.IntRange(2, 12).Draw(t, "messages")) },
		"flow": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "rounds") {
				p.flow()
			}
		},
		"storm": func(*rapid.T) { p.storm() },
		"gale":  func(*rapid.T) { p.storm() },
		"drop": func(t *rapid.T) {
			if len(p.messages) > 0 {
				i := rapid.IntRange(0, len(p.messages)-1).Draw(t, "message")
				p.messages = slices.Delete(p.messages, i, i+1)
			}
		},
		"cut": func(t *rapid.T) {
			a, b := p.name(), p.name()
			p.cut[a+b] = true
			if rapid.Bool().Draw(t, "both") {
				p.cut[b+a] = true
			}
		},
		"split": func(t *rapid.T) {
			side := rapid.IntRange(1, 1<<len(p.names)-2).Draw(t, "side")
			p.cut = map[string]bool{}
			for i, a := range p.names {
				for j, b := range p.names {
					p.cut[a+b] = (side>>i)&1 != (side>>j)&1
				}
			}
		},
		"alone": func(t *rapid.T) {
			p.tickOne(p.name(), time.Duration(rapid.IntRange(100, 1500).Draw(t, "ms"))*time.Millisecond)
		},
		"isolate": func(*rapid.T) { p.isolateLeader() },
		"heal":    func(*rapid.T) { p.cut = map[string]bool{} },
		"propose": func(*rapid.T) { p.propose(p.name()) },
		"leader":  func(*rapid.T) { p.workAtLeaders() },
		"crash":   func(*rapid.T) { p.crash(p.name()) },
		"wipe": func(*rapid.T) {
			if n := p.name(); p.canLoseDisk(n) {
				p.wiped++
				p.nodes[n].disk = map[string]map[string][]byte{}
				p.start(n)
			}
		},
	}
}

func (p *pool) flow() {
	p.tick(50 * time.Millisecond)
	for range len(p.messages) {
		p.deliver(0, false)
	}
}

func (p *pool) storm() {
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(p.draw, "storm"), 1))
	loss, lag := r.IntN(30), r.IntN(60)
	pace := map[string]int{}
	for _, n := range p.names {
		pace[n] = []int{0, 20, 75, 75, 300}[r.IntN(5)]
	}
	for range 1 + r.IntN(40) {
		p.randomFaultRound(r, pace, loss, lag)
	}
}

// randomFaultRound lets clocks drift apart, and loses, duplicates, delays and
// reorders messages, while operators propose changes.
func (p *pool) randomFaultRound(r *rand.Rand, pace map[string]int, loss, lag int) {
	for _, n := range p.names {
		if pace[n] > 0 {
			p.tickOne(n, time.Duration(r.IntN(2*pace[n]))*time.Millisecond)
		}
		if c := p.nodes[n].core; c.Role() == replicator.Leader && r.IntN(3) == 0 {
			p.read(n)
			p.offer(n, r.IntN(p.ids+1))
		}
		if r.IntN(60) == 0 {
			p.start(n)
		}
	}
	r.Shuffle(len(p.messages), func(i, j int) { p.messages[i], p.messages[j] = p.messages[j], p.messages[i] })
	waiting := p.messages
	p.messages = nil
	for _, m := range waiting {
		switch x := r.IntN(100); {
		case x < loss:
		case x < loss+lag:
			p.messages = append(p.messages, m)
		default:
			p.pass(m)
			if m.GetVote() != nil && r.IntN(4) == 0 {
				p.start(m.To.Name)
			}
			if x > 96 {
				p.messages = append(p.messages, m)
			}
		}
	}
}

func (p *pool) workAtLeaders() {
	for _, n := range p.names {
		if p.nodes[n].core.Role() == replicator.Leader {
			p.propose(n)
			p.read(n)
		}
	}
}

func (p *pool) isolateLeader() {
	for _, n := range p.names {
		if p.nodes[n].core.Role() != replicator.Leader {
			continue
		}
		for _, o := range p.names {
			p.cut[n+o], p.cut[o+n] = true, true
		}
		return
	}
}

// TestLogAgainstRegister checks the core against a simple model under random
// faults: lost, duplicated and delayed messages, network partitions, crashes
// with unsynced or torn rows, and erased disks. It fails if an acknowledged
// change is lost, applied twice or reordered, if a term has two leaders, or if
// a confirmed read misses a change.
func TestLogAgainstRegister(t *testing.T) {
	for name, newPool := range map[string]func(t rapid.TB) *pool{
		"3": func(t rapid.TB) *pool { return newPool(t, 3) },
		"5": func(t rapid.TB) *pool { return newPool(t, 5) },
		"3 of 6 in 2 zones": func(t rapid.TB) *pool {
			return newZonedPool(t, 6, 3, replicator.DefaultTiming(), zoneOfNode)
		},
		"3 of 5, silent voters are replaced": func(t rapid.TB) *pool { return newPoolOf(t, 5, 3, fleetTiming()) },
		"3 of 6 in 2 zones, silent voters are replaced": func(t rapid.TB) *pool {
			return newZonedPool(t, 6, 3, fleetTiming(), zoneOfNode)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var acked, reads, wiped, leaders int
			rapid.Check(t, func(t *rapid.T) {
				p := newPool(t)
				for range rapid.SampledFrom([]int{60, 60, 60, 0}).Draw(t, "calm") {
					p.flow()
				}
				t.Repeat(p.actions())
				p.settle()
				p.checkAcked()
				acked += len(p.acked)
				reads += p.reads
				wiped += p.wiped
				leaders += len(p.leaders)
			})
			t.Logf("%d changes acknowledged, %d reads confirmed, %d disks lost, in %d terms", acked, reads, wiped, leaders)
			if acked == 0 || reads == 0 || wiped == 0 {
				t.Fatalf("the pool tested too little")
			}
		})
	}
}

// TestRestartKeepsCommitted guards against a keeper that is partitioned right
// after a restart and shows an older configuration than before, because the
// commit index was only in memory.
func TestRestartKeepsCommitted(t *testing.T) {
	p := newPool(t, 3)
	p.settle()
	before := len(p.nodes["a"].machine.history)
	p.start("a")
	if after := len(p.nodes["a"].machine.history); after < before {
		t.Fatalf("%d changes shown before the restart, %d after", before, after)
	}
}

// TestDamagedRow guards against a keeper that starts with a damaged row as if
// nothing were wrong. A row at or below the last index may have been
// acknowledged, so the start must fail. A row beyond it was never acknowledged
// and is deleted.
func TestDamagedRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(t, 3)
		p.settle()
		n := p.nodes["b"]
		bucket := rapid.SampledFrom(replicator.Buckets).Draw(t, "bucket")
		for k, v := range n.disk[bucket] {
			v = slices.Clone(v)
			v[rapid.IntRange(0, len(v)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			n.disk[bucket][k] = v
			c := replicator.NewCore(replicator.Options{Name: "b", Voters: 3, Timing: replicator.DefaultTiming(), Rand: n.rand, Machine: &register{}})
			r := c.NewRestorer()
			for _, b := range replicator.Buckets {
				for k, v := range n.disk[b] {
					r.AddRow(b, k, v)
				}
			}
			if _, err := r.Start(n.now); err == nil {
				t.Fatalf("started with a damaged row %s/%s", bucket, k)
			}
			return
		}
	})
}
