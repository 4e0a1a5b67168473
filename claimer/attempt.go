package claimer

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// Verdict is what an attempt to claim has come to.
type Verdict int

// Verdicts of an attempt.
const (
	// Pending says that answers are missing.
	Pending Verdict = iota
	// Granted says that this attempt alone may dispatch.
	Granted
	// Held says that another attempt holds the claim, or has held it.
	Held
	// Reused says that the id belongs to another request.
	Reused
	// Undecided says that too few keepers could be asked: whether another
	// attempt runs is not known.
	Undecided
)

// Attempt counts the answers of the deciding keepers to one claim. It is not
// safe for concurrent use.
type Attempt struct {
	begun time.Time
	// Answered holds for each deciding keeper whether its answer is counted:
	// one that came twice must not make two votes.
	answered []bool
	granted  int
	failed   int
	reused   bool
	// Held is the row of another attempt that says most.
	held *messenger.ClaimRow
}

// NewAttempt returns an attempt that asks so many keepers.
func NewAttempt(now time.Time, voters int) *Attempt {
	return &Attempt{begun: now, answered: make([]bool, voters)}
}

// Step takes the answer of one keeper, nil for none, and returns the verdict
// so far.
func (a *Attempt) Step(now time.Time, voter int, r *messenger.ClaimReply) Verdict {
	if a.answered[voter] {
		return a.verdict()
	}
	a.answered[voter] = true
	switch {
	case r == nil || now.Sub(a.begun) >= ClaimTime:
		a.failed++
	case r.Verdict == messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED:
		a.granted++
	case r.Verdict == messenger.ClaimVerdict_CLAIM_VERDICT_HELD:
		a.failed++
		a.noteHeld(r.Row)
	case r.Verdict == messenger.ClaimVerdict_CLAIM_VERDICT_REUSED:
		a.failed++
		a.reused = true
	default:
		a.failed++
	}
	return a.verdict()
}

// noteHeld prefers a finished attempt to one that runs, and both to a lost
// row.
func (a *Attempt) noteHeld(row *messenger.ClaimRow) {
	if a.held == nil || rank(row.State) > rank(a.held.State) {
		a.held = row
	}
}

func rank(s messenger.ClaimState) int {
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
	case a.granted+a.failed < len(a.answered):
		return Pending
	case a.reused:
		return Reused
	case a.held != nil:
		return Held
	}
	return Undecided
}

func (a *Attempt) quorum() int { return len(a.answered)/2 + 1 }

// Holder returns the row of the attempt that holds the claim, or nil.
func (a *Attempt) Holder() *messenger.ClaimRow { return a.held }

// OpenAfter returns how many other keepers with old disks a keeper with a new
// one must have copied before it may decide: enough to meet every majority
// that its lost disk was part of.
func OpenAfter(keepers int) int { return keepers - (keepers/2 + 1) + 1 }
