package courier

import (
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// mergeVersions takes in which versions a keeper knows to have gone, if a majority confirmed the keeper
// lately. One that is cut off may miss some.
func (f *fleetView) mergeVersions(now time.Time, r *messenger.SyncReply) {
	if r.ConfirmedAgeMs >= 0 && time.Duration(r.ConfirmedAgeMs)*time.Millisecond <= maxConfirmedAge {
		f.registered.Versions().Merge(now, r.Versions)
	}
}

// publishVersions makes the history of versions available to requests.
func (f *fleetView) publishVersions(now time.Time) {
	f.versions.Store(f.registered.Versions().Clone(now))
}

// soleVersion returns the version of a service if its endpoints have had no other one for a time.
func (f *fleetView) soleVersion(now time.Time, service string, within time.Duration) (enroller.Version, bool) {
	h := f.versions.Load()
	if h == nil || f.disconnected() {
		return "", false
	}
	return h.Sole(service, now.Add(-within))
}

// knowsVersion reports whether an endpoint of a service has, or has had lately, a version.
func (f *fleetView) knowsVersion(service string, v enroller.Version) bool {
	h := f.versions.Load()
	return h != nil && h.Knows(service, v)
}
