package allotter_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against overspending when the clocks of the leader and another keeper agree and the
// router's does not. A claim is delayed for 8 s by a network partition, during which the router
// spends what its bound allows. Both keepers read their clocks when the claim arrives, so they agree
// and are 8 s late. The router then loses power, and its clock is wrong when it is back.
func TestDelayedClaimIsNotDatedByKeepersAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	l, p := newLedger(100_000_000), &allotter.Allocation{}
	for range 10 {
		runRequests(p, now, 20, time.Second)
		now = now.Add(time.Second)
		sendClaim(l, "a", 1, p, now, now)
	}
	sequence++
	delayed := &messenger.RightsChange{
		Router: "a", Incarnation: 1, Sequence: sequence, Answered: sequence - 1, Sent: momentAt(now), Started: momentAt(now), Binding: true,
		Claims: []*messenger.RightsClaim{p.NextClaim(now, workspace, 0, 250*time.Millisecond)},
	}
	runRequests(p, now, 20, 8*time.Second)
	now = now.Add(8 * time.Second)
	delayed.Sent.LeaderMs, delayed.Sent.KeeperMs = now.UnixMilli(), now.UnixMilli()
	l.ApplyClaims(delayed)
	end := momentAt(now.Add(time.Second))
	end.BootMs, end.RouterMs = 77, end.RouterMs+60_000
	l.ApplyClaims(&messenger.RightsChange{Router: "a", Incarnation: 2, Sequence: 1, Sent: end, Started: end})
	g.Expect(l.Balances()[0].SpentByEnded).To(gomega.BeNumerically(">=", p.Used()), "tokens used that could be granted again")
}

// Guards against tokens that are written off because one keeper's clock was adjusted between the last
// claim of a router that lost power and its restart, as if two clocks might have been.
func TestOneAdjustedClockCostsLittle(t *testing.T) {
	writtenOff := func(adjust func(m *messenger.RightsMoment)) int64 {
		now := time.Unix(1000, 0)
		l, p := newLedger(100_000_000), &allotter.Allocation{}
		for range 40 {
			runRequests(p, now, 20, 250*time.Millisecond)
			now = now.Add(250 * time.Millisecond)
			sendClaim(l, "a", 1, p, now, now)
		}
		used := p.Used()
		end := momentAt(now.Add(1300 * time.Millisecond))
		end.BootMs = 77
		adjust(end)
		sequence++
		l.ApplyClaims(&messenger.RightsChange{Router: "a", Incarnation: 2, Sequence: sequence, Sent: end, Started: end})
		return l.Balances()[0].SpentByEnded - used
	}
	g := gomega.NewWithT(t)
	least := writtenOff(func(*messenger.RightsMoment) {})
	most := writtenOff(func(m *messenger.RightsMoment) { m.KeeperMs = 0 })
	everything := writtenOff(func(m *messenger.RightsMoment) { m.RouterMs = 0 })
	g.Expect(least).To(gomega.BeNumerically("<", most))
	for name, c := range map[string]struct {
		adjust func(*messenger.RightsMoment)
		want   int64
	}{
		"keeper set back":    {func(m *messenger.RightsMoment) { m.KeeperMs -= 3000 }, least},
		"leader set back":    {func(m *messenger.RightsMoment) { m.LeaderMs -= 3000 }, least},
		"keeper set forward": {func(m *messenger.RightsMoment) { m.KeeperMs += 3000 }, most},
		"leader set forward": {func(m *messenger.RightsMoment) { m.LeaderMs += 3000 }, most},
		"slightly forward":   {func(m *messenger.RightsMoment) { m.KeeperMs += 1000 }, (least + most) / 2},
		"far forward":        {func(m *messenger.RightsMoment) { m.KeeperMs += 600_000 }, everything},
	} {
		off := writtenOff(c.adjust)
		g.Expect(off).To(gomega.BeNumerically("<=", c.want), name)
		g.Expect(off).To(gomega.BeNumerically(">=", least), name)
	}
}

// Guards against overspending when the clocks of a router, of the leader and of another keeper are set back
// alike between the router's last claim and the end of its process, while its VM goes on: the time that has passed
// would count as shorter, and less as spent than was.
func TestThreeAdjustedClocksDoNotShortenTheTimeSinceBoot(t *testing.T) {
	for _, back := range []int64{0, 1000, 3890, 6000} {
		g := gomega.NewWithT(t)
		now := time.Unix(1000, 0)
		l, p := newLedger(100_000_000), &allotter.Allocation{}
		for range 40 {
			runRequests(p, now, 20, 250*time.Millisecond)
			now = now.Add(250 * time.Millisecond)
			sendClaim(l, "a", 1, p, now, now)
		}
		runRequests(p, now, 20, 6200*time.Millisecond)
		end := momentAt(now.Add(6200 * time.Millisecond))
		end.RouterMs, end.LeaderMs, end.KeeperMs = end.RouterMs-back, end.LeaderMs-back, end.KeeperMs-back
		sequence++
		l.ApplyClaims(&messenger.RightsChange{Router: "a", Incarnation: 2, Sequence: sequence, Sent: end, Started: end})
		g.Expect(l.Balances()[0].SpentByEnded).To(gomega.BeNumerically(">=", p.Used()), "set back by %d ms: tokens used that could be granted again", back)
	}
}

// Guards against the loss of nearly all rights of routers that lost power: their VMs come back with a clock
// since boot that is far ahead, which would count as the time from the last claim to the end.
func TestClockOfAnotherBootIsNotTheTimeUntilTheEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	spent := map[time.Duration]int64{}
	for _, ahead := range []time.Duration{0, time.Hour, 24 * time.Hour} {
		now := time.Unix(1000, 0)
		l, p := newLedger(100_000_000), &allotter.Allocation{}
		for range 40 {
			runRequests(p, now, 20, 250*time.Millisecond)
			now = now.Add(250 * time.Millisecond)
			sendClaim(l, "a", 1, p, now, now)
		}
		end := momentAt(now.Add(2 * time.Second))
		end.BootMs += ahead.Milliseconds()
		sequence++
		l.ApplyClaims(&messenger.RightsChange{Router: "a", Incarnation: 2, Sequence: sequence, Sent: end, Started: end})
		spent[ahead] = l.Balances()[0].SpentByEnded
		g.Expect(spent[ahead]).To(gomega.BeNumerically(">=", p.Used()))
	}
	g.Expect(spent[time.Hour]).To(gomega.Equal(spent[0]))
	g.Expect(spent[24*time.Hour]).To(gomega.Equal(spent[0]))
}
