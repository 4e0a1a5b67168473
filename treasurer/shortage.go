package treasurer

import (
	"fmt"
	"strings"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Delays before a retry, by the event that makes rights available.
const (
	retryAfterSettlement = time.Second
	retryAfterRepair     = 5 * time.Second
)

// Shortage is the error for a request that the budget can't cover. It wraps
// rattanhoist.ErrBudgetSpent or rattanhoist.ErrBudgetUnavailable.
type Shortage struct {
	cause      error
	detail     string
	retryAfter time.Duration
	// obtainable is the number of tokens held by others that may become
	// available before the deadline.
	obtainable rattanhoist.Tokens
	// zonesUnreachable reports whether some zones did not answer.
	zonesUnreachable bool
	// foundAt is when the keeper reported the shortage or stopped answering.
	foundAt time.Time
	age     time.Duration
}

// Error returns the cause, its details and the age of the information.
func (s *Shortage) Error() string {
	return fmt.Sprintf("%v: %s (known for %s)", s.cause, s.detail, s.age.Round(time.Millisecond))
}

// Unwrap returns the sentinel error.
func (s *Shortage) Unwrap() error { return s.cause }

// RetryAfter returns the delay before a retry, or 0 if only a top-up helps.
func (s *Shortage) RetryAfter() time.Duration { return s.retryAfter }

// Age returns the time since the shortage was found.
func (s *Shortage) Age() time.Duration { return s.age }

func (s *Shortage) withAge(now time.Time) *Shortage {
	c := *s
	c.age = now.Sub(s.foundAt)
	return &c
}

func newOutOfReach(now time.Time, after time.Duration, detail string) *Shortage {
	return &Shortage{cause: rattanhoist.ErrBudgetUnavailable, detail: detail, retryAfter: after, foundAt: now}
}

func newSpent(now time.Time) *Shortage {
	return &Shortage{cause: rattanhoist.ErrBudgetSpent, detail: "what is left anywhere does not cover the request", foundAt: now}
}

func joinZones(zones []string) string { return strings.Join(zones, ", ") }
