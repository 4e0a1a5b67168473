package allotter

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// clocksAgree is how far two clocks may differ on a time for it to count
	// as known: clocks that run properly differ by far less.
	clocksAgree = 500 * time.Millisecond
	// otherVM is added where the clock since the VM's start can't be used, as
	// after a loss of power: two clocks that were set by the same amount in
	// the same direction agree and are wrong. Steps are of seconds.
	otherVM = 3 * time.Second
)

// elapsed returns the most time that can lie between two moments of one VM,
// and whether it is known. One clock proves nothing: the time of day jumps, and
// the clock since the VM's start begins anew. Two that agree do.
func elapsed(from, to *messenger.RightsMoment) (time.Duration, bool) {
	router := time.Duration(to.GetRouterMs()-from.GetRouterMs()) * time.Millisecond
	boot := time.Duration(to.GetBootMs()-from.GetBootMs()) * time.Millisecond
	leader := time.Duration(to.GetLeaderMs()-from.GetLeaderMs()) * time.Millisecond
	switch {
	case boot > 0 && from.GetBootMs() > 0 && ((boot-router).Abs() < clocksAgree || (boot-leader).Abs() < clocksAgree):
		return boot + clocksAgree, true
	case from.GetLeaderMs() > 0 && to.GetLeaderMs() > 0 && (router-leader).Abs() < clocksAgree:
		return max(router, leader, 0) + clocksAgree + otherVM, true
	}
	return 0, false
}
