package enroller

import (
	"strconv"

	"rattanhoist.example/rattanhoist/messenger"
)

// Incarnation is one life of an endpoint, from its start to its end. An
// endpoint may start again under the id that it had; it then knows nothing of
// before, and counts its heartbeats anew.
type Incarnation struct {
	ID string
	// BornMS is when it started, by its own clock, in milliseconds since 1970; 0
	// where it doesn't tell, and then the id alone names the incarnation.
	BornMS int64
}

// String returns the id, with the start where it is known.
func (i Incarnation) String() string {
	if i.BornMS == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.BornMS, 10)
}

// LeaveOf returns the incarnation that a message says has left.
func LeaveOf(l *messenger.LeaveChange) Incarnation {
	return Incarnation{ID: l.Endpoint, BornMS: l.BornMs}
}

// Leave returns the message that says that the incarnation has left.
func (i Incarnation) Leave() *messenger.LeaveChange {
	return &messenger.LeaveChange{Endpoint: i.ID, BornMs: i.BornMS}
}
