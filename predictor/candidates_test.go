package predictor

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
)

// largeTable returns a table with n endpoints of one service, a tenth of them in another
// zone than the router's.
func largeTable(n int) (*Table, []*Endpoint) {
	t, list := NewTable("a"), []*Endpoint(nil)
	for i := range n {
		zone := "a"
		if i%10 == 0 {
			zone = "b"
		}
		list = append(list, NewEndpoint(enroller.Heartbeat{
			Incarnation: enroller.Incarnation{ID: "i-" + strconv.Itoa(i)}, Service: "llm", Zone: zone, Slots: 12,
		}))
	}
	t.Replace(map[string][]*Endpoint{"llm": list})
	return t, list
}

// sharing returns a request whose prompt starts with the given shared part.
func sharing(part string) Request {
	return Request{Service: "llm", Prompt: &Prompt{InputTokens: 6_000, MaxOutputTokens: 100, Parts: []Part{{ID: part, Tokens: 5_000}, {ID: "own", Tokens: 1_000}}}}
}

// Guards against a choice that evaluates all endpoints of a large service for each request:
// the number of candidates must be the same with 2,000 and 4,000 endpoints.
func TestChoiceTakesTheSameStepsAtTwiceTheSize(t *testing.T) {
	g := gomega.NewWithT(t)
	size := func(n int) int {
		x, _ := largeTable(n)
		group := (*x.byService.Load())["llm"]
		a := sharing("p")
		return len(group.candidates(a, group.home(time.Now(), a)))
	}
	g.Expect(size(4_000)).To(gomega.Equal(size(2_000)))
	g.Expect(size(2_000)).To(gomega.BeNumerically("<", 32))
}

// Guards against routers of a zone that look for the same shared part at different
// endpoints, and against all parts moving when one endpoint leaves.
func TestHomesOfALargeServiceAgree(t *testing.T) {
	g := gomega.NewWithT(t)
	x, list := largeTable(2_000)
	y := NewTable("a")
	y.Replace(map[string][]*Endpoint{"llm": list[1:]})
	moved, load := 0, map[*Endpoint]int{}
	for i := range 4_000 {
		a := sharing("part" + strconv.Itoa(i))
		one := (*x.byService.Load())["llm"].home(time.Now(), a)
		two := (*y.byService.Load())["llm"].home(time.Now(), a)
		g.Expect(one.beat.Zone).To(gomega.Equal("a"))
		load[one]++
		if one != two {
			moved++
		}
	}
	g.Expect(moved).To(gomega.BeNumerically("<", 12))
	most := 0
	for _, n := range load {
		most = max(most, n)
	}
	g.Expect(most).To(gomega.BeNumerically("<", 16), "2.2 on average")
}

// Guards against refusals because no endpoint of the random sample is in service, as when a
// network partition takes nearly all endpoints of a large service out at once.
func TestLastEndpointOfALargeServiceIsFound(t *testing.T) {
	g := gomega.NewWithT(t)
	x, list := largeTable(1_000)
	for _, e := range list[1:] {
		e.Exclude()
	}
	g.Expect(x.Choose(time.Now(), sharing("p")).Endpoint()).To(gomega.BeIdenticalTo(list[0]))
}

// Guards against very long prompts, of 30,000 tokens, that all go to one of 2,000
// endpoints, or to endpoints that serve short prompts.
func TestVeryLongPromptsAreSpreadOverDedicatedEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	x, _ := largeTable(2_000)
	group, now := (*x.byService.Load())["llm"], time.Now()
	g.Expect(len(group.localDedicated)).To(gomega.Equal(28))
	seen := map[*Endpoint]bool{}
	for range 200 {
		w := x.Choose(now, Request{Service: "llm", Prompt: &Prompt{InputTokens: 30_000, MaxOutputTokens: 100, Parts: []Part{{ID: "own", Tokens: 30_000}}}})
		g.Expect(group.dedicated[w.Endpoint()]).To(gomega.BeTrue())
		seen[w.Endpoint()] = true
		w.ObserveFirstByte(now)
		w.End()
	}
	g.Expect(len(seen)).To(gomega.BeNumerically(">", 10))
}
