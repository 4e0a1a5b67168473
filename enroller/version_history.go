package enroller

import "time"

// versionHistoryTTL is how long a version is remembered that no endpoint has any more.
const versionHistoryTTL = 30 * time.Minute

// VersionHistory holds which software versions the endpoints of each service have, and have had
// lately. The zero value is empty. It reads no clock and is not safe for concurrent use.
type VersionHistory struct {
	current map[serviceVersion]bool
	// gone holds when the last endpoint with a version was gone.
	gone map[serviceVersion]time.Time
}

type serviceVersion struct {
	service string
	version Version
}

// Observe records the versions of all known endpoints, by service. It has to be called after each
// change of the endpoints.
func (h *VersionHistory) Observe(now time.Time, versions map[string][]Version) {
	if h.gone == nil {
		h.gone = map[serviceVersion]time.Time{}
	}
	current := map[serviceVersion]bool{}
	for service, list := range versions {
		for _, v := range list {
			current[serviceVersion{service, v}] = true
		}
	}
	for k := range h.current {
		if !current[k] {
			h.gone[k] = now
		}
	}
	h.current = current
	for k, at := range h.gone {
		if current[k] || now.Sub(at) > versionHistoryTTL {
			delete(h.gone, k)
		}
	}
}

// Sole returns the version of a service if no endpoint has had another one, or an unknown one, since a
// time.
func (h *VersionHistory) Sole(service string, since time.Time) (Version, bool) {
	found := map[Version]bool{}
	for k := range h.current {
		if k.service == service {
			found[k.version] = true
		}
	}
	for k, at := range h.gone {
		if k.service == service && !at.Before(since) {
			found[k.version] = true
		}
	}
	if len(found) != 1 || found[""] {
		return "", false
	}
	for v := range found {
		return v, true
	}
	return "", false
}

// Knows reports whether an endpoint of a service has, or has had lately, a version.
func (h *VersionHistory) Knows(service string, v Version) bool {
	k := serviceVersion{service, v}
	_, gone := h.gone[k]
	return h.current[k] || gone
}
