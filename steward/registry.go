package steward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// maxMissedHeartbeats is how many heartbeats an endpoint may miss. Heartbeats can
	// arrive seconds late, and failing requests reveal a crash sooner.
	maxMissedHeartbeats = 6
	// routerTimeout is how long a router that stopped asking still counts; a live one asks
	// several times a second.
	routerTimeout = 3 * time.Second
	// fullListTTL is how long the ages in a list of all endpoints may be reused.
	fullListTTL = 100 * time.Millisecond
	// versionsSettleTime is how long after its start a keeper does not vouch for the versions that
	// services have had: a few times the interval at which keepers share what they know.
	versionsSettleTime = 3 * time.Second
	// maxLeavesSent bounds the leaves in a reply to a router of an earlier version, which is sent the
	// newest ones each time.
	maxLeavesSent = 256
	// maxHeartbeatLogLines bounds the log lines a second of each kind about heartbeats.
	maxHeartbeatLogLines = 20
	// minPrunedLeaves is the number of leaves from which those that are no longer held are removed.
	minPrunedLeaves = 1024
)

// registry holds what a keeper knows about endpoints and routers.
type registry struct {
	mu    sync.Mutex
	table *enroller.Table
	// unshared holds the ids whose heartbeats arrived at this keeper since it last shared
	// its observations.
	unshared map[string]bool
	routers  *routers
	// leaves are those of the committed state, up to the log index leavesIndex. They have been applied
	// to the table.
	leaves      enroller.Leaves
	leavesIndex uint64
	// left holds the same leaves.
	left map[enroller.Incarnation]appliedLeave
	// epoch identifies this process: the revisions of the table start again in every
	// process.
	epoch     uint64
	startedAt time.Time
	log       *zap.Logger
	// versionAdded receives a value when a heartbeat states a version that was not known.
	versionAdded chan struct{}
}

// appliedLeave is a leave that this keeper has applied.
type appliedLeave struct {
	index uint64
	at    time.Time
}

func newRegistry(heartbeat time.Duration) *registry {
	return &registry{table: enroller.NewTable(maxMissedHeartbeats * heartbeat), unshared: map[string]bool{}, routers: newRouters(), left: map[enroller.Incarnation]appliedLeave{}, epoch: rand.Uint64() | 1, startedAt: time.Now(), log: zap.NewNop(), versionAdded: make(chan struct{}, 1)}
}

// beginVersions records whether there were endpoints and routers before this process.
func (r *registry) beginVersions(now time.Time, firstStart bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if firstStart {
		r.table.Versions().BeginWithFleet(now)
		r.routers.allKnownSince = now.Add(-foundedBefore)
	} else {
		r.table.Versions().Begin(now)
		r.routers.allKnownSince = now
	}
}

// versions returns the history of versions for another process. Until other keepers have had the time
// to share theirs, it is not known to be complete.
func (r *registry) versions(now time.Time) *messenger.VersionHistory {
	out := r.table.Versions().Message(now)
	if now.Sub(r.startedAt) < versionsSettleTime {
		out.CompleteMs = 0
	}
	return out
}

// observeHeartbeat records a heartbeat. It returns enroller.ErrInvalidHeartbeat for one that is not consistent
// with what is known of its id, and enroller.ErrTableFull if there is no room for another endpoint.
func (r *registry) observeHeartbeat(now time.Time, b enroller.Heartbeat) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.Consistent(b) {
		return merry.Errorf("%w: it disagrees with what %s told before", enroller.ErrInvalidHeartbeat, b.ID)
	}
	if !r.table.HasRoom(b) {
		return enroller.ErrTableFull
	}
	holder, held := r.table.AtAddress(b.Address)
	if i, known := r.table.Current(b.ID); !known || i != b.Incarnation {
		r.log.Info("heartbeat of an endpoint that was not known here", zap.Stringer("endpoint", b.Incarnation), zap.String("service", b.Service),
			zap.String("address", b.Address), zap.String("zone", b.Zone), zap.Uint64("sequence", b.Sequence))
	}
	versionKnown := r.table.Versions().Knows(b.Service, b.Version)
	r.table.Observe(now, b, 0)
	r.unshared[b.ID] = true
	if !versionKnown {
		select {
		case r.versionAdded <- struct{}{}:
		default:
		}
	}
	if held && holder.ID != b.ID {
		r.logConflict(b, holder)
	}
	return nil
}

// logConflict logs which of two endpoints is in service after a heartbeat from the address of another
// one.
func (r *registry) logConflict(b enroller.Heartbeat, holder enroller.Incarnation) {
	fields := []zap.Field{zap.Stringer("endpoint", b.Incarnation), zap.String("address", b.Address), zap.Uint64("sequence", b.Sequence), zap.Stringer("other", holder)}
	if now, ok := r.table.AtAddress(b.Address); ok && now == b.Incarnation {
		r.log.Info("endpoint took the address of another", fields...)
		return
	}
	r.log.Info("heartbeat passed over, another endpoint holds its address", fields...)
}

// applyLeaves removes the endpoints that have left according to the committed state at a log index.
func (r *registry) applyLeaves(now time.Time, leaves enroller.Leaves, index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	added, _ := leaves.Since(r.leavesIndex)
	for _, l := range added {
		r.table.Leave(now, l.Incarnation)
		r.left[l.Incarnation] = appliedLeave{index: l.Index, at: now}
	}
	r.leaves, r.leavesIndex = leaves, index
	if len(r.left) > 2*max(leaves.Len(), minPrunedLeaves) {
		r.pruneLeft()
	}
}

// pruneLeft removes the leaves that the committed state no longer holds.
func (r *registry) pruneLeft() {
	held, _ := r.leaves.Since(0)
	left := make(map[enroller.Incarnation]appliedLeave, len(held))
	for _, l := range held {
		left[l.Incarnation] = r.left[l.Incarnation]
	}
	r.left = left
}

// hasLeft reports whether this keeper has applied the leave of an incarnation.
func (r *registry) hasLeft(i enroller.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, left := r.left[i]
	return left
}

// fillLeaves fills in the leaves that a router does not know, and reports whether the router needs the
// list of all endpoints.
func (r *registry) fillLeaves(now time.Time, deployment string, q *messenger.SyncRequest, out *messenger.SyncReply) (truncated bool) {
	known := q.KnownLeaves
	if known == nil {
		held, _ := r.leaves.Since(0)
		out.Left = r.leaveMessages(now, held[max(len(held)-maxLeavesSent, 0):])
		return false
	}
	out.Leaves = &messenger.LeaveUpdate{Deployment: deployment, Index: r.leavesIndex}
	if known.Deployment == "" {
		// The router has just started, and the list of endpoints holds none that has left.
		return false
	}
	missing, complete := r.leaves.Since(known.Index)
	if known.Deployment != deployment || !complete {
		out.Leaves.Truncated = true
		return true
	}
	out.Leaves.Leaves = r.leaveMessages(now, missing)
	return false
}

// leaveMessages returns leaves for a router, with the times since they were applied here.
func (r *registry) leaveMessages(now time.Time, leaves []enroller.Leave) []*messenger.LeaveChange {
	out := make([]*messenger.LeaveChange, 0, len(leaves))
	for _, l := range leaves {
		m := l.LeaveChange()
		m.AgeMs = now.Sub(r.left[l.Incarnation].at).Milliseconds()
		out = append(out, m)
	}
	return out
}

// resolveIncarnation completes an incarnation from a message that names only the id.
func (r *registry) resolveIncarnation(i enroller.Incarnation) enroller.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Resolve(i)
}

// hasZone reports whether an endpoint of a zone is known.
func (r *registry) hasZone(zone string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.HasZone(zone)
}

// tracesDropped returns how many endpoints were removed without a trace.
func (r *registry) tracesDropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.TracesDropped()
}

// expire removes silent endpoints and routers.
func (r *registry) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Expire(now)
	r.routers.expire(now)
}

// takeUnshared returns what this keeper observed since the last call.
func (r *registry) takeUnshared(now time.Time, from string) *messenger.Sightings {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &messenger.Sightings{From: from, Sightings: r.table.SightingsOf(now, r.unshared), Versions: r.versions(now)}
	clear(r.unshared)
	out.Routers = r.routers.recentDirect(now)
	return out
}

// snapshot returns all endpoints and the table's revision.
func (r *registry) snapshot(now time.Time) (*messenger.Sightings, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &messenger.Sightings{Sightings: r.table.Sightings(now), Versions: r.table.Versions().Message(now)}, r.table.Revision()
}

// merge merges the observations of another keeper.
func (r *registry) merge(now time.Time, s *messenger.Sightings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range s.Sightings {
		b, age := enroller.HeartbeatFromSighting(x)
		r.table.Observe(now, b, age)
	}
	r.table.Versions().Merge(now, s.Versions)
	for _, m := range s.Routers {
		r.routers.observeRelayed(now, m)
	}
}

// answerSync records a router's request and fills in the routers, leaves and endpoints of the
// reply.
func (r *registry) answerSync(now time.Time, deployment string, q *messenger.SyncRequest, out *messenger.SyncReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Router.GetAddress() != "" {
		r.routers.observe(now, q.Router, true)
		r.routers.notified(q.Router.Address, deployment, q.KnownLeaves, r.leavesIndex)
		r.routers.setLoad(q.Router.Address, q.Load)
		out.ZoneLoad = r.routers.zoneLoad(now, q.Router.Zone)
	}
	if q.ListRouters || q.Revision == 0 {
		heldRevision := q.RoutersRevision
		if q.Epoch != r.epoch {
			heldRevision = 0
		}
		r.routers.fillList(heldRevision, out)
	}
	out.Versions = r.versions(now)
	out.RoutersKeptMs = r.routers.keptDuration(now).Milliseconds()
	truncated := r.fillLeaves(now, deployment, q, out)
	if q.SkipEndpoints && !truncated {
		out.Epoch, out.Revision, out.Partial = q.Epoch, q.Revision, true
		return
	}
	view := r.table.View(q.Router.GetZone())
	out.Revision, out.Epoch = view.Refresh(now), r.epoch
	if !truncated && (fillChanges(now, view, q, out) || q.Revision == out.Revision && q.Epoch == 0) {
		return
	}
	out.Endpoints = view.Sightings(now, fullListTTL)
	if truncated || q.KnownLeaves.GetDeployment() == "" {
		out.Endpoints = r.withoutLeft(out.Endpoints)
	}
}

// withoutLeft returns the endpoints that are still in the table. A list that is reused may hold some that
// have left since.
func (r *registry) withoutLeft(list []*messenger.Sighting) []*messenger.Sighting {
	return slices.DeleteFunc(slices.Clone(list), func(s *messenger.Sighting) bool {
		i, known := r.table.Current(s.Id)
		return !known || i.BornMS != s.BornMs
	})
}

// routerCount returns the number of known routers.
func (r *registry) routerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.routers.byAddress)
}

// fillChanges fills in the endpoints that changed since the router's revision, and reports
// whether these changes are still known.
func fillChanges(now time.Time, view *enroller.View, q *messenger.SyncRequest, out *messenger.SyncReply) bool {
	if q.Epoch != out.Epoch || q.Revision == 0 {
		return false
	}
	changed, removed, complete := view.Changes(now, q.Revision)
	if !complete {
		return false
	}
	out.Partial, out.Endpoints = true, changed
	for _, i := range removed {
		out.Gone = append(out.Gone, i.LeaveChange())
	}
	return true
}
