package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
)

// delayStep is the resolution of time in tests with delayed messages.
const delayStep = 5 * time.Millisecond

// delayedMessage is a message on its way.
type delayedMessage struct {
	due     time.Duration
	message *messenger.LogMessage
}

// delayedPool is a pool whose messages take time.
type delayedPool struct {
	*pool
	elapsed time.Duration
	delay   func(from, to string) time.Duration
	// down holds the nodes that neither run nor receive.
	down     map[string]bool
	inFlight []delayedMessage
	// sent and sentBytes count the messages.
	sent, sentBytes int
}

func newDelayedPool(p *pool, delay func(from, to string) time.Duration) *delayedPool {
	return &delayedPool{pool: p, delay: delay, down: map[string]bool{}}
}

// run lets time pass and calls each after every step until it returns true, and reports whether it did.
func (d *delayedPool) run(most time.Duration, each func() bool) bool {
	for end := d.elapsed + most; d.elapsed < end; {
		d.elapsed += delayStep
		for _, n := range d.names {
			if !d.down[n] {
				d.tickOne(n, delayStep)
			}
		}
		d.carry()
		if each() {
			return true
		}
	}
	return false
}

// carry delivers the messages that are due, and puts those that nodes sent on their way.
func (d *delayedPool) carry() {
	rest := d.inFlight
	d.inFlight = nil
	for _, m := range rest {
		switch {
		case m.due > d.elapsed:
			d.inFlight = append(d.inFlight, m)
		case d.nodes[m.message.To.Name] != nil && !d.down[m.message.To.Name]:
			d.pass(m.message)
		}
	}
	for _, m := range d.messages {
		d.sent++
		d.sentBytes += proto.Size(m)
		d.inFlight = append(d.inFlight, delayedMessage{due: d.elapsed + d.delay(m.From.Name, m.To.Name), message: m})
	}
	d.messages = nil
}

// wipe starts a node again with an empty disk.
func (d *delayedPool) wipe(name string) {
	d.nodes[name].disk = map[string]map[string][]byte{}
	d.start(name)
}

// ready returns the name of a running leader that is ready, or "".
func (d *delayedPool) ready() string {
	for _, n := range d.names {
		if !d.down[n] && d.nodes[n].core.Ready() {
			return n
		}
	}
	return ""
}

func (d *delayedPool) awaitVoters(t *testing.T, count int) {
	t.Helper()
	if !d.run(20*time.Second, func() bool { l := d.ready(); return l != "" && len(d.nodes[l].core.CommittedVoters()) == count }) {
		t.Fatalf("no %d voters", count)
	}
}

func equalDelay(d time.Duration) func(string, string) time.Duration {
	return func(string, string) time.Duration { return d }
}

func fleetTiming() replicator.Timing {
	timing := replicator.DefaultTiming()
	timing.Replace = 2 * time.Second
	return timing
}

// TestMembershipOfALargeCoreSettles guards against voters that are exchanged for ever: 25 keepers in three zones,
// voters that are silent for longer than the Replace timeout one after the other, and spares everywhere.
func TestMembershipOfALargeCoreSettles(t *testing.T) {
	zone := func(name string) string { return fmt.Sprint("z", int(name[0]-'a')%3) }
	d := newDelayedPool(newZonedPool(t, 25, 5, fleetTiming(), zone), equalDelay(delayStep))
	d.awaitVoters(t, 5)
	for range 8 {
		leader := d.ready()
		voters := d.nodes[leader].core.CommittedVoters()
		i := slices.IndexFunc(voters, func(v replicator.Member) bool { return v.Name != leader })
		d.down[voters[i].Name] = true
		d.run(2600*time.Millisecond, func() bool { return false })
		d.down[voters[i].Name] = false
		d.run(time.Second, func() bool { return false })
	}
	d.run(2*time.Second, func() bool { return false })
	l := d.ready()
	settled := d.nodes[l].core.Voters()
	sent, bytes := d.sent, d.sentBytes
	changed := d.run(10*time.Second, func() bool { return !slices.Equal(d.nodes[l].core.Voters(), settled) })
	t.Logf("%d messages and %d bytes in 10 s without changes", d.sent-sent, d.sentBytes-bytes)
	if changed || len(settled) != 5 {
		t.Fatalf("voters go on to change from %v to %v", settled, d.nodes[l].core.Voters())
	}
}
