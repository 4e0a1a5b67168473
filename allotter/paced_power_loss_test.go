package allotter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
)

// powerLoss is a fleet with a total demand of 1.3 million tokens per second over 24 workspaces, in
// requests of 3,200 tokens on average, which loses power after 15 s and is back 1.7 s later.
type powerLoss struct {
	routers, callersPerRouter int
	interval                  time.Duration
	// Runs is how long a request keeps its reservation. A request spends its tokens at its end.
	runs time.Duration
}

const (
	fleetDemand   = 1_300_000.0
	vmRestartTime = 1700 * time.Millisecond
	requestTokens = 3_200
)

// openReservation is a request in progress at one router.
type openReservation struct {
	allocation *allotter.Allocation
	tokens     int64
	endsAt     time.Time
}

// run returns the tokens written off beyond what was spent, by cause, and the same as counted by
// the ledger.
func (l powerLoss) run(seed uint64) (allotter.Loss, int64) {
	const workspaces, step = 24, 25 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 1))
	f := newSimulatedFleet(l.routers, workspaces, 50_000_000, l.interval)
	serves := make([][]string, l.routers)
	for i := range serves {
		for range l.callersPerRouter {
			serves[i] = append(serves[i], f.workspaces[int(workspaces*r.Float64()*r.Float64())])
		}
	}
	open := make([][]openReservation, l.routers)
	start := time.Unix(1000, 0)
	now := start
	for at := time.Duration(0); at < 15*time.Second; at += step {
		now = start.Add(at)
		for i := range l.routers {
			open[i] = settleEnded(open[i], now)
			if (at+l.interval*time.Duration(i)/time.Duration(l.routers))%l.interval < step {
				f.sendClaim(i, now)
			}
			for tokens := fleetDemand / float64(l.routers) * step.Seconds(); r.Float64() < tokens/requestTokens; tokens -= requestTokens {
				n := int64(requestTokens * r.ExpFloat64())
				p := f.allocations[i][serves[i][r.IntN(l.callersPerRouter)]]
				if !p.Reserve(now, n) {
					f.sendClaim(i, now)
					if !p.RetryReserve(now, n) {
						continue
					}
				}
				open[i] = append(open[i], openReservation{allocation: p, tokens: n, endsAt: now.Add(l.runs)})
			}
		}
	}
	if l.runs == 0 {
		for i := range open {
			open[i] = settleEnded(open[i], now)
		}
	}
	restartedAt := now.Add(vmRestartTime)
	var loss allotter.Loss
	for _, allocations := range f.allocations {
		for _, p := range allocations {
			x := p.LossAt(restartedAt)
			loss.Reservations += x.Reservations
			loss.Ceiling += x.Ceiling
			loss.Rise += x.Rise
			loss.Idle += x.Idle
			loss.ClockMargin += x.ClockMargin
		}
	}
	return loss, loss.Reservations + f.losePower(restartedAt)
}

// settleEnded settles the requests that have ended and returns the others.
func settleEnded(open []openReservation, now time.Time) []openReservation {
	var out []openReservation
	for _, x := range open {
		if x.endsAt.After(now) {
			out = append(out, x)
			continue
		}
		x.allocation.Settle(x.tokens, x.tokens)
	}
	return out
}

// pacedInterval returns the claim interval for a number of routers at a keeper that uses 0.06 of
// its 0.48 cores and commits claims in 10 ms.
func pacedInterval(routers int) time.Duration {
	var p allotter.ClaimPacer
	var out time.Duration
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		out = p.Step(now, allotter.PacerLoad{Routers: routers, Use: 0.06 / 0.48, UseKnown: true, CommitTime: 10 * time.Millisecond})
	}
	return out
}

// Guards against writing off too many tokens in a small and in a large fleet that loses power. The
// claim interval of the large fleet is the one that its idle keepers state.
func TestPacedPowerLossWritesLittleOff(t *testing.T) {
	const seeds, callers = 5, 330
	for _, routers := range []int{9, 82} {
		g := gomega.NewWithT(t)
		l := powerLoss{routers: routers, callersPerRouter: callers / routers, interval: pacedInterval(routers)}
		var sum int64
		for seed := range uint64(seeds) {
			_, n := l.run(seed)
			sum += n
		}
		seconds := float64(sum) / seeds / fleetDemand
		t.Logf("%d routers, one claim every %v: %.2f s of demand written off", routers, l.interval, seconds)
		g.Expect(seconds).To(gomega.BeNumerically("<=", 1.5))
	}
}

// Guards against a cause of write-offs that nobody accounts for, and against one cause that grows
// while another one falls. Requests run for 2 s when all routers lose power.
func TestWrittenOffTokensByCause(t *testing.T) {
	const callers = 330
	for _, c := range []struct {
		routers  int
		interval time.Duration
		// The most for each cause, in seconds of demand.
		reservations, ceiling, rise, idle, clockMargin float64
	}{
		{routers: 9, interval: pacedInterval(9), reservations: 2.2, ceiling: 1.5, rise: 0.05, idle: 0.2, clockMargin: 0.1},
		{routers: 66, interval: 1375 * time.Millisecond, reservations: 2.2, ceiling: 1.2, rise: 0.4, idle: 0.05, clockMargin: 0.2},
		{routers: 82, interval: pacedInterval(82), reservations: 2.2, ceiling: 1.5, rise: 0.05, idle: 0.05, clockMargin: 0.1},
	} {
		g := gomega.NewWithT(t)
		l := powerLoss{routers: c.routers, callersPerRouter: callers / c.routers, interval: c.interval, runs: 2 * time.Second}
		loss, counted := l.run(0)
		in := func(n int64) float64 { return float64(n) / fleetDemand }
		t.Logf("%d routers, one claim every %v: reservations %.2f s, ceiling %.2f s, rise %.2f s, idle workspaces %.2f s, clock margin %.2f s",
			c.routers, c.interval, in(loss.Reservations), in(loss.Ceiling), in(loss.Rise), in(loss.Idle), in(loss.ClockMargin))
		g.Expect(loss.Sum()).To(gomega.Equal(counted), "the causes add up to what the ledger counts")
		g.Expect(in(loss.Reservations)).To(gomega.BeNumerically("<=", c.reservations), "running reservations")
		g.Expect(in(loss.Ceiling)).To(gomega.BeNumerically("<=", c.ceiling), "ceiling")
		g.Expect(in(loss.Rise)).To(gomega.BeNumerically("<=", c.rise), "rise")
		g.Expect(in(loss.Idle)).To(gomega.BeNumerically("<=", c.idle), "idle workspaces")
		g.Expect(in(loss.ClockMargin)).To(gomega.BeNumerically("<=", c.clockMargin), "clock margin")
	}
}
