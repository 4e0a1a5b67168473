package allotter_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

const workspace = "labone"

// routerProcess is one router process with its allocation, its true spending, and its claims in
// flight, which may arrive late, twice or never.
type routerProcess struct {
	name        string
	incarnation uint64
	allocation  *allotter.Allocation
	// Requests holds reservations with the tokens delivered so far.
	requests       []openRequest
	claimsInFlight []*messenger.RightsChange
	running        bool
	// SentAt is when each claim of the incarnation was sent. Only the answer to the newest claim
	// is used.
	sentAt             []time.Time
	sequence, answered uint64
	started            *messenger.RightsMoment
	startedAt          time.Time
	// ClockOffset is the error of the VM's wall clock. BootAt is when the VM started.
	clockOffset time.Duration
	bootAt      time.Time
}

type openRequest struct{ reserved, delivered int64 }

type simulation struct {
	ledger    *allotter.Ledger
	processes []*routerProcess
	now       time.Time
	total     int64
	// Delivered is the number of tokens that callers received from all incarnations.
	delivered       int64
	nextIncarnation uint64
	// LeaderOffset is the error of the leader's wall clock, and keeperOffset that of another
	// keeper's.
	leaderOffset, keeperOffset time.Duration
	// stable is the clock of a run that is never adjusted: the leader's, the other keeper's, or those of
	// the routers. Two clocks may have the same error, three are assumed not to have any.
	stable stableClock
	// StampKeeper alternates, so that only every second moment carries the other keeper's time.
	stampKeeper bool
	// Replica is another keeper's ledger. It applies the same entries and is restored from its own
	// snapshots at other times. Divergence describes the first difference seen.
	replica    *allotter.Ledger
	divergence string
	// Rand is seeded by the property's only draw. Steps that rapid draws one by one are too small
	// to spend a total.
	rand *rand.Rand
}

func (w *simulation) start(m *routerProcess) {
	w.nextIncarnation++
	if w.coinFlip() {
		// The VM lost power, so its clock since boot starts again.
		m.bootAt = w.now.Add(-time.Duration(w.rand.IntN(1_000_000)) * time.Second)
	}
	m.incarnation, m.allocation, m.requests, m.running = w.nextIncarnation, &allotter.Allocation{}, nil, true
	m.sequence, m.answered, m.sentAt = 0, 0, nil
	m.started, m.startedAt = w.moment(m), w.now
}

func (w *simulation) moment(m *routerProcess) *messenger.RightsMoment {
	return &messenger.RightsMoment{RouterMs: w.now.Add(m.clockOffset).UnixMilli(), BootMs: w.now.Sub(m.bootAt).Milliseconds()}
}

// randomOffset returns a random clock error. Two clocks with the same error still agree, so the
// ledger allows for 3 s.
func (w *simulation) randomOffset() time.Duration {
	return time.Duration(w.rand.IntN(3)-1) * 1500 * time.Millisecond
}

func (w *simulation) send(m *routerProcess) {
	m.sequence++
	c := &messenger.RightsChange{
		Router: m.name, Incarnation: m.incarnation, Sequence: m.sequence, Answered: m.answered,
		Sent: w.moment(m), Started: proto.Clone(m.started).(*messenger.RightsMoment),
	}
	c.Started.AgeMs = w.now.Sub(m.startedAt).Milliseconds()
	c.Binding = true
	if w.rand.IntN(3) > 0 || !m.allocation.OmitFromClaim(w.now) {
		c.Claims = append(c.Claims, m.allocation.NextClaim(w.now, workspace, 0, 400*time.Millisecond))
		varyRiseDelay(w.rand, m.allocation, c.Claims[0])
	}
	m.sentAt = append(m.sentAt, w.now)
	m.claimsInFlight = append(m.claimsInFlight, c)
}

// varyRiseDelay makes every second claim state another rise delay, as routers of earlier versions
// (1,800 ms, or none) and workspaces with and without demand do.
func varyRiseDelay(r *rand.Rand, p *allotter.Allocation, c *messenger.RightsClaim) {
	delays := []int64{0, 1_000, 1_800, 2_050, 4_000}
	if r.IntN(2) == 0 {
		p.RestateRiseDelay(c, delays[r.IntN(len(delays))])
	}
}

// deliverClaim applies a claim to the ledger. The answer reaches the router unless it is lost.
func (w *simulation) deliverClaim(m *routerProcess, i int, again, lost bool) {
	c := m.claimsInFlight[i]
	if !again {
		m.claimsInFlight = append(m.claimsInFlight[:i:i], m.claimsInFlight[i+1:]...)
	}
	c = proto.Clone(c).(*messenger.RightsChange)
	for _, x := range []*messenger.RightsMoment{c.Sent, c.Started} {
		if w.stampKeeper = !w.stampKeeper; w.stampKeeper {
			x.KeeperMs = w.now.Add(w.keeperOffset).UnixMilli() - x.AgeMs
		}
		x.LeaderMs = w.now.Add(w.leaderOffset).UnixMilli() - x.AgeMs
	}
	grants := w.apply(c)
	if lost || c.Closing || c.Incarnation != m.incarnation || !m.running || grants.Ended || c.Sequence != m.sequence {
		return
	}
	if len(c.Claims) > 0 {
		m.allocation.ApplyGrant(grants.Grants[0], c.Claims[0], m.sentAt[c.Sequence-1])
	} else {
		m.allocation.OmissionAnswered(w.coinFlip())
	}
	m.answered = c.Sequence
}

func (w *simulation) coinFlip() bool { return w.rand.IntN(2) == 0 }

func (w *simulation) step() {
	m := w.processes[w.rand.IntN(len(w.processes))]
	w.now = w.now.Add(time.Duration(w.rand.IntN(401)) * time.Millisecond)
	switch w.rand.IntN(12) {
	case 0, 1, 2:
		if n := int64(1 + w.rand.IntN(10_000)); m.running && m.allocation.Reserve(w.now, n) {
			m.requests = append(m.requests, openRequest{reserved: n})
		}
	case 3, 4:
		if len(m.requests) > 0 && m.running {
			r := &m.requests[w.rand.IntN(len(m.requests))]
			n := int64(w.rand.IntN(int(r.reserved-r.delivered) + 1))
			r.delivered += n
			w.delivered += n
		}
	case 5:
		if len(m.requests) > 0 && m.running {
			m.allocation.Settle(m.requests[0].reserved, m.requests[0].delivered)
			m.requests = m.requests[1:]
		}
	case 6, 7:
		if m.running {
			w.send(m)
		}
	case 8, 9:
		if n := len(m.claimsInFlight); n > 0 {
			w.deliverClaim(m, w.rand.IntN(n), w.rand.IntN(4) == 0, w.rand.IntN(4) == 0)
		}
	case 10:
		w.lend(m)
		if w.rand.IntN(8) == 0 {
			w.stopOrStart(m)
		}
	case 11:
		w.adjustClocks(m)
		if w.rand.IntN(20) == 0 {
			w.total += int64(w.rand.IntN(10_001))
		}
		w.setTotal()
		w.restoreLedgers()
	}
}

// stableClock names one of the clocks that date claims.
type stableClock int

const (
	stableKeeper stableClock = iota
	stableLeader
	stableRouters
)

// adjustClocks gives up to two clocks new errors, which may be the same.
func (w *simulation) adjustClocks(m *routerProcess) {
	first, second := &w.leaderOffset, &m.clockOffset
	switch w.stable {
	case stableLeader:
		first = &w.keeperOffset
	case stableRouters:
		second = &w.keeperOffset
	}
	*first = w.randomOffset()
	if w.coinFlip() {
		*second = w.randomOffset()
	}
	if w.rand.IntN(4) == 0 {
		*second = *first
	}
}

// lend lends tokens from a router to another one. The answer may be lost.
func (w *simulation) lend(from *routerProcess) {
	to := w.processes[w.rand.IntN(len(w.processes))]
	if !from.running || !to.running || to == from {
		return
	}
	if n := from.allocation.Lend(w.now, int64(1+w.rand.IntN(5_000))); w.rand.IntN(8) > 0 {
		to.allocation.Receive(n)
	}
}

// stopOrStart stops a running process, with or without a closing claim, or starts a stopped one. A
// process that stops may have delivered all tokens of the requests in progress.
func (w *simulation) stopOrStart(m *routerProcess) {
	if !m.running {
		w.start(m)
		return
	}
	if w.coinFlip() {
		m.sequence++
		c := &messenger.RightsChange{
			Router: m.name, Incarnation: m.incarnation, Sequence: m.sequence, Answered: m.answered, Closing: true,
			Sent: w.moment(m), Started: proto.Clone(m.started).(*messenger.RightsMoment),
		}
		c.Claims = append(c.Claims, m.allocation.Close(workspace))
		m.claimsInFlight = append(m.claimsInFlight, c)
	}
	for _, r := range m.requests {
		w.delivered += r.reserved - r.delivered
	}
	m.running = false
}

func (w *simulation) restoreLedgers() {
	if w.coinFlip() {
		w.ledger = restoredCopy(w.ledger)
	}
	if w.coinFlip() {
		w.replica = restoredCopy(w.replica)
	}
}

func restoredCopy(l *allotter.Ledger) *allotter.Ledger {
	s := &messenger.FleetSnapshot{}
	l.Snapshot(s)
	return allotter.Restore(s)
}

func (w *simulation) setTotal() {
	for _, l := range []*allotter.Ledger{w.ledger, w.replica} {
		l.SetTotals([]*messenger.PrepaidTotal{{Workspace: workspace, Tokens: w.total}})
	}
}

// apply applies a committed claim to both ledgers.
func (w *simulation) apply(c *messenger.RightsChange) *messenger.RightsGrants {
	a, b := w.ledger.ApplyClaims(c), w.replica.ApplyClaims(proto.Clone(c).(*messenger.RightsChange))
	if w.divergence == "" && !proto.Equal(a, b) {
		w.divergence = "answers differ: " + a.String() + " and " + b.String()
	}
	if x, y := w.ledger.Balances(), w.replica.Balances(); w.divergence == "" && !slices.Equal(x, y) {
		w.divergence = fmt.Sprintf("balances differ: %+v and %+v", x, y)
	}
	return a
}

// spendRest completes all requests and spends the remaining tokens, because a token that two
// routers hold shows only when both spend it.
func (w *simulation) spendRest() {
	for round := range 60 {
		for _, m := range w.processes {
			w.now = w.now.Add(50 * time.Millisecond)
			if !m.running {
				w.start(m)
			}
			for _, r := range m.requests {
				w.delivered += r.reserved - r.delivered
				m.allocation.Settle(r.reserved, r.reserved)
			}
			m.requests = nil
			if n := int64(5_000 >> (round / 6)); m.allocation.Reserve(w.now, n) {
				m.requests = append(m.requests, openRequest{reserved: n})
			}
			w.send(m)
			w.deliverClaim(m, len(m.claimsInFlight)-1, false, false)
		}
	}
}

// Guards against a workspace that gets more tokens than it paid for, because two routers hold the
// same token. Grants, claims that are late, duplicated or lost, processes that end with or without
// a closing claim, increased totals and restarts occur in any order.
func TestNoTokenIsSpentTwice(t *testing.T) {
	steps := 1000
	if n, err := strconv.Atoi(os.Getenv("FUZZ_STEPS")); err == nil {
		steps = n
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := &simulation{rand: rand.New(rand.NewPCG(seed, 0)), ledger: allotter.NewLedger(), replica: allotter.NewLedger(), now: time.Unix(1000, 0)}
		for _, n := range []string{"a", "b", "c"} {
			m := &routerProcess{name: n}
			w.start(m)
			w.processes = append(w.processes, m)
		}
		w.total = int64(20_000 + w.rand.IntN(60_000))
		w.setTotal()
		w.stable = stableClock(w.rand.IntN(3))
		for range steps {
			w.step()
		}
		w.spendRest()
		if w.divergence != "" {
			t.Fatalf("two keepers diverge after the same entries, one restored from a snapshot: %s", w.divergence)
		}
		if w.delivered > w.total {
			t.Fatalf("delivered %d of %d tokens", w.delivered, w.total)
		}
	})
}
