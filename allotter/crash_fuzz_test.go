package allotter_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

// simulatedRouter is one router with a few workspaces, from its start to its crash, and the claims
// that it sends one after the other. A claim may be lost, delayed, or lose its answer. The next
// one is sent only after the router has given up on it.
type simulatedRouter struct {
	rand          *rand.Rand
	ledger        *allotter.Ledger
	now           time.Time
	allocations   map[string]*allotter.Allocation
	reservations  map[string][]int64
	delayedClaims []*messenger.RightsChange
	// Sequence counts claims. Answered is the sequence of the last one that was answered.
	sequence, answered uint64
	started            time.Time
	// Busy holds the workspaces with demand. Claims may omit the others.
	busy map[string]bool
}

func (x *simulatedRouter) workspaces() []string { return []string{"a", "b", "c"} }

func (x *simulatedRouter) moment(at time.Time, boot bool) *messenger.RightsMoment {
	m := &messenger.RightsMoment{RouterMs: at.UnixMilli(), LeaderMs: at.UnixMilli()}
	if boot {
		m.BootMs = at.UnixMilli() - 500_000
	}
	if x.rand.IntN(3) > 0 {
		m.KeeperMs = at.UnixMilli()
	}
	return m
}

// sendClaim sends one claim with a random outcome.
func (x *simulatedRouter) sendClaim() {
	x.sequence++
	c := &messenger.RightsChange{
		Router: "r", Incarnation: 1, Sequence: x.sequence, Answered: x.answered,
		Sent: x.moment(x.now, true), Started: x.moment(x.started, true), Binding: true,
	}
	var claimed, leftOut []*allotter.Allocation
	for _, w := range x.workspaces() {
		p := x.allocations[w]
		if (!x.busy[w] || x.rand.IntN(2) == 0) && p.OmitFromClaim(x.now) {
			leftOut = append(leftOut, p)
			continue
		}
		c.Claims = append(c.Claims, p.NextClaim(x.now, w, 0, 250*time.Millisecond))
		varyRiseDelay(x.rand, p, c.Claims[len(c.Claims)-1])
		claimed = append(claimed, p)
	}
	sent := x.now
	x.advance(300)
	outcome := x.rand.IntN(6)
	if outcome == 0 {
		return
	}
	if outcome == 1 {
		x.delayedClaims = append(x.delayedClaims, c)
		return
	}
	grants := x.ledger.ApplyClaims(proto.Clone(c).(*messenger.RightsChange))
	if outcome == 2 {
		return
	}
	x.advance(700)
	for i, p := range claimed {
		p.ApplyGrant(grants.Grants[i], c.Claims[i], sent)
	}
	for _, p := range leftOut {
		p.OmissionAnswered(x.rand.IntN(2) == 0)
	}
	x.answered = c.Sequence
}

// advance advances the time in a few random steps and starts or ends a request after each.
func (x *simulatedRouter) advance(ms int) {
	for range x.rand.IntN(4) {
		x.now = x.now.Add(time.Duration(x.rand.IntN(ms/3+1)) * time.Millisecond)
		x.startOrEndRequest()
	}
}

// startOrEndRequest starts or ends a random request.
func (x *simulatedRouter) startOrEndRequest() {
	w := x.workspaces()[x.rand.IntN(3)]
	p := x.allocations[w]
	if x.rand.IntN(8) == 0 {
		x.busy[w] = !x.busy[w]
	}
	if n := len(x.reservations[w]); n > 0 && x.rand.IntN(3) == 0 {
		p.Settle(x.reservations[w][n-1], x.rand.Int64N(x.reservations[w][n-1]+1))
		x.reservations[w] = x.reservations[w][:n-1]
		return
	}
	if n := 1 + x.rand.Int64N(4_000); x.busy[w] && p.Reserve(x.now, n) {
		x.reservations[w] = append(x.reservations[w], n)
	}
}

// Guards against granting tokens to another router that a crashed router has spent. Claims are
// lost, delayed, lose their answers or omit workspaces, and there are pauses. Then the router
// crashes and its successor claims. The failure occurs if the ledger's upper bound on the router's
// spending is lower than what the router was allowed to spend.
func TestCrashedRoutersSpendingIsNotGrantedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &simulatedRouter{
			rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), ledger: allotter.NewLedger(), now: time.Unix(1_000_000, 0),
			allocations: map[string]*allotter.Allocation{}, reservations: map[string][]int64{}, busy: map[string]bool{},
		}
		x.started = x.now
		var totals []*messenger.PrepaidTotal
		for _, w := range x.workspaces() {
			x.allocations[w], x.busy[w] = &allotter.Allocation{}, x.rand.IntN(2) == 0
			totals = append(totals, &messenger.PrepaidTotal{Workspace: w, Tokens: 10_000_000})
		}
		x.ledger.SetTotals(totals)
		for range 10 + x.rand.IntN(60) {
			x.step()
		}
		x.crashAndCheck(t)
	})
}

func (x *simulatedRouter) step() {
	switch x.rand.IntN(8) {
	case 0:
		// Keepers are unreachable for a while.
		for range x.rand.IntN(12) {
			x.advance(900)
		}
	case 1:
		if len(x.delayedClaims) > 0 {
			x.ledger.ApplyClaims(x.delayedClaims[0])
			x.delayedClaims = x.delayedClaims[1:]
		}
	default:
		x.advance(250)
		x.sendClaim()
	}
}

// crashAndCheck crashes the router, lets its successor claim, and compares the tokens that the
// ledger counts as spent with the tokens that the router used.
func (x *simulatedRouter) crashAndCheck(t *rapid.T) {
	boot := x.rand.IntN(2) == 0
	x.now = x.now.Add(time.Duration(x.rand.IntN(1500)) * time.Millisecond)
	start := x.moment(x.now, boot)
	x.ledger.ApplyClaims(&messenger.RightsChange{Router: "r", Incarnation: 2, Sequence: 1, Sent: start, Started: start})
	for _, b := range x.ledger.Balances() {
		if used := x.allocations[b.Workspace].Used(); b.SpentByEnded < used {
			t.Fatalf("workspace %s: %s tokens used, %d counted", b.Workspace, strconv.FormatInt(used, 10), b.SpentByEnded)
		}
	}
}

// Guards against a router that keeps spending under an older bound after it has sent a claim with
// a lower one. Keepers may have applied that claim, and count by its bound alone.
func TestClaimLimitsRouterOnceSent(t *testing.T) {
	for name, send := range map[string]func(*allotter.Allocation, *messenger.RightsChange, time.Time){
		"named": func(p *allotter.Allocation, c *messenger.RightsChange, now time.Time) {
			c.Claims = []*messenger.RightsClaim{p.NextClaim(now, workspace, 90_000, time.Second)}
		},
		"left out": func(p *allotter.Allocation, _ *messenger.RightsChange, now time.Time) { p.OmitFromClaim(now) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l, p := newLedger(100_000), &allotter.Allocation{}
			change := func(answered uint64) *messenger.RightsChange {
				sequence++
				return &messenger.RightsChange{Router: "r", Incarnation: 1, Sequence: sequence, Answered: answered, Binding: true, Sent: momentAt(now), Started: momentAt(now)}
			}
			var first *messenger.RightsChange
			// The first answer says how much is unallocated, the second one grants tokens.
			for range 2 {
				first = change(0)
				first.Claims = []*messenger.RightsClaim{p.NextClaim(now, workspace, 90_000, time.Second)}
				p.ApplyGrant(l.ApplyClaims(first).Grants[0], first.Claims[0], now)
			}
			// After a long partition, the first bound allows all tokens that the router holds.
			now = now.Add(time.Minute)
			second := change(first.Sequence)
			send(p, second, now)
			l.ApplyClaims(second)
			now = now.Add(100 * time.Millisecond)
			if p.Reserve(now, 40_000) {
				t.Error("reserved under the previous bound")
			}
			if p.Reserve(now, 900) {
				p.Settle(900, 900)
			}
			end := momentAt(now.Add(time.Second))
			l.ApplyClaims(&messenger.RightsChange{Router: "r", Incarnation: 2, Sequence: 1, Sent: end, Started: end})
			if b := l.Balances()[0]; b.SpentByEnded < p.Used() || b.SpentByEnded > 10_000 {
				t.Errorf("%d used, %d counted", p.Used(), b.SpentByEnded)
			}
		})
	}
}

// Guards against a router that spends more than its oldest claims state, because limits with
// different rise delays were merged into one that rises too early. 30 claims get no answer.
func TestMergedLimitsKeepTheLongestRiseDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now := time.Unix(1000, 0)
		l, p := newLedger(10_000_000), &allotter.Allocation{}
		sendClaim(l, "a", 1, p, now, now)
		type sentClaim struct {
			claim *messenger.RightsClaim
			at    time.Time
		}
		var sent []sentClaim
		for range 30 {
			now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
			p.Reserve(now, r.Int64N(5_000))
			c := p.NextClaim(now, workspace, 0, 250*time.Millisecond)
			varyRiseDelay(r, p, c)
			sent = append(sent, sentClaim{claim: c, at: now})
		}
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			for _, s := range sent {
				rest := s.claim.RestMs
				if rest == 0 {
					rest = 1_500
				}
				risen := max(now.Sub(s.at)-time.Duration(rest)*time.Millisecond, 0).Seconds()
				if most := s.claim.Ceiling + int64(float64(s.claim.Slope)*risen); p.AllowedAt(now) > most {
					t.Fatalf("%d allowed, a claim stated %d", p.AllowedAt(now), most)
				}
			}
		}
	})
}
