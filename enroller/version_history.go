package enroller

import (
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// versionHistoryTTL is how long a version is remembered that no endpoint has any more.
	versionHistoryTTL = 30 * time.Minute
	// maxGoneVersions bounds the versions that are sent to other processes.
	maxGoneVersions = 16
	// allTime is the time for which a history is complete that began with the fleet.
	allTime = 24 * time.Hour
)

// VersionHistory holds which software versions the endpoints of each service have, and have had
// lately. It reads no clock and is not safe for concurrent use.
type VersionHistory struct {
	// endpoints counts the known endpoints.
	endpoints map[serviceVersion]int
	// gone holds when the last endpoint with a version was gone; zero if that was since the last call
	// with a time.
	gone map[serviceVersion]time.Time
	// completeSince is the time from which no version is missing; zero if nothing is known.
	completeSince time.Time
}

type serviceVersion struct {
	service string
	version Version
}

func newVersionHistory() *VersionHistory {
	return &VersionHistory{endpoints: map[serviceVersion]int{}, gone: map[serviceVersion]time.Time{}}
}

// count adds n endpoints with the service and version of a heartbeat.
func (h *VersionHistory) count(b Heartbeat, n int) {
	k := serviceVersion{b.Service, b.Version}
	h.endpoints[k] += n
	delete(h.gone, k)
	if h.endpoints[k] <= 0 {
		delete(h.endpoints, k)
		h.gone[k] = time.Time{}
	}
}

// update sets the time of the versions that have gone since the last call, and forgets old ones.
func (h *VersionHistory) update(now time.Time) {
	for k, at := range h.gone {
		switch {
		case at.IsZero():
			h.gone[k] = now
		case now.Sub(at) > versionHistoryTTL:
			delete(h.gone, k)
		}
	}
}

// Begin records that nothing is known of versions before a time.
func (h *VersionHistory) Begin(now time.Time) { h.completeSince = now }

// BeginWithFleet records that there were no endpoints before.
func (h *VersionHistory) BeginWithFleet(now time.Time) { h.completeSince = now.Add(-allTime) }

// Message describes the history for another process.
func (h *VersionHistory) Message(now time.Time) *messenger.VersionHistory {
	h.update(now)
	out := &messenger.VersionHistory{}
	if !h.completeSince.IsZero() {
		out.CompleteMs = min(now.Sub(h.completeSince), allTime).Milliseconds()
	}
	list := slices.SortedFunc(maps.Keys(h.gone), func(a, b serviceVersion) int { return h.gone[b].Compare(h.gone[a]) })
	for _, k := range list {
		age := max(now.Sub(h.gone[k]), 0).Milliseconds()
		if len(out.Gone) == maxGoneVersions {
			// What is left out is unknown to the receiver.
			out.CompleteMs = min(out.CompleteMs, age)
			break
		}
		out.Gone = append(out.Gone, &messenger.GoneVersion{Service: k.service, Version: string(k.version), AgeMs: age})
	}
	return out
}

// Merge adds the history of another process, which was true at a time.
func (h *VersionHistory) Merge(at time.Time, m *messenger.VersionHistory) {
	if m == nil {
		return
	}
	for _, g := range m.Gone {
		k := serviceVersion{intern(g.Service), Version(intern(g.Version))}
		gone := at.Add(-time.Duration(g.AgeMs) * time.Millisecond)
		if known, ok := h.gone[k]; h.endpoints[k] == 0 && (!ok || !known.IsZero() && gone.After(known)) {
			h.gone[k] = gone
		}
	}
	if since := at.Add(-time.Duration(m.CompleteMs) * time.Millisecond); m.CompleteMs > 0 && (h.completeSince.IsZero() || since.Before(h.completeSince)) {
		h.completeSince = since
	}
}

// Clone returns a copy that does not change.
func (h *VersionHistory) Clone(now time.Time) *VersionHistory {
	h.update(now)
	return &VersionHistory{endpoints: maps.Clone(h.endpoints), gone: maps.Clone(h.gone), completeSince: h.completeSince}
}

// Sole returns the version of a service if no endpoint has had another one, or an unknown one, since a
// time from which the history is complete.
func (h *VersionHistory) Sole(service string, since time.Time) (Version, bool) {
	if h.completeSince.IsZero() || since.Before(h.completeSince) {
		return "", false
	}
	found := map[Version]bool{}
	for k := range h.endpoints {
		if k.service == service {
			found[k.version] = true
		}
	}
	for k, at := range h.gone {
		if k.service == service && (at.IsZero() || !at.Before(since)) {
			found[k.version] = true
		}
	}
	if len(found) != 1 || found[""] {
		return "", false
	}
	return slices.Collect(maps.Keys(found))[0], true
}

// Knows reports whether an endpoint of a service has, or has had lately, a version.
func (h *VersionHistory) Knows(service string, v Version) bool {
	k := serviceVersion{service, v}
	_, gone := h.gone[k]
	return h.endpoints[k] > 0 || gone
}
