package keeper

import (
	"maps"
	"slices"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/placer"
)

const (
	// activeWindow is how long a workspace without traffic stays in the
	// exchange.
	activeWindow = 30 * time.Second
	// demandTTL is how long a router's reported demand counts.
	demandTTL = 20 * time.Second
)

// zoneShare is what a zone last reported for a workspace.
type zoneShare struct {
	unspent int64
	demand  float64
	heardAt time.Time
}

// routerDemand is a router's last reported demand in tokens per second.
type routerDemand struct {
	rate float64
	at   time.Time
}

// workspaceShares is the state of one workspace, kept in memory only.
type workspaceShares struct {
	touched time.Time
	zones   map[string]zoneShare
	routers map[string]routerDemand
	// meter averages the zone's demand over the longest expected network
	// partition.
	meter placer.DemandAverage
}

// idleMeter is the demand meter of a workspace that has left the exchange.
type idleMeter struct {
	meter placer.DemandAverage
	since time.Time
}

// shares is the in-memory state of the workspaces with traffic. Others are
// dropped, so its size follows the traffic.
type shares struct {
	mu  sync.Mutex
	all map[string]*workspaceShares
	// idle keeps the meters of dropped workspaces for placer.DemandTimeConstant, so
	// that the demand of a workspace stays known over a pause between
	// requests.
	idle map[string]idleMeter
}

func newShares() *shares {
	return &shares{all: map[string]*workspaceShares{}, idle: map[string]idleMeter{}}
}

// getOrCreate returns the state of a workspace and marks it as active. The
// caller holds mu.
func (s *shares) getOrCreate(workspace string, now time.Time) *workspaceShares {
	w := s.all[workspace]
	if w == nil {
		w = &workspaceShares{zones: map[string]zoneShare{}, routers: map[string]routerDemand{}}
		s.all[workspace] = w
		if i, ok := s.idle[workspace]; ok {
			w.meter = i.meter
			w.meter.Add(now, 0)
			delete(s.idle, workspace)
		}
	}
	w.touched = now
	return w
}

// markActive records that a workspace's rights have changed in this zone.
func (s *shares) markActive(workspace string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.getOrCreate(workspace, now)
}

// recordDemand stores a router's reported demand.
func (s *shares) recordDemand(workspace, router string, rate float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.getOrCreate(workspace, now).routers[router] = routerDemand{rate: rate, at: now}
}

// setUnspent stores the unspent rights of a zone and leaves its demand
// unchanged.
func (s *shares) setUnspent(workspace, zone string, n int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.getOrCreate(workspace, now)
	z := w.zones[zone]
	z.unspent, z.heardAt = n, now
	w.zones[zone] = z
}

// recordShare stores the share that a zone reported. It does not count as
// traffic in this zone.
func (s *shares) recordShare(zone string, x *messenger.Share, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.all[x.Workspace]; w != nil {
		w.zones[zone] = zoneShare{unspent: x.UnspentTokens, demand: float64(x.DemandTokensPerSecond), heardAt: now}
	}
}

// unspentElsewhere returns the sum of the other zones' last reported unspent
// rights.
func (s *shares) unspentElsewhere(workspace string) (n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.all[workspace]; w != nil {
		for _, z := range w.zones {
			n += z.unspent
		}
	}
	return n
}

// sampleActive adds the current demand to each workspace's meter, drops idle
// workspaces and returns the names of the others. It is called once per
// placement round.
func (s *shares) sampleActive(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name, w := range s.all {
		if now.Sub(w.touched) > activeWindow {
			delete(s.all, name)
			s.idle[name] = idleMeter{meter: w.meter, since: now}
			continue
		}
		w.meter.Add(now, w.currentDemand(now))
		out = append(out, name)
	}
	maps.DeleteFunc(s.idle, func(_ string, i idleMeter) bool { return now.Sub(i.since) > placer.DemandTimeConstant })
	slices.Sort(out)
	return out
}

// currentDemand sums the demand that the zone's routers reported within
// demandTTL.
func (w *workspaceShares) currentDemand(now time.Time) (rate float64) {
	for _, r := range w.routers {
		if now.Sub(r.at) < demandTTL {
			rate += r.rate
		}
	}
	return rate
}

// ownDemand returns this zone's demand, averaged over placer.DemandTimeConstant.
func (s *shares) ownDemand(workspace string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.all[workspace]; w != nil {
		return w.meter.Rate()
	}
	i := s.idle[workspace]
	return i.meter.Rate()
}

// otherZones returns a copy of the other zones' last reported shares.
func (s *shares) otherZones(workspace string) map[string]zoneShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]zoneShare{}
	if w := s.all[workspace]; w != nil {
		for zone, z := range w.zones {
			out[zone] = z
		}
	}
	return out
}
