package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rattanhoist.example/rattanhoist/replicator"
)

// TestDistantDiskRejoinsABusyLog guards against a keeper with an empty disk that never votes because its answers come
// later than those of a majority, so that the log is ahead of it whenever the leader compares.
func TestDistantDiskRejoinsABusyLog(t *testing.T) {
	// distance is the delay of the lost keeper's messages, and pause the time between a commit and the next change.
	for _, c := range []struct{ distance, pause time.Duration }{
		{distance: 5 * time.Millisecond},
		{distance: 20 * time.Millisecond, pause: 40 * time.Millisecond},
		{distance: 20 * time.Millisecond},
		{distance: 10 * time.Millisecond, pause: 10 * time.Millisecond},
		{distance: 40 * time.Millisecond, pause: 40 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.distance, " ", c.pause), func(t *testing.T) {
			d := newDelayedPool(newPoolOf(t, 5, 5, fleetTiming()), equalDelay(delayStep))
			d.awaitVoters(t, 5)
			leader := d.ready()
			lost := d.names[slices.IndexFunc(d.names, func(n string) bool { return n != leader })]
			d.delay = func(from, to string) time.Duration {
				if from == lost || to == lost {
					return c.distance
				}
				return delayStep
			}
			d.wipe(lost)
			begun := d.elapsed
			var proposed uint64
			var proposeAt time.Duration
			voted := d.run(4*time.Second, func() bool {
				l := d.nodes[leader].core
				switch {
				case l.Commit() < proposed:
					proposeAt = d.elapsed + c.pause
				case d.elapsed >= proposeAt:
					d.step(leader, d.newChange(leader))
					proposed, proposeAt = l.Commit()+1, d.elapsed+c.pause
				}
				return slices.Contains(d.nodes[lost].core.CommittedVoters(), d.nodes[lost].core.Self())
			})
			t.Logf("%d changes in %v", d.ids, d.elapsed-begun)
			if !voted {
				t.Fatalf("%s does not vote 4 s after its start", lost)
			}
		})
	}
}

// TestSilentVoterIsReplacedThoughTheLeaderChanges guards against a lost disk that votes beyond the time in which its
// successor has to, because every new leader waits for the whole silence again.
func TestSilentVoterIsReplacedThoughTheLeaderChanges(t *testing.T) {
	for after := 200 * time.Millisecond; after < 2600*time.Millisecond; after += 200 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			d := newDelayedPool(newPoolOf(t, 6, 5, fleetTiming()), equalDelay(delayStep))
			d.awaitVoters(t, 5)
			leader := d.ready()
			voters := d.nodes[leader].core.CommittedVoters()
			i := slices.IndexFunc(voters, func(v replicator.Member) bool { return v.Name != leader })
			removed := voters[i]
			d.down[removed.Name] = true
			d.run(after, func() bool { return false })
			second := d.ready()
			if second == "" {
				second = leader
			}
			// The leader loses its disk and is back at once: two machines are lost.
			d.wipe(second)
			d.run(4*time.Second-after, func() bool { return false })
			l := d.ready()
			if l == "" {
				t.Fatal("nobody leads")
			}
			if v := d.nodes[l].core.CommittedVoters(); slices.Contains(v, removed) {
				t.Fatalf("%v still votes 4 s after the start of its successor: %v", removed, v)
			}
		})
	}
}

// TestNewLeaderRemovesTheLostVoterOfASurplus guards against a living voter that is removed in place of a lost one,
// because the leader changed between the addition of a spare and the removal of the voter that it replaces.
func TestNewLeaderRemovesTheLostVoterOfASurplus(t *testing.T) {
	for seed := range 5 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			d := newDelayedPool(newPoolOf(t, 6, 5, fleetTiming()), equalDelay(delayStep))
			d.awaitVoters(t, 5)
			leader := d.ready()
			voters := d.nodes[leader].core.CommittedVoters()
			others := slices.DeleteFunc(voters, func(v replicator.Member) bool { return v.Name == leader })
			removed := others[seed%len(others)]
			d.run(time.Duration(seed)*70*time.Millisecond, func() bool { return false })
			d.down[removed.Name] = true
			if !d.run(10*time.Second, func() bool { return len(d.nodes[leader].core.CommittedVoters()) == 6 }) {
				t.Fatal("no spare was added")
			}
			d.down[leader] = true
			var left []replicator.Member
			d.run(8*time.Second, func() bool {
				if l := d.ready(); l != "" {
					left = d.nodes[l].core.CommittedVoters()
				}
				return len(left) == 5
			})
			if len(left) != 5 || slices.Contains(left, removed) {
				t.Fatalf("%v still votes: %v", removed, left)
			}
		})
	}
}
