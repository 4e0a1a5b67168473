package imitator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func TestBatchAdmitsByPriority(t *testing.T) {
	g := gomega.NewWithT(t)
	synctest.Test(t, func(*testing.T) {
		b := &batch{capacity: 1, tokenTime: time.Millisecond}
		never := make(chan struct{})
		g.Expect(b.enter(0, never)).To(gomega.BeTrue())
		var order []int
		for _, p := range []int{5, 1, 3} {
			go func() {
				b.enter(p, never)
				order = append(order, p)
				b.leave()
			}()
			synctest.Wait()
		}
		gone := make(chan struct{})
		close(gone)
		g.Expect(b.enter(0, gone)).To(gomega.BeFalse())
		b.leave()
		synctest.Wait()
		g.Expect(order).To(gomega.Equal([]int{1, 3, 5}))
		g.Expect(b.load()).To(gomega.BeZero())
	})
}

func TestBatchSlowsAsItGrows(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &batch{capacity: 8, tokenTime: 100 * time.Millisecond}
	never := make(chan struct{})
	b.enter(0, never)
	alone := b.step()
	b.enter(0, never)
	b.enter(0, never)
	g.Expect(alone).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(b.step()).To(gomega.Equal(110 * time.Millisecond))
}

func TestCacheHitsEvictsAndPublishesLateWithGaps(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newPrefixCache(4)
	c.loss = 3
	start := time.Unix(0, 0)
	prompt := make([]byte, 3*cacheBlockBytes)
	g.Expect(c.use(prompt, start)).To(gomega.BeZero())
	g.Expect(c.use(prompt, start)).To(gomega.BeEquivalentTo(3 * tokensPerBlock))
	other := make([]byte, 4*cacheBlockBytes)
	other[0] = 1
	c.use(other, start)
	g.Expect(c.use(prompt, start)).To(gomega.BeZero(), "evicted")
	g.Expect(c.published(0, start.Add(c.lag-1))).To(gomega.BeEmpty())
	var sequences []uint64
	for _, e := range c.published(0, start.Add(c.lag)) {
		sequences = append(sequences, e.Sequence)
	}
	g.Expect(sequences[:4]).To(gomega.Equal([]uint64{1, 2, 4, 5}))
}

func TestLoadIsReportedWithItsLag(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	r := &loadReport{lag: time.Second}
	r.note(1, start)
	r.note(2, start.Add(500*time.Millisecond))
	g.Expect(r.at(start.Add(900 * time.Millisecond))).To(gomega.BeZero())
	g.Expect(r.at(start.Add(1200 * time.Millisecond))).To(gomega.BeEquivalentTo(1))
	g.Expect(r.at(start.Add(2 * time.Second))).To(gomega.BeEquivalentTo(2))
	g.Expect(r.at(start.Add(9 * time.Second))).To(gomega.BeEquivalentTo(2))
}
