package treasurer

import (
	"fmt"
	"strings"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Times to come back, by what lifts the refusal.
const (
	afterSettlement = time.Second
	afterRepair     = 5 * time.Second
)

// Shortage is a refusal for lack of budget. errors.Is finds
// rattanhoist.ErrBudgetSpent or rattanhoist.ErrBudgetOutOfReach in it.
type Shortage struct {
	cause  error
	detail string
	after  time.Duration
	// Possible is what others held that may come within the deadline.
	possible rattanhoist.Tokens
	// Silent reports whether some zones did not answer.
	silent bool
	// Known is when the keeper, or its silence, said so.
	known time.Time
	age   time.Duration
}

// Error says what is missing and how old the knowledge is.
func (s *Shortage) Error() string {
	return fmt.Sprintf("%v: %s (known for %s)", s.cause, s.detail, s.age.Round(time.Millisecond))
}

// Unwrap returns the sentinel.
func (s *Shortage) Unwrap() error { return s.cause }

// RetryAfter returns when to come back; 0 where only a top-up helps.
func (s *Shortage) RetryAfter() time.Duration { return s.after }

// Age returns how long ago the refusal was found to be true.
func (s *Shortage) Age() time.Duration { return s.age }

func (s *Shortage) at(now time.Time) *Shortage {
	c := *s
	c.age = now.Sub(s.known)
	return &c
}

func outOfReach(now time.Time, after time.Duration, detail string) *Shortage {
	return &Shortage{cause: rattanhoist.ErrBudgetOutOfReach, detail: detail, after: after, known: now}
}

func spentOut(now time.Time) *Shortage {
	return &Shortage{cause: rattanhoist.ErrBudgetSpent, detail: "what is left anywhere does not cover the request", known: now}
}

func join(zones []string) string { return strings.Join(zones, ", ") }
