package courier

import (
	"context"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// maxVersionsWait bounds the wait for a reply that shows the present versions: half of the interval between two
// syncs of a large fleet, and a round trip to a keeper.
const maxVersionsWait = 700 * time.Millisecond

// knownVersions is the history of versions as requests see it, with the time as of which it is known. It is
// safe for concurrent use.
type knownVersions struct {
	mu sync.Mutex
	// history is nil before the first endpoints.
	history *enroller.VersionHistory
	// asOf is when the latest reply was requested whose endpoints are in the history.
	asOf time.Time
	// published is closed when asOf changes.
	published chan struct{}
}

// publish replaces the history.
func (k *knownVersions) publish(h *enroller.VersionHistory, asOf time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history = h
	if asOf.After(k.asOf) {
		k.asOf = asOf
		close(k.published)
		k.published = make(chan struct{})
	}
}

// load returns the history, the time as of which it is known, and a channel that is closed when that changes.
func (k *knownVersions) load() (h *enroller.VersionHistory, asOf time.Time, published <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.history, k.asOf, k.published
}

// mergeVersions takes in which versions a keeper knows to have gone, if a majority confirmed the keeper
// lately. One that is cut off may miss some.
func (f *fleetView) mergeVersions(now time.Time, r *messenger.SyncReply) {
	if isConfirmed(r) {
		f.registered.Versions().Merge(now, r.Versions)
	}
}

// isConfirmed reports whether a majority confirmed the copy of a keeper shortly before it replied.
func isConfirmed(r *messenger.SyncReply) bool {
	return r.ConfirmedAgeMs >= 0 && time.Duration(r.ConfirmedAgeMs)*time.Millisecond <= maxConfirmedAge
}

// publishVersions makes the history of versions available to requests.
func (f *fleetView) publishVersions(now time.Time) {
	f.versions.publish(f.registered.Versions().Clone(now), f.versionsAsOf)
}

// soleVersion returns the version of a service if its endpoints have had no other one for a time, up to the
// call: it waits for a reply that was requested after the call. This router may have been out of step for
// seconds, in which a version was released and streams began at it elsewhere. It does not wait if it knows of
// another version already.
func (f *fleetView) soleVersion(ctx context.Context, service string, within time.Duration) (enroller.Version, bool) {
	called := time.Now()
	ctx, cancel := context.WithTimeout(ctx, maxVersionsWait)
	defer cancel()
	for !f.disconnected() {
		h, asOf, published := f.versions.load()
		if h == nil {
			return "", false
		}
		v, ok := h.Sole(service, called.Add(-within))
		if !ok || asOf.After(called) {
			return v, ok
		}
		f.syncSoon()
		select {
		case <-published:
		case <-ctx.Done():
			return "", false
		}
	}
	return "", false
}

// syncSoon makes the goroutine of run sync with a keeper once half of the interval is over.
func (f *fleetView) syncSoon() {
	select {
	case f.syncRequested <- struct{}{}:
	default:
	}
}

// knowsVersion reports whether an endpoint of a service has, or has had lately, a version.
func (f *fleetView) knowsVersion(service string, v enroller.Version) bool {
	h, _, _ := f.versions.load()
	return h != nil && h.Knows(service, v)
}
