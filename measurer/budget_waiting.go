package measurer

import (
	"time"

	"rattanhoist.example/rattanhoist/treasurer"
)

// retryTopUp is when an operator resends a top-up that got no answer.
const retryTopUp = 10 * time.Second

// hopWithin and hopBetween are one way within a zone and between two.
const (
	hopWithin  = 300 * time.Microsecond
	hopBetween = 800 * time.Microsecond
)

// waitingRequest is a request that waits for settlements in a baseline, as
// long as one of ours does.
type waitingRequest struct {
	call    *running
	decided func(bool)
	done    bool
	// Tries is the call's count when it began to wait; a retry waits anew.
	tries int
	// Timer numbers the latest time to look again; earlier ones are void.
	timer int
}

func (w *waitingRequest) over() bool { return w.done || w.call.ended || w.call.tries != w.tries }

type waitingList struct {
	waiting [budgetWorkspaces][]*waitingRequest
}

func (l *waitingList) reserve(clock *virtualClock, c *running, try func(*running) bool, decided func(bool)) {
	if try(c) {
		decided(true)
		return
	}
	w := &waitingRequest{call: c, decided: decided, tries: c.tries}
	l.waiting[c.workspace] = append(l.waiting[c.workspace], w)
	clock.after(min(treasurer.DefaultPolicy().SettleWait, requestDeadline/2), func() {
		if !w.over() {
			w.done = true
			decided(false)
		}
	})
}

// look lets the waiting requests of a workspace try again, in their order.
func (l *waitingList) look(workspace int, try func(*running) bool) {
	var kept []*waitingRequest
	for _, w := range l.waiting[workspace] {
		if w.over() {
			continue
		}
		if try(w.call) {
			w.done = true
			w.decided(true)
			continue
		}
		kept = append(kept, w)
	}
	l.waiting[workspace] = kept
}

func (l *singleLedger) hop(zone int) time.Duration {
	if zone == l.home {
		return 2 * hopWithin
	}
	return 2 * hopBetween
}
