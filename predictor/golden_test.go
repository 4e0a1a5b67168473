package predictor

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
)

// costScript runs a fixed sequence of requests, loads and first events in a table without load
// reports, and returns the cost of each endpoint and the prediction at each step.
func costScript() string {
	t, out, state := NewTable("a"), &strings.Builder{}, uint32(7)
	var list []*Endpoint
	for i := range 6 {
		list = append(list, NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: fmt.Sprint("e", i)}, Service: "llm", Zone: string(rune('a' + i%2)), Slots: 8}))
	}
	t.Replace(map[string][]*Endpoint{"llm": list})
	draw := func(n int) int {
		state = state*1664525 + 1013904223
		return int(state>>16) % n
	}
	now, active := time.Unix(1_000, 0), []*Assignment(nil)
	for step := range 120 {
		now = now.Add(time.Duration(draw(90)) * time.Millisecond)
		list[draw(6)].ObserveLoad(now, Load{Running: draw(9), Waiting: draw(3), Slots: 8, Slowdown: float64(draw(3))})
		a := Request{Service: "llm"}
		if draw(4) > 0 {
			n := int64(200 + draw(9_000))
			a.Prompt = &Prompt{InputTokens: n, MaxOutputTokens: 50, Parts: []Part{{ID: fmt.Sprint("p", draw(4)), Tokens: n / 2}, {ID: "own", Tokens: n - n/2}}}
		}
		best, least := list[0], time.Duration(0)
		fmt.Fprintf(out, "%d:", step)
		for i, e := range list {
			_, c := e.evaluate(now, a, i == 2, nil)
			fmt.Fprintf(out, " %d", c.Microseconds())
			if i == 0 || c < least {
				best, least = e, c
			}
		}
		for _, e := range list {
			if e != best {
				a.Tried = append(a.Tried, e.beat.Incarnation)
			}
		}
		w := t.Choose(now, a)
		fmt.Fprintf(out, " %s %d\n", w.Endpoint().Name(), w.PredictedFirstEvent().Microseconds())
		active = append(active, w)
		if len(active) > 12 {
			active[0].ObserveFirstByte(now)
			active[0].End()
			active = active[1:]
		}
	}
	return out.String()
}

// Guards against a choice that differs from that of earlier builds while load reports are switched
// off. The file was written by a build without load reports.
func TestChoiceWithoutLoadReportsIsUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	want, err := os.ReadFile("testdata/costs.golden")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(costScript()).To(gomega.Equal(string(want)))
}

// Guards against a cost of another zone that differs from that of earlier builds while load reports
// are switched off: 30 ms for prompts and 60 ms for plain requests, with noise of 2 ms.
func TestCostOfAnotherZoneWithoutLoadReportsIsUnchanged(t *testing.T) {
	now := time.Unix(1_000, 0)
	for _, c := range []struct {
		plain bool
		wait  time.Duration
		zone  string
	}{{false, 27 * time.Millisecond, "a"}, {false, 33 * time.Millisecond, "b"}, {true, 57 * time.Millisecond, "a"}, {true, 63 * time.Millisecond, "b"}} {
		g := gomega.NewWithT(t)
		x := NewTable("a")
		here := NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "here"}, Service: "llm", Zone: "a", Slots: 48})
		there := NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "there"}, Service: "llm", Zone: "b", Slots: 48})
		x.Replace(map[string][]*Endpoint{"llm": {here, there}})
		a := Request{Service: "llm"}
		if c.plain {
			here.extraAnswerTime, here.extraAnswerTimeAt = c.wait, now
		} else {
			a.Prompt = &Prompt{InputTokens: 100, Parts: []Part{{ID: "own", Tokens: 100}}}
			here.RecordDispatch(now, Dispatch{PrefillTime: c.wait})
		}
		for range 50 {
			w := x.Choose(now, a)
			g.Expect(w.Endpoint().Beat().Zone).To(gomega.Equal(c.zone), "wait of %s", c.wait)
			w.queuePosition = 0
			w.End()
			here.queue.enqueued, here.queue.processed = c.wait, 0
			if c.plain {
				here.queue.enqueued = 0
			}
			there.queue = queue{}
		}
	}
}
