package measurer

import (
	"rattanhoist.example/rattanhoist"
)

// singleLedger is the baseline that sends every reservation to one ledger.
type singleLedger struct {
	clock *virtualClock
	home  int
	cut   [budgetZones]bool
	left  [budgetWorkspaces]rattanhoist.Tokens
	seen  map[string]bool
	// Waiting holds requests until settlements free enough, within their wait.
	waiting waitingList
	// Late holds settlements that wait for the heal.
	late [budgetZones][]*running
}

func newSingleLedger(c *virtualClock, home int) *singleLedger {
	return &singleLedger{clock: c, home: home, seen: map[string]bool{}}
}

func (l *singleLedger) topUp(zone, workspace int, n rattanhoist.Tokens, id string) {
	if l.cut[zone] || l.cut[l.home] && zone != l.home {
		// The operator has to come back after the heal.
		l.clock.after(retryTopUp, func() { l.topUp(zone, workspace, n, id) })
		return
	}
	if !l.seen[id] {
		l.seen[id] = true
		l.left[workspace] += n
		l.waiting.look(workspace, l.try)
	}
}

func (l *singleLedger) away(zone int) bool {
	return zone != l.home && (l.cut[zone] || l.cut[l.home])
}

func (l *singleLedger) try(c *running) bool {
	if l.away(c.zone) || l.left[c.workspace] < c.worst {
		return false
	}
	l.left[c.workspace] -= c.worst
	return true
}

func (l *singleLedger) reserve(c *running, decided func(bool)) {
	l.clock.after(l.hop(c.zone), func() {
		if l.away(c.zone) {
			decided(false)
			return
		}
		l.waiting.reserve(l.clock, c, l.try, decided)
	})
}

func (l *singleLedger) settle(c *running) {
	if l.away(c.zone) {
		l.late[c.zone] = append(l.late[c.zone], c)
		return
	}
	l.left[c.workspace] += c.worst - c.cost
	l.waiting.look(c.workspace, l.try)
}

func (l *singleLedger) reachable(a, _ int, yes bool) {
	l.cut[a] = !yes
	for z := range l.late {
		if yes {
			late := l.late[z]
			l.late[z] = nil
			for _, c := range late {
				l.settle(c)
			}
		}
	}
}

// drop gives the reservation back at once: the baseline gets the best case.
func (l *singleLedger) drop(c *running) { l.left[c.workspace] += c.worst }

func (l *singleLedger) kill(int, int)                 {}
func (l *singleLedger) restart(int, int)              {}
func (l *singleLedger) loseDisk(int)                  {}
func (l *singleLedger) repair(int)                    {}
func (l *singleLedger) overspent() rattanhoist.Tokens { return 0 }

// fixedSplit is the baseline that gives every router an equal part of each
// top-up and never moves it.
type fixedSplit struct {
	clock *virtualClock
	cut   [budgetZones]bool
	left  [budgetZones][routersPerZone][budgetWorkspaces]rattanhoist.Tokens
	// Late holds parts of top-ups that wait for the heal.
	late    []func()
	waiting [budgetZones][routersPerZone]waitingList
}

func newFixedSplit(c *virtualClock) *fixedSplit { return &fixedSplit{clock: c} }

func (l *fixedSplit) topUp(zone, workspace int, n rattanhoist.Tokens, _ string) {
	part := n / (budgetZones * routersPerZone)
	for z := range l.left {
		give := func() {
			for r := range l.left[z] {
				l.left[z][r][workspace] += part
				l.waiting[z][r].look(workspace, l.try)
			}
		}
		if z != zone && (l.cut[z] || l.cut[zone]) {
			l.late = append(l.late, give)
			continue
		}
		give()
	}
}

func (l *fixedSplit) at(c *running) *rattanhoist.Tokens {
	return &l.left[c.zone][c.router][c.workspace]
}

func (l *fixedSplit) try(c *running) bool {
	if *l.at(c) < c.worst {
		return false
	}
	*l.at(c) -= c.worst
	return true
}

func (l *fixedSplit) reserve(c *running, decided func(bool)) {
	l.waiting[c.zone][c.router].reserve(l.clock, c, l.try, decided)
}

func (l *fixedSplit) settle(c *running) {
	*l.at(c) += c.worst - c.cost
	l.waiting[c.zone][c.router].look(c.workspace, l.try)
}

func (l *fixedSplit) reachable(a, _ int, yes bool) {
	l.cut[a] = !yes
	if !yes {
		return
	}
	late := l.late
	l.late = nil
	for _, f := range late {
		f()
	}
}

func (l *fixedSplit) drop(c *running) { *l.at(c) += c.worst }

func (l *fixedSplit) kill(int, int)                 {}
func (l *fixedSplit) restart(int, int)              {}
func (l *fixedSplit) loseDisk(int)                  {}
func (l *fixedSplit) repair(int)                    {}
func (l *fixedSplit) overspent() rattanhoist.Tokens { return 0 }
