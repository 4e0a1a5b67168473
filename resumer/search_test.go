package resumer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/resumer"
)

func candidates(addresses ...string) []resumer.Member {
	var out []resumer.Member
	for _, a := range addresses {
		out = append(out, resumer.Member{Address: a})
	}
	return out
}

// Guards against a search that takes silence for an answer, or that waits for silent routers although
// one of them knows the stream.
func TestSearchEndsWithTheFirstAnswerThatKnows(t *testing.T) {
	g := gomega.NewWithT(t)
	s := resumer.NewSearch(start, candidates("a", "b", "c"), 0)
	g.Expect(s.Tick(start)).To(gomega.HaveLen(3))
	s.Answer("b", resumer.Origin{}, false, 0)
	s.Answer("stranger", resumer.Origin{Service: "s", Version: "v9"}, true, 0)
	_, done, _ := s.Result(start)
	g.Expect(done).To(gomega.BeFalse())
	s.Answer("c", resumer.Origin{Service: "s", Version: "v1"}, true, 0)
	o, done, err := s.Result(start)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(done).To(gomega.BeTrue())
	g.Expect(o).To(gomega.Equal(resumer.Origin{Service: "s", Version: "v1"}))
}

// Guards against a stream that counts as unknown because its origin arrives a moment after the caller
// has come back: each router has to say twice that it does not know it.
func TestSearchAsksTwiceBeforeAStreamIsUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := resumer.NewSearch(start, candidates("a", "b"), 0)
	now := start
	for range 2 {
		g.Expect(s.Tick(now)).To(gomega.HaveLen(2))
		g.Expect(s.Tick(now)).To(gomega.BeEmpty())
		_, done, _ := s.Result(now)
		g.Expect(done).To(gomega.BeFalse())
		s.Answer("a", resumer.Origin{}, false, 0)
		s.Answer("b", resumer.Origin{}, false, 0)
		now = now.Add(100 * time.Millisecond)
	}
	_, done, err := s.Result(now)
	g.Expect(done).To(gomega.BeTrue())
	g.Expect(err).To(gomega.MatchError(resumer.ErrUnknown))
}

// Guards against a silent router that counts as one that does not know the stream, and against a search
// without an end.
func TestSearchAtSilentRoutersIsUndecided(t *testing.T) {
	g := gomega.NewWithT(t)
	s := resumer.NewSearch(start, candidates("a", "b"), 0)
	asked := 0
	for now := start; now.Before(start.Add(300 * time.Millisecond)); now = now.Add(10 * time.Millisecond) {
		for _, m := range s.Tick(now) {
			if m.Address == "a" {
				s.Answer("a", resumer.Origin{}, false, 0)
			}
			asked++
		}
		_, done, _ := s.Result(now)
		g.Expect(done).To(gomega.BeFalse())
	}
	g.Expect(asked).To(gomega.Equal(5), "three times the silent one, twice the other")
	_, done, err := s.Result(start.Add(300 * time.Millisecond))
	g.Expect(done).To(gomega.BeTrue())
	g.Expect(err).To(gomega.MatchError(resumer.ErrUnreachable))
	_, done, err = resumer.NewSearch(start, nil, 0).Result(start)
	g.Expect(done).To(gomega.BeTrue())
	g.Expect(err).To(gomega.MatchError(resumer.ErrUnreachable), "a router that knows no other one can't tell")
}

// Guards against a stream that goes on at the version of another one of its content, which is the only one that a
// router knows as it has just started.
func TestRouterThatHasJustStartedDoesNotTellStreamsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	o := resumer.Origin{Service: "s", Version: "v1"}
	s := resumer.NewSearch(start, candidates("a", "b"), time.Minute)
	g.Expect(s.Tick(start)).To(gomega.HaveLen(2))
	s.Answer("a", o, true, time.Second)
	_, done, _ := s.Result(start)
	g.Expect(done).To(gomega.BeFalse())
	s.Answer("b", o, true, time.Minute)
	found, done, err := s.Result(start)
	g.Expect(found).To(gomega.Equal(o))
	g.Expect(done).To(gomega.BeTrue())
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
