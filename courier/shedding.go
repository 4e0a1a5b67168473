package courier

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/shaper"
)

// zoneLoadTTL is how long a keeper's report about the load of the zone is valid. It is
// longer than most partitions, and than an overloaded link delays the replies of keepers.
const zoneLoadTTL = 15 * time.Second

const (
	// shedInterval is the interval between two checks of the load, and idleShedInterval
	// that of a router whose link utilization is below idleUtilization.
	shedInterval     = 100 * time.Millisecond
	idleShedInterval = 500 * time.Millisecond
	idleUtilization  = 0.3
)

// shedding moves callers to other routers of the zone while this router's link is much
// busier than theirs. It is safe for concurrent use. A nil *shedding sheds nothing.
type shedding struct {
	admission *shaper.Admission
	log       *zap.Logger

	mu      sync.Mutex
	shedder shaper.Shedder
	zone    shaper.ZoneLoad
	zoneAt  time.Time
}

func newShedding(a *shaper.Admission, log *zap.Logger) *shedding {
	return &shedding{admission: a, log: log}
}

// observe records a keeper's report about the load of the zone. It does nothing if z is nil.
func (s *shedding) observe(z *messenger.ZoneLoad) {
	if s == nil || z == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zone = shaper.ZoneLoad{Mean: float64(z.MeanPermille) / 1000, Routers: int(z.Routers), Shedding: int(z.Shedding)}
	s.zoneAt = time.Now()
}

// run tracks the load until ctx is done. It calls keepAlives when connections of callers
// may no longer stay open after a response, or may again.
func (s *shedding) run(ctx context.Context, keepAlives func(bool)) {
	keepingAlive, pause := true, shedInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = idleShedInterval
		if s.admission.Utilization(time.Now()) > idleUtilization || s.active() {
			pause = shedInterval
		}
		if keepAlive := !s.step(time.Now()); keepAlive != keepingAlive {
			keepingAlive = keepAlive
			keepAlives(keepAlive)
		}
	}
}

// step updates the state, and reports whether connections of callers should be closed.
func (s *shedding) step(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.zoneAt) > zoneLoadTTL {
		s.zone = shaper.ZoneLoad{}
	}
	before, utilization := s.shedder.Shedding(), s.admission.Utilization(now)
	s.shedder.Update(now, utilization, s.zone)
	if after := s.shedder.Shedding(); after != before {
		s.log.Info("callers are sent to other routers", zap.Bool("shedding", after), zap.Float64("utilization", utilization),
			zap.Float64("zone_mean", s.zone.Mean), zap.Int("zone_routers", s.zone.Routers), zap.Int("zone_shedding", s.zone.Shedding))
	}
	return s.shedder.Closing(now)
}

// active reports whether new callers should go to other routers.
func (s *shedding) active() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedder.Shedding()
}

// load returns the load of this router for keepers, or nil if it is unknown.
func (s *shedding) load(now time.Time) *messenger.RouterLoad {
	if s == nil {
		return nil
	}
	return &messenger.RouterLoad{Permille: uint32(1000 * s.admission.Utilization(now)), Shedding: s.active()}
}
