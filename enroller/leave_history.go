package enroller

import (
	"sort"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// maxLeaves bounds the leaves that a history holds: more than one for each endpoint of the largest
	// fleets, so that a process that was away while all of them were replaced learns of each leave.
	maxLeaves = 16384
	// maxLeavesBytes bounds the ids of these leaves, so that a message with all of them passes over a slow
	// link within the timeout of a sync.
	maxLeavesBytes = 1 << 20
)

// Leave records that an incarnation has left service for good.
type Leave struct {
	Incarnation
	// Index is the index of the log entry that recorded the leave. It is the same at all keepers.
	Index uint64
}

// LeaveHistory holds the latest leaves of a deployment in the order of the log. It is not safe for
// concurrent use; the values that Leaves returns are.
type LeaveHistory struct {
	leaves Leaves
	known  map[Incarnation]bool
	// idBytes is the size of the ids of the leaves.
	idBytes int
}

// Leaves is an immutable list of leaves, oldest first.
type Leaves struct {
	list []Leave
	// dropped is the index of the newest leave that the list no longer holds.
	dropped uint64
}

// NewLeaveHistory returns an empty history.
func NewLeaveHistory() *LeaveHistory { return &LeaveHistory{known: map[Incarnation]bool{}} }

// Leaves returns the leaves that the history holds now.
func (h *LeaveHistory) Leaves() Leaves { return h.leaves }

// Record adds a leave unless the incarnation has left before. Indexes never decrease.
func (h *LeaveHistory) Record(l Leave) {
	if h.known[l.Incarnation] {
		return
	}
	h.known[l.Incarnation] = true
	// Earlier values of h.leaves share the array, and end before the new element.
	h.leaves.list = append(h.leaves.list, l)
	h.idBytes += len(l.ID)
	for len(h.leaves.list) > maxLeaves || h.idBytes > maxLeavesBytes {
		oldest := h.leaves.list[0]
		delete(h.known, oldest.Incarnation)
		h.idBytes -= len(oldest.ID)
		h.leaves.dropped = oldest.Index
		h.leaves.list = h.leaves.list[1:]
	}
}

// Len returns the number of leaves.
func (l Leaves) Len() int { return len(l.list) }

// Since returns the leaves with a higher index than the given one; callers must not change them. It is
// not complete if some of them have been dropped.
func (l Leaves) Since(index uint64) (list []Leave, complete bool) {
	i := sort.Search(len(l.list), func(i int) bool { return l.list[i].Index > index })
	return l.list[i:], index >= l.dropped
}

// Fill adds the leaves to a snapshot.
func (l Leaves) Fill(s *messenger.FleetSnapshot) {
	s.LeftDropped = l.dropped
	for _, x := range l.list {
		m := x.LeaveChange()
		m.Index = x.Index
		s.Left = append(s.Left, m)
	}
}

// RestoreLeaves returns the history that a snapshot holds, which was taken after the log entry with an
// index.
func RestoreLeaves(s *messenger.FleetSnapshot, index uint64) *LeaveHistory {
	h := NewLeaveHistory()
	h.leaves.dropped = s.LeftDropped
	for _, m := range s.Left {
		l := Leave{Incarnation: IncarnationFromLeave(m), Index: m.Index}
		if l.Index == 0 {
			// The snapshot was written by an earlier version, which held fewer leaves.
			l.Index, h.leaves.dropped = index, index
		}
		h.Record(l)
	}
	return h
}
