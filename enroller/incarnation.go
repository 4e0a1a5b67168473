package enroller

import (
	"strconv"

	"rattanhoist.example/rattanhoist/messenger"
)

// Incarnation identifies one run of an endpoint, from its start to its end. An endpoint
// may restart under the same id; it then has lost its state and numbers its heartbeats
// from 1 again.
type Incarnation struct {
	ID string
	// BornMS is the start time by the endpoint's own clock, in Unix milliseconds; 0 if the
	// endpoint does not report it, and then the id alone identifies the incarnation.
	BornMS int64
}

// String returns the id, with the start time if it is known.
func (i Incarnation) String() string {
	if i.BornMS == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.BornMS, 10)
}

// IncarnationFromLeave returns the incarnation that a leave message names.
func IncarnationFromLeave(l *messenger.LeaveChange) Incarnation {
	return Incarnation{ID: l.Endpoint, BornMS: l.BornMs}
}

// LeaveChange returns the message which says that the incarnation has left.
func (i Incarnation) LeaveChange() *messenger.LeaveChange {
	return &messenger.LeaveChange{Endpoint: i.ID, BornMs: i.BornMS}
}
