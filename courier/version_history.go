package courier

import (
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
)

// versionHistory holds which software versions services have had since this router has been in contact
// with keepers without a gap: versions that came and went in a gap are not known. It is safe for
// concurrent use.
type versionHistory struct {
	mu      sync.Mutex
	history enroller.VersionHistory
	since   time.Time
}

// restart records that contact with keepers began, or began anew.
func (h *versionHistory) restart(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.since = now
}

// observe records the versions of all known endpoints, by service.
func (h *versionHistory) observe(now time.Time, versions map[string][]enroller.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.Observe(now, versions)
}

// sole returns the version of a service if it has had no other one since a time, which must not be
// before the contact with keepers began.
func (h *versionHistory) sole(service string, since time.Time) (enroller.Version, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() || since.Before(h.since) {
		return "", false
	}
	return h.history.Sole(service, since)
}

// knows reports whether an endpoint of a service has, or has had lately, a version.
func (h *versionHistory) knows(service string, v enroller.Version) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.history.Knows(service, v)
}

// soleVersion returns the version of a service if its endpoints have had no other one for a time.
func (f *fleetView) soleVersion(now time.Time, service string, within time.Duration) (enroller.Version, bool) {
	if f.disconnected() {
		return "", false
	}
	return f.versions.sole(service, now.Add(-within))
}
