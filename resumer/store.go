package resumer

import (
	"container/heap"
	"time"
)

// entryOverhead is the memory that an entry takes beside its texts.
const entryOverhead = 200

// Store holds origins, bounded in time, number and bytes. If there is no room, the entry that expires
// first is dropped. It reads no clock and is not safe for concurrent use.
type Store struct {
	maxEntries, maxBytes int
	entries              map[Key]*storedEntry
	byExpiry             expiryHeap
	bytes                int
	dropped              int
	// droppedAt is when an entry was last dropped.
	droppedAt time.Time
}

type storedEntry struct {
	key     Key
	origin  Origin
	expires time.Time
	// index is the position in the heap.
	index int
}

func (e *storedEntry) size() int {
	return entryOverhead + len(e.origin.Service) + len(e.origin.Version)
}

// NewStore returns an empty store.
func NewStore(maxEntries, maxBytes int) *Store {
	return &Store{maxEntries: maxEntries, maxBytes: maxBytes, entries: map[Key]*storedEntry{}}
}

// Put adds an origin, or extends the time of one that is known. A key with two different origins
// belongs to several streams that can't be distinguished.
func (s *Store) Put(now time.Time, e Entry) {
	s.expire(now)
	expires := now.Add(min(e.Remaining, maxRetention))
	if known := s.entries[e.Key]; known != nil {
		if known.origin != e.Origin {
			s.bytes -= len(known.origin.Version)
			known.origin.Version = ""
		}
		if expires.After(known.expires) {
			known.expires = expires
			heap.Fix(&s.byExpiry, known.index)
		}
		return
	}
	if !expires.After(now) {
		return
	}
	added := &storedEntry{key: e.Key, origin: e.Origin, expires: expires}
	s.entries[e.Key] = added
	heap.Push(&s.byExpiry, added)
	s.bytes += added.size()
	for len(s.byExpiry) > s.maxEntries || s.bytes > s.maxBytes {
		s.remove(s.byExpiry[0])
		s.dropped++
		s.droppedAt = now
	}
}

// Get returns the origin of a key.
func (s *Store) Get(now time.Time, k Key) (Origin, bool) {
	e := s.entries[k]
	if e == nil || !e.expires.After(now) {
		return Origin{}, false
	}
	return e.origin, true
}

// Entry returns the entry of a key.
func (s *Store) Entry(now time.Time, k Key) (Entry, bool) {
	e := s.entries[k]
	if e == nil || !e.expires.After(now) {
		return Entry{}, false
	}
	return Entry{Key: k, Origin: e.origin, Remaining: e.expires.Sub(now)}, true
}

// Keys returns the keys of all entries.
func (s *Store) Keys(now time.Time) []Key {
	s.expire(now)
	out := make([]Key, 0, len(s.entries))
	for k := range s.entries {
		out = append(out, k)
	}
	return out
}

// Len returns the number of entries.
func (s *Store) Len() int { return len(s.entries) }

// Dropped returns how many entries were dropped before they expired.
func (s *Store) Dropped() int { return s.dropped }

// DroppedAt returns when an entry was last dropped before it expired, or the zero time.
func (s *Store) DroppedAt() time.Time { return s.droppedAt }

func (s *Store) expire(now time.Time) {
	for len(s.byExpiry) > 0 && !s.byExpiry[0].expires.After(now) {
		s.remove(s.byExpiry[0])
	}
}

func (s *Store) remove(e *storedEntry) {
	delete(s.entries, e.key)
	heap.Remove(&s.byExpiry, e.index)
	s.bytes -= e.size()
}

// expiryHeap orders entries by the time at which they expire and implements heap.Interface.
type expiryHeap []*storedEntry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*storedEntry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
