package replicator

import "rattanhoist.example/rattanhoist/messenger"

// entryLog is the log in memory: a snapshot and the entries after it.
type entryLog struct {
	// snapshot covers every entry up to its index. It is nil before the first
	// snapshot.
	snapshot *messenger.LogSnapshot
	// base and baseTerm are the index and term of the entry before entries[0].
	// base is at most the snapshot's index, because some entries are retained for
	// followers that lag.
	base     uint64
	baseTerm uint64
	// entries are contiguous from base+1.
	entries []*messenger.LogEntry
	// voters is the latest membership in the log, committed or not.
	voters []Member
	// votersIndex is the index of the entry or snapshot that holds voters.
	votersIndex uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.termAt(l.last())
	return t
}

// termAt returns the term of the entry at index i, or false if the index is
// outside the log.
func (l *entryLog) termAt(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.base-1].Term, true
	}
}

func (l *entryLog) entryAt(i uint64) *messenger.LogEntry { return l.entries[i-l.base-1] }

// from returns the entries starting at index i, up to about limit bytes but at
// least one entry if there is any.
func (l *entryLog) from(i uint64, limit int) []*messenger.LogEntry {
	var out []*messenger.LogEntry
	for size := 0; i <= l.last(); i++ {
		e := l.entryAt(i)
		size += len(e.Data)
		if len(out) > 0 && size > limit {
			break
		}
		out = append(out, e)
	}
	return out
}

func (l *entryLog) append(e *messenger.LogEntry) {
	l.entries = append(l.entries, e)
	if e.Kind == messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP {
		l.voters, l.votersIndex = votersFromProto(e.Membership), e.Index
	}
}

// truncate removes the entries from index i onwards.
func (l *entryLog) truncate(i uint64) {
	l.entries = l.entries[: i-l.base-1 : i-l.base-1]
	if l.votersIndex >= i {
		l.findVoters()
	}
}

// findVoters sets voters from the latest membership in the snapshot and
// entries.
func (l *entryLog) findVoters() {
	l.voters, l.votersIndex = nil, 0
	if l.snapshot != nil {
		l.voters, l.votersIndex = votersFromProto(l.snapshot.Membership), l.snapshot.Index
	}
	for _, e := range l.entries {
		if e.Kind == messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP {
			l.voters, l.votersIndex = votersFromProto(e.Membership), e.Index
		}
	}
}

// compact removes the entries up to index i, which a snapshot covers.
func (l *entryLog) compact(i uint64) {
	t, _ := l.termAt(i)
	l.entries = append([]*messenger.LogEntry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// votersAt returns the membership in force at index i.
func (l *entryLog) votersAt(i uint64) []Member {
	var out []Member
	if l.snapshot != nil {
		out = votersFromProto(l.snapshot.Membership)
	}
	for _, e := range l.entries {
		if e.Index <= i && e.Kind == messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP {
			out = votersFromProto(e.Membership)
		}
	}
	return out
}
