package replicator

import "rattanhoist.example/rattanhoist/messenger"

// entryLog is the copy of the log in memory: a snapshot and the entries
// after it.
type entryLog struct {
	// Snapshot covers every entry up to its index; nil before the first.
	snapshot *messenger.LogSnapshot
	// Base and baseTerm name the entry before entries[0]. Base is at most the
	// snapshot's index: some entries stay beside it for followers that lag.
	base     uint64
	baseTerm uint64
	// Entries are contiguous from base+1.
	entries []*messenger.LogEntry
	// Voters is the last membership in the log, committed or not.
	voters []Member
	// VotersIndex is the index of the entry that holds it.
	votersIndex uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.termAt(l.last())
	return t
}

// termAt returns the term of an entry that the log still names.
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

func (l *entryLog) at(i uint64) *messenger.LogEntry { return l.entries[i-l.base-1] }

// from returns entries from index i on, up to about limit bytes and at least
// one.
func (l *entryLog) from(i uint64, limit int) []*messenger.LogEntry {
	var out []*messenger.LogEntry
	for size := 0; i <= l.last(); i++ {
		e := l.at(i)
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
		l.voters, l.votersIndex = votersOf(e.Membership), e.Index
	}
}

// truncate drops entries from index i on.
func (l *entryLog) truncate(i uint64) {
	l.entries = l.entries[: i-l.base-1 : i-l.base-1]
	if l.votersIndex >= i {
		l.findVoters()
	}
}

func (l *entryLog) findVoters() {
	l.voters, l.votersIndex = nil, 0
	if l.snapshot != nil {
		l.voters, l.votersIndex = votersOf(l.snapshot.Membership), l.snapshot.Index
	}
	for _, e := range l.entries {
		if e.Kind == messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP {
			l.voters, l.votersIndex = votersOf(e.Membership), e.Index
		}
	}
}

// compact drops entries up to index i, which a snapshot covers.
func (l *entryLog) compact(i uint64) {
	t, _ := l.termAt(i)
	l.entries = append([]*messenger.LogEntry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// votersAt returns the membership in force at index i.
func (l *entryLog) votersAt(i uint64) []Member {
	var out []Member
	if l.snapshot != nil {
		out = votersOf(l.snapshot.Membership)
	}
	for _, e := range l.entries {
		if e.Index <= i && e.Kind == messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP {
			out = votersOf(e.Membership)
		}
	}
	return out
}
