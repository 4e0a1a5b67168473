package allotter_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

func momentAt(at time.Time) *messenger.RightsMoment {
	return &messenger.RightsMoment{RouterMs: at.UnixMilli(), BootMs: at.UnixMilli(), LeaderMs: at.UnixMilli(), KeeperMs: at.UnixMilli()}
}

var sequence uint64

// sendClaim settles an allocation with the ledger for a router that started at a given time.
func sendClaim(l *allotter.Ledger, router string, incarnation uint64, p *allotter.Allocation, now, started time.Time) *messenger.RightsGrants {
	return sendClaimWithInterval(l, router, incarnation, p, now, started, 400*time.Millisecond)
}

// sendClaimWithInterval is sendClaim if the next claim follows after an interval.
func sendClaimWithInterval(l *allotter.Ledger, router string, incarnation uint64, p *allotter.Allocation, now, started time.Time, interval time.Duration) *messenger.RightsGrants {
	c := p.NextClaim(now, workspace, 0, interval)
	sequence++
	g := l.ApplyClaims(&messenger.RightsChange{
		Router: router, Incarnation: incarnation, Claims: []*messenger.RightsClaim{c}, Sequence: sequence, Answered: sequence - 1,
		Sent: momentAt(now), Started: momentAt(started),
	})
	if !g.Ended {
		p.ApplyGrant(g.Grants[0], c, now)
	}
	return g
}

func newLedger(total int64) *allotter.Ledger {
	l := allotter.NewLedger()
	l.SetTotals([]*messenger.PrepaidTotal{{Workspace: workspace, Tokens: total}})
	return l
}

// Guards against a workspace that gets more tokens than it paid for, 770 in one case. A router is
// shut down, its grace period ends with two streams in progress, and it returns its tokens.
// Another router is granted them while the last events of the two streams are delivered. A closing
// claim that counts only settled requests causes this.
func TestLastClaimCountsRequestsInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	l, p := newLedger(100_000), &allotter.Allocation{}
	g.Expect(p.Reserve(now, 60_000)).To(gomega.BeFalse())
	sendClaim(l, "a", 1, p, now, now)
	g.Expect(p.Reserve(now, 60_000)).To(gomega.BeTrue())
	l.ApplyClaims(&messenger.RightsChange{Router: "a", Incarnation: 1, Closing: true, Sequence: sequence + 1, Claims: []*messenger.RightsClaim{p.Close(workspace)}})
	g.Expect(l.Unallocated(workspace)).To(gomega.Equal(int64(40_000)))
	g.Expect(p.Reserve(now, 1)).To(gomega.BeFalse(), "a closed allocation reserves nothing")
}

// Guards against recovering tokens twice from an ended process. Its successor has claimed when a
// delayed claim of the ended process arrives. Taking that claim for one of a new incarnation
// causes this.
func TestDelayedClaimOfEndedProcessIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	l, p, q := newLedger(100_000), &allotter.Allocation{}, &allotter.Allocation{}
	p.Reserve(now, 50_000)
	sendClaim(l, "a", 1, p, now, now)
	left := l.Unallocated(workspace)
	g.Expect(sendClaim(l, "a", 2, q, now, now).Ended).To(gomega.BeFalse())
	g.Expect(sendClaim(l, "a", 1, p, now, now).Ended).To(gomega.BeTrue())
	g.Expect(l.Unallocated(workspace)).To(gomega.Equal(left))
}

// Six routers spend a total evenly and one of them stops. The tokens that it holds must be
// returned before the total is spent. Users are owed at least 97% of the total.
func TestAlmostAllOfATotalCanBeSpent(t *testing.T) {
	g := gomega.NewWithT(t)
	const total, request = 1_000_000, 3_000
	now := time.Unix(1000, 0)
	l := newLedger(total)
	var allocations []*allotter.Allocation
	for range 6 {
		allocations = append(allocations, &allotter.Allocation{})
	}
	var spent int64
	for second := range 200 {
		for i, p := range allocations {
			for range 4 {
				if (i > 0 || second < 5) && p.Reserve(now, request) {
					p.Settle(request, request)
					spent += request
				}
			}
			sendClaim(l, string(rune('a'+i)), uint64(i+1), p, now, time.Unix(1000, 0))
		}
		now = now.Add(time.Second)
	}
	g.Expect(spent).To(gomega.BeNumerically("<=", total))
	g.Expect(spent).To(gomega.BeNumerically(">=", total*97/100), "spent of the total")
}

// Guards against counting most of each total as spent after all routers lost power, so that only a
// quarter of the requests is served. Routers hold tokens for 14 s of demand, all lose power, and
// they are back 1.5 s later. Without an upper bound on what an incarnation can have spent, all
// tokens that it held count as spent.
func TestTokensACrashedRouterCannotHaveSpentAreRecovered(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(time.Time) *messenger.RightsMoment
		most int64
	}{
		"killed":     {momentAt, 20_000},
		"power lost": {func(at time.Time) *messenger.RightsMoment { m := momentAt(at); m.BootMs = 77; return m }, 30_000},
		"clocks disagree": {func(at time.Time) *messenger.RightsMoment {
			m := momentAt(at)
			m.BootMs = 77
			m.RouterMs -= 2000
			return m
		}, 1 << 40},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Unix(1000, 0)
			l, p := newLedger(1_000_000), &allotter.Allocation{}
			var spent int64
			for range 40 {
				now = now.Add(400 * time.Millisecond)
				if p.Reserve(now, 800) {
					p.Settle(800, 800)
					spent += 800
				}
				sendClaim(l, "a", 1, p, now, now)
			}
			held := 1_000_000 - l.Unallocated(workspace) - spent
			g.Expect(held).To(gomega.BeNumerically(">", 20_000), "tokens held ahead of demand")
			restartedAt := now.Add(1500 * time.Millisecond)
			q := &allotter.Allocation{}
			l.ApplyClaims(&messenger.RightsChange{Router: "a", Incarnation: 2, Sequence: 1, Sent: c.end(restartedAt), Started: c.end(restartedAt), Claims: []*messenger.RightsClaim{q.NextClaim(restartedAt, workspace, 0, 400*time.Millisecond)}})
			lost := 1_000_000 - l.Unallocated(workspace) - spent
			g.Expect(lost).To(gomega.BeNumerically("<=", c.most))
			if name == "clocks disagree" {
				g.Expect(lost).To(gomega.Equal(held))
			}
		})
	}
}

// A workspace has spent its total and still sends hundreds of requests per second. One search per
// failedSearchTTL is enough. Smaller requests, which may still fit, search on their own.
func TestFailedSearchIsNotRepeatedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	p := &allotter.Allocation{}
	p.RecordFailedSearch(now, 5_000)
	g.Expect(p.FailedSearchRecently(now.Add(100*time.Millisecond), 6_000)).To(gomega.BeTrue())
	g.Expect(p.FailedSearchRecently(now.Add(100*time.Millisecond), 4_000)).To(gomega.BeFalse())
	g.Expect(p.FailedSearchRecently(now.Add(time.Second), 6_000)).To(gomega.BeFalse())
	p.Receive(10_000)
	g.Expect(p.FailedSearchRecently(now.Add(100*time.Millisecond), 6_000)).To(gomega.BeFalse())
}
