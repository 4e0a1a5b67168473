package allotter

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// clockTolerance is the maximum difference between two clocks' measurements of a duration for
	// the duration to count as known. Clocks that run properly differ by far less.
	clockTolerance = 200 * time.Millisecond
	// twoClockMargin is added to a duration that only two clocks of other VMs confirm, because
	// both may have been adjusted by the same amount. Adjustments are of the order of seconds.
	// The same adjustment of three clocks between a claim and a reboot is assumed not to happen.
	twoClockMargin = 3 * time.Second
	// maxAdjustment bounds by how much clocks of several VMs are adjusted alike. A clock since boot that
	// is further ahead of them is that of another boot.
	maxAdjustment = time.Minute
)

// maxElapsed returns the most time that can have passed between two moments of one VM, and whether
// that is known. A single clock is not enough: wall clocks are adjusted, and the clock since boot
// is another one after a reboot, which may also be further on, as on a host that has run for longer.
// Clocks of several VMs that agree are enough, unless the clock since boot shows that more time has
// passed: without a reboot it is never adjusted.
func maxElapsed(from, to *messenger.RightsMoment) (time.Duration, bool) {
	elapsed, known := agreedElapsed(from, to)
	boot := clockDifference(from.GetBootMs(), to.GetBootMs())
	if known && boot-elapsed <= maxAdjustment {
		elapsed = max(elapsed, boot+clockTolerance)
	}
	return elapsed, known
}

// agreedElapsed returns the most time that has passed by the clocks that agree.
func agreedElapsed(from, to *messenger.RightsMoment) (time.Duration, bool) {
	router := clockDifference(from.GetRouterMs(), to.GetRouterMs())
	leader := clockDifference(from.GetLeaderMs(), to.GetLeaderMs())
	keeper := clockDifference(from.GetKeeperMs(), to.GetKeeperMs())
	boot := clockDifference(from.GetBootMs(), to.GetBootMs())
	switch {
	case boot > 0 && (durationsAgree(boot, router) || durationsAgree(boot, leader)):
		return boot + clockTolerance, true
	case durationsAgree(router, leader) && durationsAgree(router, keeper) && durationsAgree(leader, keeper):
		return max(router, leader, keeper, 0) + clockTolerance, true
	case durationsAgree(router, leader):
		return maxOfThree(max(router, leader, 0), keeper) + clockTolerance, true
	case durationsAgree(router, keeper):
		return maxOfThree(max(router, keeper, 0), leader) + clockTolerance, true
	}
	return 0, false
}

// maxOfThree returns the most time that can have passed where two clocks agree and the third one
// measured another duration, or none. At most two clocks are adjusted between a claim and a restart, so
// one of the three durations is right.
func maxOfThree(agreed, third time.Duration) time.Duration {
	if third == unknownDuration {
		return agreed + twoClockMargin
	}
	return max(agreed, third)
}

// maxTimesUntilEnd returns for each claim the most time that can have passed from its sending to
// the end of the incarnation that sent it, or unknownDuration. A claim was sent after the previous
// one, so the time of the previous one is an upper bound. It also serves a claim that took another
// path and so carries fewer clocks.
func maxTimesUntilEnd(statements []*messenger.RightsStatement, end *messenger.RightsMoment) []time.Duration {
	out := make([]time.Duration, len(statements))
	previous := unknownDuration
	for i, s := range statements {
		t, ok := maxElapsed(s.Sent, end)
		switch {
		case !ok:
			t = previous
		case previous != unknownDuration:
			t = min(t, previous)
		}
		out[i], previous = t, t
	}
	return out
}

// lastClaimToEndMs returns the most time between the last claim and the end, in milliseconds, or
// -1 if that is unknown.
func lastClaimToEndMs(statements []*messenger.RightsStatement, end *messenger.RightsMoment) int64 {
	times := maxTimesUntilEnd(statements, end)
	if n := len(times); n > 0 && times[n-1] != unknownDuration {
		return times[n-1].Milliseconds()
	}
	return -1
}

// unknownDuration is a duration that agrees with no other.
const unknownDuration = time.Duration(-1 << 62)

// clockDifference returns the duration between two readings of a clock in milliseconds, or
// unknownDuration if one is missing.
func clockDifference(from, to int64) time.Duration {
	if from <= 0 || to <= 0 {
		return unknownDuration
	}
	return time.Duration(to-from) * time.Millisecond
}

func durationsAgree(a, b time.Duration) bool {
	return a != unknownDuration && b != unknownDuration && (a-b).Abs() < clockTolerance
}
