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
	// activeFor is how long a workspace without traffic stays in the exchange.
	activeFor = 30 * time.Second
	// demandFor is how long a router's word about its demand counts.
	demandFor = 20 * time.Second
)

// zoneShare is what one zone last said of one workspace.
type zoneShare struct {
	unspent int64
	demand  float64
	heard   time.Time
}

// routerDemand is what a router last said, in tokens a second.
type routerDemand struct {
	rate float64
	at   time.Time
}

// workspaceShares is the soft state of one workspace.
type workspaceShares struct {
	touched time.Time
	zones   map[string]zoneShare
	routers map[string]routerDemand
	// Meter averages the zone's demand over the time that a cut may last.
	meter placer.Meter
}

// idleMeter is the demand of a workspace that is out of the exchange.
type idleMeter struct {
	meter placer.Meter
	since time.Time
}

// shares is the soft state of the workspaces that have traffic; others are
// dropped, so that its size follows the traffic.
type shares struct {
	mu  sync.Mutex
	all map[string]*workspaceShares
	// Idle keeps the meters of dropped workspaces for placer.MeterTime: a
	// pause between requests must not make a workspace's demand unknown.
	idle map[string]idleMeter
}

func newShares() *shares {
	return &shares{all: map[string]*workspaceShares{}, idle: map[string]idleMeter{}}
}

func (s *shares) get(workspace string, now time.Time) *workspaceShares {
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

// touch notes that a workspace's rights changed here.
func (s *shares) touch(workspace string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(workspace, now)
}

// demand notes a router's demand.
func (s *shares) demand(workspace, router string, rate float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(workspace, now).routers[router] = routerDemand{rate: rate, at: now}
}

// left notes what a zone has left and keeps its demand.
func (s *shares) left(workspace, zone string, n int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.get(workspace, now)
	z := w.zones[zone]
	z.unspent, z.heard = n, now
	w.zones[zone] = z
}

// heard notes a zone's share. It does not count as traffic here.
func (s *shares) heard(zone string, x *messenger.Share, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.all[x.Workspace]; w != nil {
		w.zones[zone] = zoneShare{unspent: x.UnspentTokens, demand: float64(x.DemandTokensPerSecond), heard: now}
	}
}

// elsewhere returns what the other zones had left when last heard.
func (s *shares) elsewhere(workspace string) (n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.all[workspace]; w != nil {
		for _, z := range w.zones {
			n += z.unspent
		}
	}
	return n
}

// active drops idle workspaces and returns the others by name; it is called
// once a round, and measures the demand since the last.
func (s *shares) active(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name, w := range s.all {
		if now.Sub(w.touched) > activeFor {
			delete(s.all, name)
			s.idle[name] = idleMeter{meter: w.meter, since: now}
			continue
		}
		w.meter.Add(now, w.demandNow(now))
		out = append(out, name)
	}
	maps.DeleteFunc(s.idle, func(_ string, i idleMeter) bool { return now.Sub(i.since) > placer.MeterTime })
	slices.Sort(out)
	return out
}

// demandNow sums what the zone's routers said lately.
func (w *workspaceShares) demandNow(now time.Time) (rate float64) {
	for _, r := range w.routers {
		if now.Sub(r.at) < demandFor {
			rate += r.rate
		}
	}
	return rate
}

// ownDemand returns the zone's demand, averaged over placer.MeterTime.
func (s *shares) ownDemand(workspace string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.all[workspace]; w != nil {
		return w.meter.Rate()
	}
	i := s.idle[workspace]
	return i.meter.Rate()
}

// others returns a copy of what the other zones last said.
func (s *shares) others(workspace string) map[string]zoneShare {
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
