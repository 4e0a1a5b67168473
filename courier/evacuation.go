package courier

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
)

// evacuatedZones is an immutable snapshot of the known evacuations.
type evacuatedZones struct {
	// revision never decreases while a router runs.
	revision uint64
	zones    map[string]bool
	// returned holds when zones were put back in service. The times may be later than the
	// actual ones, never earlier.
	returned map[string]time.Time
}

// evacuations tracks the evacuated zones. It is safe for concurrent use.
type evacuations struct {
	log     *zap.Logger
	mu      sync.Mutex
	current atomic.Pointer[evacuatedZones]
}

func newEvacuations(log *zap.Logger) *evacuations {
	e := &evacuations{log: log}
	e.current.Store(&evacuatedZones{})
	return e
}

func (e *evacuations) load() *evacuatedZones { return e.current.Load() }

// update applies a keeper's message, unless a newer revision is known.
func (e *evacuations) update(now time.Time, m *messenger.Evacuations) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.GetRevision() <= e.load().revision {
		return
	}
	next := &evacuatedZones{revision: m.Revision, zones: map[string]bool{}, returned: map[string]time.Time{}}
	for _, zone := range m.Zones {
		next.zones[zone] = true
	}
	for _, r := range m.Returned {
		next.returned[r.Zone] = now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	}
	e.current.Store(next)
	e.log.Info("evacuated zones", zap.Uint64("revision", m.Revision), zap.Strings("zones", m.Zones))
}
