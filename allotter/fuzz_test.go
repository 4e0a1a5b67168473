package allotter_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

const workspace = "labone"

// machine is one router process: its purse, what it truly spent, and the
// claims of it that are under way, which may arrive late, twice or never.
type machine struct {
	name        string
	incarnation uint64
	purse       *allotter.Purse
	// Open holds reservations with the tokens delivered so far.
	open     []run
	underWay []*messenger.RightsChange
	alive    bool
}

type run struct{ reserved, delivered int64 }

type world struct {
	ledger   *allotter.Ledger
	machines []*machine
	now      time.Time
	total    int64
	// Delivered is what callers truly got, of all incarnations.
	delivered int64
	next      uint64
}

func (w *world) start(m *machine) {
	w.next++
	m.incarnation, m.purse, m.open, m.alive = w.next, &allotter.Purse{}, nil, true
}

func (w *world) send(m *machine) {
	c := &messenger.RightsChange{Router: m.name, Incarnation: m.incarnation}
	c.Claims = append(c.Claims, m.purse.Claim(w.now, workspace))
	m.underWay = append(m.underWay, c)
}

// arrive applies a claim at the ledger; the answer reaches the router unless
// lost.
func (w *world) arrive(m *machine, i int, again, lost bool) {
	c := m.underWay[i]
	if !again {
		m.underWay = append(m.underWay[:i:i], m.underWay[i+1:]...)
	}
	c = proto.Clone(c).(*messenger.RightsChange)
	grants := w.ledger.Claim(c)
	if lost || c.Incarnation != m.incarnation || !m.alive || len(grants) == 0 {
		return
	}
	m.purse.Granted(grants[0])
}

func (w *world) step(t *rapid.T) {
	m := w.machines[rapid.IntRange(0, len(w.machines)-1).Draw(t, "machine")]
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 11).Draw(t, "step") {
	case 0, 1, 2:
		if n := int64(rapid.IntRange(1, 10_000).Draw(t, "tokens")); m.alive && m.purse.Reserve(w.now, n) {
			m.open = append(m.open, run{reserved: n})
		}
	case 3, 4:
		if len(m.open) > 0 && m.alive {
			r := &m.open[rapid.IntRange(0, len(m.open)-1).Draw(t, "run")]
			n := int64(rapid.IntRange(0, int(r.reserved-r.delivered)).Draw(t, "part"))
			r.delivered += n
			w.delivered += n
		}
	case 5:
		if len(m.open) > 0 && m.alive {
			m.purse.Settle(m.open[0].reserved, m.open[0].delivered)
			m.open = m.open[1:]
		}
	case 6, 7:
		if m.alive {
			w.send(m)
		}
	case 8, 9:
		if n := len(m.underWay); n > 0 {
			w.arrive(m, rapid.IntRange(0, n-1).Draw(t, "claim"), rapid.Bool().Draw(t, "again"), rapid.Bool().Draw(t, "lost"))
		}
	case 10:
		w.stop(t, m)
	case 11:
		if rapid.Bool().Draw(t, "raise") {
			w.total += int64(rapid.IntRange(0, 10_000).Draw(t, "more"))
		}
		w.ledger.SetTotals([]*messenger.PrepaidTotal{{Workspace: workspace, Tokens: w.total}})
		w.reload(t)
	}
}

// stop ends a process, with or without a last word, or starts it again. A
// process that ended with requests in progress may have delivered all of them.
func (w *world) stop(t *rapid.T, m *machine) {
	if !m.alive {
		w.start(m)
		return
	}
	if rapid.Bool().Draw(t, "last word") {
		c := &messenger.RightsChange{Router: m.name, Incarnation: m.incarnation, Closing: true}
		c.Claims = append(c.Claims, m.purse.Close(workspace))
		m.underWay = append(m.underWay, c)
	}
	for _, r := range m.open {
		w.delivered += r.reserved - r.delivered
	}
	m.alive = false
}

func (w *world) reload(t *rapid.T) {
	if rapid.Bool().Draw(t, "reload") {
		s := &messenger.FleetSnapshot{}
		w.ledger.Snapshot(s)
		w.ledger = allotter.Restore(s)
	}
}

// Symptom: a workspace gets more than it paid for.
// Sequence: any order of grants, claims that are late, doubled or lost,
// processes that end with or without a word, totals that rise, restarts.
// Cause: any token that two routers hold at once.
func TestNoTokenIsSpentTwice(t *testing.T) {
	steps := 300
	if n, err := strconv.Atoi(os.Getenv("FUZZ_STEPS")); err == nil {
		steps = n
	}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{ledger: allotter.NewLedger(), now: time.Unix(1000, 0)}
		for _, n := range []string{"a", "b", "c"} {
			m := &machine{name: n}
			w.start(m)
			w.machines = append(w.machines, m)
		}
		w.total = int64(rapid.IntRange(1, 60_000).Draw(t, "total"))
		w.ledger.SetTotals([]*messenger.PrepaidTotal{{Workspace: workspace, Tokens: w.total}})
		for range steps {
			w.step(t)
			if w.delivered > w.total {
				t.Fatalf("delivered %d of %d tokens", w.delivered, w.total)
			}
		}
	})
}
