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

// life is one router with a few workspaces, from its start to its death, with the
// claims that it sends one after the other. A claim may be lost on its way, come
// late, or lose its answer; the next one is sent only after it has been given up.
type life struct {
	rand   *rand.Rand
	ledger *allotter.Ledger
	now    time.Time
	purses map[string]*allotter.Purse
	open   map[string][]int64
	late   []*messenger.RightsChange
	// Sequence counts claims, answered is the last one with an answer.
	sequence, answered uint64
	started            time.Time
	// Busy holds the workspaces with demand; the others are left out of claims.
	busy map[string]bool
}

func (x *life) names() []string { return []string{"a", "b", "c"} }

func (x *life) moment(at time.Time, boot bool) *messenger.RightsMoment {
	m := &messenger.RightsMoment{RouterMs: at.UnixMilli(), LeaderMs: at.UnixMilli()}
	if boot {
		m.BootMs = at.UnixMilli() - 500_000
	}
	if x.rand.IntN(3) > 0 {
		m.KeeperMs = at.UnixMilli()
	}
	return m
}

// settle sends one claim; what became of it is drawn.
func (x *life) settle() {
	x.sequence++
	c := &messenger.RightsChange{
		Router: "r", Incarnation: 1, Sequence: x.sequence, Answered: x.answered,
		Sent: x.moment(x.now, true), Started: x.moment(x.started, true), Binding: true,
	}
	var claimed, leftOut []*allotter.Purse
	for _, w := range x.names() {
		p := x.purses[w]
		if (!x.busy[w] || x.rand.IntN(2) == 0) && p.LeaveOut(x.now) {
			leftOut = append(leftOut, p)
			continue
		}
		c.Claims = append(c.Claims, p.Claim(x.now, w, 0, 250*time.Millisecond))
		claimed = append(claimed, p)
	}
	sent := x.now
	x.pass(300)
	fate := x.rand.IntN(6)
	if fate == 0 {
		return
	}
	if fate == 1 {
		x.late = append(x.late, c)
		return
	}
	grants := x.ledger.Claim(proto.Clone(c).(*messenger.RightsChange))
	if fate == 2 {
		return
	}
	x.pass(700)
	for i, p := range claimed {
		p.Granted(grants.Grants[i], c.Claims[i], sent)
	}
	for _, p := range leftOut {
		p.LeftOut(x.rand.IntN(2) == 0)
	}
	x.answered = c.Sequence
}

// pass lets up to so many milliseconds go by, with requests in between.
func (x *life) pass(ms int) {
	for range x.rand.IntN(4) {
		x.now = x.now.Add(time.Duration(x.rand.IntN(ms/3+1)) * time.Millisecond)
		x.use()
	}
}

// use begins or ends a request.
func (x *life) use() {
	w := x.names()[x.rand.IntN(3)]
	p := x.purses[w]
	if x.rand.IntN(8) == 0 {
		x.busy[w] = !x.busy[w]
	}
	if n := len(x.open[w]); n > 0 && x.rand.IntN(3) == 0 {
		p.Settle(x.open[w][n-1], x.rand.Int64N(x.open[w][n-1]+1))
		x.open[w] = x.open[w][:n-1]
		return
	}
	if n := 1 + x.rand.Int64N(4_000); x.busy[w] && p.Reserve(x.now, n) {
		x.open[w] = append(x.open[w], n)
	}
}

// Symptom: tokens that a dead router had spent are granted to another one.
// Sequence: claims that are lost, come late or lose their answers, workspaces that
// claims leave out, pauses; the router dies and its successor claims.
// Cause: what the keepers take for the most that it can have spent is less than
// what it was free to spend.
func TestNothingSpentComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &life{
			rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), ledger: allotter.NewLedger(), now: time.Unix(1_000_000, 0),
			purses: map[string]*allotter.Purse{}, open: map[string][]int64{}, busy: map[string]bool{},
		}
		x.started = x.now
		var totals []*messenger.PrepaidTotal
		for _, w := range x.names() {
			x.purses[w], x.busy[w] = &allotter.Purse{}, x.rand.IntN(2) == 0
			totals = append(totals, &messenger.PrepaidTotal{Workspace: w, Tokens: 10_000_000})
		}
		x.ledger.SetTotals(totals)
		for range 10 + x.rand.IntN(60) {
			x.step()
		}
		x.checkEnd(t)
	})
}

func (x *life) step() {
	switch x.rand.IntN(8) {
	case 0:
		// Keepers are out of reach for a while.
		for range x.rand.IntN(12) {
			x.pass(900)
		}
	case 1:
		if len(x.late) > 0 {
			x.ledger.Claim(x.late[0])
			x.late = x.late[1:]
		}
	default:
		x.pass(250)
		x.settle()
	}
}

// checkEnd lets the router die and its successor claim, and compares what the
// ledger counts as spent with what the router was free to spend.
func (x *life) checkEnd(t *rapid.T) {
	boot := x.rand.IntN(2) == 0
	x.now = x.now.Add(time.Duration(x.rand.IntN(1500)) * time.Millisecond)
	start := x.moment(x.now, boot)
	x.ledger.Claim(&messenger.RightsChange{Router: "r", Incarnation: 2, Sequence: 1, Sent: start, Started: start})
	for _, b := range x.ledger.Balances() {
		if used := x.purses[b.Workspace].Used(); b.Ended < used {
			t.Fatalf("workspace %s: %s tokens used, %d counted", b.Workspace, strconv.FormatInt(used, 10), b.Ended)
		}
	}
}

// Guards against a router that goes on by an older bound once it has sent a claim with a
// lower one: the keepers may have taken that in, and count by it alone.
func TestAClaimBindsFromItsSending(t *testing.T) {
	for name, send := range map[string]func(*allotter.Purse, *messenger.RightsChange, time.Time){
		"named": func(p *allotter.Purse, c *messenger.RightsChange, now time.Time) {
			c.Claims = []*messenger.RightsClaim{p.Claim(now, workspace, 90_000, time.Second)}
		},
		"left out": func(p *allotter.Purse, _ *messenger.RightsChange, now time.Time) { p.LeaveOut(now) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l, p := ledger(100_000), &allotter.Purse{}
			change := func(answered uint64) *messenger.RightsChange {
				sequence++
				return &messenger.RightsChange{Router: "r", Incarnation: 1, Sequence: sequence, Answered: answered, Binding: true, Sent: moment(now), Started: moment(now)}
			}
			var first *messenger.RightsChange
			// The first answer tells how much is left, the second one grants it.
			for range 2 {
				first = change(0)
				first.Claims = []*messenger.RightsClaim{p.Claim(now, workspace, 90_000, time.Second)}
				p.Granted(l.Claim(first).Grants[0], first.Claims[0], now)
			}
			// Out of touch for long: the first bound has risen over all that it holds.
			now = now.Add(time.Minute)
			second := change(first.Sequence)
			send(p, second, now)
			l.Claim(second)
			now = now.Add(100 * time.Millisecond)
			if p.Reserve(now, 40_000) {
				t.Error("set aside by the bound before")
			}
			if p.Reserve(now, 900) {
				p.Settle(900, 900)
			}
			end := moment(now.Add(time.Second))
			l.Claim(&messenger.RightsChange{Router: "r", Incarnation: 2, Sequence: 1, Sent: end, Started: end})
			if b := l.Balances()[0]; b.Ended < p.Used() || b.Ended > 10_000 {
				t.Errorf("%d used, %d counted", p.Used(), b.Ended)
			}
		})
	}
}
