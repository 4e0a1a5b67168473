package predictor

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// observationTTL is how long the observation of a load is used: a few rounds of digests.
	observationTTL = time.Second
	// maxObservationAge is the age from which an entry of a digest is invalid. A sender states
	// only ages below observationTTL; the rest is tolerance for other versions.
	maxObservationAge = 10 * time.Second
	// repeatedObservation is how much newer an observation with known figures must be to count as
	// another one. Ages do not include the time on the network, so that a relayed observation would
	// otherwise appear newer with each router that relays it and never expire.
	repeatedObservation = 100 * time.Millisecond
	// maxRoomFraction is the part of a digest for the room in zones, which many services could
	// otherwise fill.
	maxRoomFraction = 0.3
	// maxReported bounds the figures of a load. Higher ones are invalid.
	maxReported = 1 << 16
	// Slowdown and pace are sent in thousandths and bounded by maxPermille.
	permille    = 1000
	maxPermille = 1000 * permille
	// reportedPaceGain is the weight of a pace measured by another router: a few agreeing reports
	// count, and one router's mistake doesn't decide.
	reportedPaceGain = 0.5
	// fullnessWindow is the time over which the fullness of a zone is averaged. Choices that follow
	// single reports, which are up to a second old, would oscillate.
	fullnessWindow = time.Second
	// maxZoneName and maxRooms bound what digests can add to a router's memory: each entry that is
	// kept has a zone of its own, and senders can state any.
	maxZoneName = 64
	maxRooms    = 1024
)

// observation is the load of an endpoint at one time, as this router or another one observed it.
type observation struct {
	load Load
	at   time.Time
	// pace is the prefill factor that was measured by then, or 0.
	pace float64
}

// fresh reports whether the observation is recent enough to be used.
func (o observation) fresh(now time.Time) bool {
	return !o.at.IsZero() && now.Sub(o.at) < observationTTL
}

// repeats reports whether the observation is not newer than another one, or a relayed copy of it.
func (o observation) repeats(known observation) bool {
	if known.at.IsZero() {
		return false
	}
	newer := o.at.Sub(known.at)
	same := o.load.Running == known.load.Running && o.load.Waiting == known.load.Waiting
	return newer <= 0 || same && newer < repeatedObservation
}

// DigestResult is what became of the entries of a digest.
type DigestResult struct {
	// Used counts entries that were newer than what was known, Dropped those that are invalid or
	// that concern endpoints and services not known here. All others were known already.
	Used, Dropped int
}

// loadReports is the state of a table that exchanges digests with other routers.
type loadReports struct {
	link linkDelay

	mu sync.Mutex
	// rooms holds the room in each zone by the newest report.
	rooms map[roomKey]*zoneRoom
}

func newLoadReports() *loadReports { return &loadReports{rooms: map[roomKey]*zoneRoom{}} }

// EnableLoadReports makes the table use the load that other routers report. It must be called before
// endpoints are put in service.
func (t *Table) EnableLoadReports() { t.reports = newLoadReports() }

// hashName returns the hash by which digests name endpoints and services.
func hashName(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// indexByHash maps hashes to endpoints. Endpoints with the same hash are left out, since their
// loads can't be told apart.
func indexByHash(names map[string]*Endpoint) map[uint32]*Endpoint {
	out, repeated := make(map[uint32]*Endpoint, len(names)), map[uint32]bool{}
	for name, e := range names {
		h := hashName(name)
		repeated[h] = repeated[h] || out[h] != nil
		out[h] = e
	}
	for h, r := range repeated {
		if r {
			delete(out, h)
		}
	}
	return out
}

// datedLoad is an entry of a digest with its time.
type datedLoad struct {
	entry *messenger.EndpointLoad
	at    time.Time
}

// Digest returns the newest observations of loads, the room in zones and the limits of services for
// other routers, encoded in at most maxBytes. It returns nil if nothing has been observed recently.
func (t *Table) Digest(now time.Time, maxBytes int) *messenger.LoadDigest {
	if t.reports == nil {
		return nil
	}
	loads, limits := t.recentLoads(now), t.recentLimits(now)
	if len(loads)+len(limits) == 0 {
		return nil
	}
	out := &messenger.LoadDigest{Zone: t.zone, Limits: limits}
	left := maxBytes - proto.Size(out)
	rooms := left - int(maxRoomFraction*float64(maxBytes))
	for _, r := range t.recentRooms(now) {
		n := fieldSize(2, proto.Size(r))
		if left-n < rooms {
			break
		}
		out.Zones, left = append(out.Zones, r), left-n
	}
	for _, l := range loads {
		n := fieldSize(1, proto.Size(l.entry))
		if left < n {
			break
		}
		out.Endpoints, left = append(out.Endpoints, l.entry), left-n
	}
	return out
}

// fieldSize returns the encoded size of a message of n bytes as a field.
func fieldSize(number protowire.Number, n int) int {
	return protowire.SizeTag(number) + protowire.SizeBytes(n)
}

// recentLoads returns the entries for all endpoints with a fresh observation, newest first.
func (t *Table) recentLoads(now time.Time) []datedLoad {
	var out []datedLoad
	for h, e := range *t.byHash.Load() {
		if o := e.observation(now); o.fresh(now) {
			out = append(out, datedLoad{encodeLoad(now, h, o), o.at})
		}
	}
	slices.SortFunc(out, func(a, b datedLoad) int { return b.at.Compare(a.at) })
	return out
}

// observation returns the newest observation of the endpoint's load, with the pace that this router
// measured or was told.
func (e *Endpoint) observation(now time.Time) observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := observation{load: e.reported, at: e.reportedAt, pace: e.reportedPace}
	if now.Sub(e.paceMeasuredAt) < observationTTL {
		o.pace = e.currentPrefillFactor(now)
	}
	return o
}

// EncodeLoad returns the newest observation of an endpoint's load, or nil if none is recent.
func (e *Endpoint) EncodeLoad(now time.Time) *messenger.EndpointLoad {
	if o := e.observation(now); o.fresh(now) {
		return encodeLoad(now, hashName(e.name), o)
	}
	return nil
}

func encodeLoad(now time.Time, hash uint32, o observation) *messenger.EndpointLoad {
	return &messenger.EndpointLoad{
		Endpoint: hash, Running: encodeCount(o.load.Running), Waiting: encodeCount(o.load.Waiting),
		SlowdownPermille: encodePermille(o.load.Slowdown), PacePermille: encodePermille(o.pace), AgeMs: encodeAge(now.Sub(o.at)),
	}
}

func encodeCount(n int) uint32 { return uint32(min(max(n, 0), maxReported)) }

// encodePermille returns a figure in thousandths, and 0 for one that is not a number.
func encodePermille(x float64) uint32 {
	if !(x > 0) {
		return 0
	}
	return uint32(min(x*permille, maxPermille))
}

// encodeAge rounds an age up to milliseconds, so that it doesn't decrease when it is relayed.
func encodeAge(d time.Duration) int32 {
	return int32(math.Ceil(float64(max(d, 0)) / float64(time.Millisecond)))
}

// decodeAge returns the time of an observation of that age, and false for an age that is invalid.
func decodeAge(now time.Time, ms int32) (time.Time, bool) {
	age := time.Duration(ms) * time.Millisecond
	return now.Add(-age), ms >= 0 && age < maxObservationAge
}

// ApplyDigest records the observations of another router that are newer than the known ones.
func (t *Table) ApplyDigest(now time.Time, d *messenger.LoadDigest) DigestResult {
	var out DigestResult
	if t.reports == nil {
		return out
	}
	byHash := *t.byHash.Load()
	for _, l := range d.GetEndpoints() {
		o, valid := decodeLoad(now, l)
		e := byHash[l.GetEndpoint()]
		switch {
		case !valid || e == nil:
			out.Dropped++
		case e.applyObservation(now, o):
			out.Used++
		}
	}
	for _, r := range d.GetZones() {
		t.applyRoom(now, r, &out)
	}
	for _, l := range d.GetLimits() {
		t.applyLimit(now, l, &out)
	}
	return out
}

// decodeLoad returns the observation of an entry, and false if the entry is invalid.
func decodeLoad(now time.Time, l *messenger.EndpointLoad) (observation, bool) {
	at, valid := decodeAge(now, l.GetAgeMs())
	valid = valid && l.GetRunning() <= maxReported && l.GetWaiting() <= maxReported
	valid = valid && l.GetSlowdownPermille() <= maxPermille && l.GetPacePermille() <= maxPermille
	return observation{
		load: Load{
			Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()),
			Slowdown: float64(l.GetSlowdownPermille()) / permille,
		},
		at: at, pace: float64(l.GetPacePermille()) / permille,
	}, valid
}

// applyObservation records an observation of another router and reports whether it was new.
func (e *Endpoint) applyObservation(now time.Time, o observation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !o.fresh(now) || o.repeats(observation{load: e.reported, at: e.reportedAt}) {
		return false
	}
	o.load.Slots = e.reported.Slots
	e.reported, e.reportedAt = o.load, o.at
	e.applyPace(now, o)
	return true
}

// applyPace uses the pace that another router measured where this one has no measurement of its own
// that is as recent.
func (e *Endpoint) applyPace(now time.Time, o observation) {
	e.reportedPace = o.pace
	if o.pace <= 0 || now.Sub(e.paceMeasuredAt) < observationTTL {
		return
	}
	factor := e.currentPrefillFactor(now)
	e.prefillFactor = factor + reportedPaceGain*(min(o.pace, maxPrefillFactor)-factor)
	e.prefillFactorAt = now
}

// roomKey names a service in a zone.
type roomKey struct {
	zone    string
	service uint32
}

// zoneRoom is the room for a service in a zone.
type zoneRoom struct {
	free, slots int
	at          time.Time
	// fullness is the fraction of slots taken, averaged over fullnessWindow.
	fullness   float64
	averagedAt time.Time
}

// observe records newer figures.
func (r *zoneRoom) observe(free, slots int, at time.Time) {
	r.free, r.slots, r.at = free, slots, at
	full := 1 - float64(free)/float64(slots)
	weight := 1.0
	if elapsed := at.Sub(r.averagedAt); !r.averagedAt.IsZero() && elapsed < observationTTL {
		weight = 1 - math.Exp(-elapsed.Seconds()/fullnessWindow.Seconds())
	}
	r.fullness += weight * (full - r.fullness)
	r.averagedAt = at
}

// room returns the entry of a zone and service, or nil if there are too many. It needs r.mu.
func (r *loadReports) room(now time.Time, k roomKey) *zoneRoom {
	if r.rooms[k] == nil {
		if len(r.rooms) >= maxRooms {
			r.removeExpired(now)
		}
		if len(r.rooms) >= maxRooms {
			return nil
		}
		r.rooms[k] = &zoneRoom{}
	}
	return r.rooms[k]
}

func (r *loadReports) removeExpired(now time.Time) {
	for k, room := range r.rooms {
		if now.Sub(room.at) >= observationTTL {
			delete(r.rooms, k)
		}
	}
}

// applyRoom records a room that another router reports. What it says about this router's own zone
// is not used, since the endpoints there are known here.
func (t *Table) applyRoom(now time.Time, z *messenger.ZoneRoom, out *DigestResult) {
	at, valid := decodeAge(now, z.GetAgeMs())
	valid = valid && z.GetSlots() > 0 && z.GetFreeSlots() <= z.GetSlots() && z.GetSlots() <= maxReported*permille
	valid = valid && z.GetZone() != "" && len(z.GetZone()) <= maxZoneName
	if !valid || !(*t.serviceHashes.Load())[z.GetService()] {
		out.Dropped++
		return
	}
	if z.GetZone() == t.zone || now.Sub(at) >= observationTTL {
		return
	}
	t.reports.mu.Lock()
	defer t.reports.mu.Unlock()
	r := t.reports.room(now, roomKey{z.GetZone(), z.GetService()})
	if r == nil {
		out.Dropped++
		return
	}
	free, slots := int(z.GetFreeSlots()), int(z.GetSlots())
	newer := at.Sub(r.at)
	if newer <= 0 || free == r.free && slots == r.slots && newer < repeatedObservation {
		return
	}
	r.observe(free, slots, at)
	out.Used++
}

// recentRooms returns the room in the zones, in random order, so that each is sent in turn where
// there are more than a datagram has space for.
func (t *Table) recentRooms(now time.Time) []*messenger.ZoneRoom {
	t.observeRooms(now)
	t.reports.mu.Lock()
	defer t.reports.mu.Unlock()
	var out []*messenger.ZoneRoom
	for k, r := range t.reports.rooms {
		if now.Sub(r.at) < observationTTL {
			out = append(out, &messenger.ZoneRoom{Zone: k.zone, Service: k.service, FreeSlots: uint32(r.free), Slots: uint32(r.slots), AgeMs: encodeAge(now.Sub(r.at))})
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// observeRooms updates the room in each zone from the known loads of endpoints: in the own zone
// always, in others while no router reports it.
func (t *Table) observeRooms(now time.Time) {
	for service, g := range *t.byService.Load() {
		for zone, sum := range g.knownRooms(now) {
			k := roomKey{zone, hashName(service)}
			t.reports.mu.Lock()
			if r := t.reports.room(now, k); r != nil && (zone == t.zone || now.Sub(r.at) >= observationTTL) {
				r.observe(sum.free, sum.slots, now)
			}
			t.reports.mu.Unlock()
		}
	}
}

// slotSum is a number of free and of all slots.
type slotSum struct{ free, slots int }

// knownRooms sums up the slots of the endpoints whose load is known, by zone.
func (g *group) knownRooms(now time.Time) map[string]slotSum {
	out := map[string]slotSum{}
	for _, e := range g.endpoints {
		if free, slots, known := e.freeSlots(now); known {
			s := out[e.beat.Zone]
			out[e.beat.Zone] = slotSum{s.free + free, s.slots + slots}
		}
	}
	return out
}
