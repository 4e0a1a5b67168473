package enforcer_test

import (
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enforcer"
)

// Many callers send large bodies slowly. Guards against a process that holds all of them until it
// exceeds its memory.
func TestManySlowCallersStayWithinTheMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	m := enforcer.NewMemory(1000)
	var accepted, refused int
	var holdings []*enforcer.Holding
	for range 30 {
		h := m.Hold()
		holdings = append(holdings, h)
		_, err := io.ReadAll(h.Reader(strings.NewReader(strings.Repeat("x", 100))))
		if err == nil {
			accepted++
			continue
		}
		g.Expect(err).To(gomega.MatchError(enforcer.ErrMemory))
		refused++
		h.Release()
	}
	g.Expect([]int{accepted, refused}).To(gomega.Equal([]int{10, 20}))
	g.Expect(m.Held()).To(gomega.Equal(int64(1000)))
	holdings[0].Release()
	g.Expect(m.Hold().Reserve(100)).To(gomega.Succeed(), "what one request released serves the next")
}

// Guards against an answer that is thrown away because requests fill the memory, and against bytes
// that stay counted after their request.
func TestAnswersCountBeyondTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	m := enforcer.NewMemory(100)
	h := m.Hold()
	g.Expect(h.Reserve(100)).To(gomega.Succeed())
	h.Add(50)
	g.Expect(m.Held()).To(gomega.Equal(int64(150)))
	g.Expect(m.Hold().Reserve(1)).To(gomega.MatchError(enforcer.ErrMemory))
	h.Release()
	h.Release()
	g.Expect(m.Held()).To(gomega.BeZero())
}

func TestNoLimitHoldsEverything(t *testing.T) {
	g := gomega.NewWithT(t)
	h := enforcer.NewMemory(0).Hold()
	h.Add(1 << 40)
	g.Expect(h.Reserve(1 << 40)).To(gomega.Succeed())
	h.Release()
}
