package budgeter_test

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"unsafe"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
)

// Guards against a router that spends more than it leased, or refuses a request
// although its budget holds enough. This happens if rights are lost or
// duplicated while they move between counters. Many threads reserve, settle,
// grant and withdraw at once, in sizes that make the budget distribute its
// rights, run out and gather them again.
func TestConcurrentSpendingConservesRights(t *testing.T) {
	for seed := range uint64(8) {
		g := gomega.NewWithT(t)
		var s budgeter.LeasedBudget
		s.Grant(2_000_000)
		var granted, withdrawn, spent, held atomic.Int64
		granted.Store(2_000_000)
		var wg sync.WaitGroup
		for w := range uint64(12) {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(seed, w))
				for range 3000 {
					n := 1 + r.Int64N(1200)
					switch {
					case r.IntN(400) == 0:
						s.Grant(rattanhoist.Tokens(n))
						granted.Add(n)
					case r.IntN(400) == 0:
						withdrawn.Add(int64(s.Withdraw(rattanhoist.Tokens(n))))
					case s.Reserve(rattanhoist.Tokens(n)):
						if held.Add(n) > granted.Load() {
							t.Error("reserved more than granted")
						}
						used := r.Int64N(n + 1)
						held.Add(-n)
						s.Settle(rattanhoist.Tokens(n), rattanhoist.Tokens(used))
						spent.Add(used)
					}
				}
			})
		}
		wg.Wait()
		left := granted.Load() - withdrawn.Load() - spent.Load()
		g.Expect(left).To(gomega.BeNumerically(">=", 0))
		g.Expect(int64(s.Available())).To(gomega.Equal(left))
		g.Expect(int64(s.Spent())).To(gomega.Equal(spent.Load()))
		g.Expect(s.Reserved()).To(gomega.BeZero())
		g.Expect(s.Reserve(rattanhoist.Tokens(left))).To(gomega.BeTrue(), "the last token must be found")
		g.Expect(s.Reserve(1)).To(gomega.BeFalse())
	}
}

// Guards against the refusal of two requests although the budget could serve
// one of them. This happens if two threads collect the rights of the stripes at
// the same time without a lock, and each finds half of them.
func TestRacingSweepsRefuseOnlyOne(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 200 {
		var s budgeter.LeasedBudget
		budgeter.GrantDistributedForTest(&s, 16_000)
		var served atomic.Int64
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				if s.Reserve(10_000) {
					served.Add(1)
				}
			})
		}
		wg.Wait()
		g.Expect(served.Load()).To(gomega.Equal(int64(1)))
	}
}

func TestIdleSliceIsSmall(t *testing.T) {
	gomega.NewWithT(t).Expect(int(unsafe.Sizeof(budgeter.LeasedBudget{}))).To(gomega.BeNumerically("<=", 64))
}

func TestReserveAndSettleAllocateNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, spread := range []bool{false, true} {
		var s budgeter.LeasedBudget
		s.Grant(1 << 40)
		if spread {
			budgeter.GrantDistributedForTest(&s, 1<<40)
		}
		n := testing.AllocsPerRun(1000, func() {
			if s.Reserve(600) {
				s.Settle(600, 0)
			}
		})
		g.Expect(n).To(gomega.BeNumerically("<", 0.01))
	}
}

// BenchmarkReserveSettle measures a reservation of the worst case and its
// settlement, as made for each request, on one budget from all threads.
func BenchmarkReserveSettle(b *testing.B) {
	for _, threads := range []int{1, 2, 4, 8, 12} {
		b.Run("threads_"+string(rune('0'+threads/10))+string(rune('0'+threads%10)), func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(threads))
			var s budgeter.LeasedBudget
			s.Grant(1 << 50)
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if s.Reserve(600) {
						s.Settle(600, 200)
					}
				}
			})
		})
	}
}
