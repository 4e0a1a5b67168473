package claimer

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// Verdict is the result of an attempt to claim a request.
type Verdict int

// Verdicts of an attempt.
const (
	// Pending means that more answers are needed.
	Pending Verdict = iota
	// Granted means that only this attempt may dispatch.
	Granted
	// Held means that another attempt holds or held the claim.
	Held
	// Reused means that the request id was used for a different request.
	Reused
	// Undecided means that too few keepers answered to know whether another
	// attempt runs.
	Undecided
)

// Attempt counts the answers of the deciding keepers to one claim. It is not
// safe for concurrent use.
type Attempt struct {
	begun time.Time
	// answered marks the keepers whose answer was counted, so that a
	// duplicate does not count as a second vote.
	answered   []bool
	granted    int
	notGranted int
	reused     bool
	// heldRow is the highest-ranked row held by another attempt.
	heldRow *messenger.ClaimRow
}

// NewAttempt returns an attempt to be decided by the given number of keepers.
func NewAttempt(now time.Time, voters int) *Attempt {
	return &Attempt{begun: now, answered: make([]bool, voters)}
}

// Step counts the answer of one keeper, or nil if it did not answer, and
// returns the current verdict.
func (a *Attempt) Step(now time.Time, voter int, r *messenger.ClaimReply) Verdict {
	if a.answered[voter] {
		return a.verdict()
	}
	a.answered[voter] = true
	switch {
	case r == nil || now.Sub(a.begun) >= ClaimTimeout:
		a.notGranted++
	case r.Verdict == messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED:
		a.granted++
	case r.Verdict == messenger.ClaimVerdict_CLAIM_VERDICT_HELD:
		a.notGranted++
		a.recordHeld(r.Row)
	case r.Verdict == messenger.ClaimVerdict_CLAIM_VERDICT_REUSED:
		a.notGranted++
		a.reused = true
	default:
		a.notGranted++
	}
	return a.verdict()
}

// recordHeld keeps the highest-ranked row: a finished attempt over a running
// one, and both over a lost one.
func (a *Attempt) recordHeld(row *messenger.ClaimRow) {
	if a.heldRow == nil || rankState(row.State) > rankState(a.heldRow.State) {
		a.heldRow = row
	}
}

func rankState(s messenger.ClaimState) int {
	switch s {
	case messenger.ClaimState_CLAIM_STATE_DONE:
		return 2
	case messenger.ClaimState_CLAIM_STATE_GRANTED:
		return 1
	default:
		return 0
	}
}

func (a *Attempt) verdict() Verdict {
	switch {
	case a.granted >= a.quorum():
		return Granted
	case a.granted+a.notGranted < len(a.answered):
		return Pending
	case a.reused:
		return Reused
	case a.heldRow != nil:
		return Held
	}
	return Undecided
}

func (a *Attempt) quorum() int { return len(a.answered)/2 + 1 }

// Holder returns the row of the attempt that holds the claim, or nil.
func (a *Attempt) Holder() *messenger.ClaimRow { return a.heldRow }

// CopiesToOpen returns how many keepers with old disks a keeper with a new
// disk must copy before it may decide. The number ensures an overlap with
// every majority that the lost disk was part of.
func CopiesToOpen(keepers int) int { return keepers - (keepers/2 + 1) + 1 }
