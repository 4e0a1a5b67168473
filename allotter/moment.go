package allotter

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// clocksAgree is how far two clocks may differ on a time for it to count
	// as known: clocks that run properly differ by far less.
	clocksAgree = 200 * time.Millisecond
	// twoClocks is added where only two clocks of other VMs tell: two that
	// were set by the same amount agree and are wrong. Steps are of seconds;
	// that three are set alike between a claim and a restart is ruled out.
	twoClocks = 3 * time.Second
)

// elapsed returns the most time that can lie between two moments of one VM,
// and whether it is known. One clock proves nothing: the time of day jumps, and
// the clock since the VM's start begins anew. Clocks of several VMs that agree
// do.
func elapsed(from, to *messenger.RightsMoment) (time.Duration, bool) {
	router := between(from.GetRouterMs(), to.GetRouterMs())
	leader := between(from.GetLeaderMs(), to.GetLeaderMs())
	keeper := between(from.GetKeeperMs(), to.GetKeeperMs())
	boot := between(from.GetBootMs(), to.GetBootMs())
	switch {
	case boot > 0 && (agree(boot, router) || agree(boot, leader)):
		return boot + clocksAgree, true
	case agree(router, leader) && agree(router, keeper) && agree(leader, keeper):
		return max(router, leader, keeper, 0) + clocksAgree, true
	case agree(router, leader):
		return max(router, leader, 0) + clocksAgree + twoClocks, true
	}
	return 0, false
}

// untilEnd returns for each claim the most time that can lie between its sending
// and the end of the incarnation that made it, or unknown. A claim was sent after
// the one before it, so no more time can lie behind it: a claim that fewer clocks
// tell of, because it took another way, is as good as the one before.
func untilEnd(statements []*messenger.RightsStatement, end *messenger.RightsMoment) []time.Duration {
	out := make([]time.Duration, len(statements))
	before := unknown
	for i, s := range statements {
		t, ok := elapsed(s.Sent, end)
		switch {
		case !ok:
			t = before
		case before != unknown:
			t = min(t, before)
		}
		out[i], before = t, t
	}
	return out
}

// endedAfter returns the most time between the last claim and the end, in milliseconds, or
// -1 where it is not known.
func endedAfter(statements []*messenger.RightsStatement, end *messenger.RightsMoment) int64 {
	times := untilEnd(statements, end)
	if n := len(times); n > 0 && times[n-1] != unknown {
		return times[n-1].Milliseconds()
	}
	return -1
}

// unknown is a time that no other agrees with.
const unknown = time.Duration(-1 << 62)

func between(from, to int64) time.Duration {
	if from <= 0 || to <= 0 {
		return unknown
	}
	return time.Duration(to-from) * time.Millisecond
}

func agree(a, b time.Duration) bool {
	return a != unknown && b != unknown && (a-b).Abs() < clocksAgree
}
