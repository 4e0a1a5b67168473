package courier

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/loader"
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

// shedding moves callers to other routers of the zone while this router's link or processor is much
// busier than theirs. It is safe for concurrent use. A nil *shedding sheds nothing.
type shedding struct {
	admission *shaper.Admission
	// processor is nil if the share of the VM is unknown.
	processor *shaper.Processor
	// refuse is set if new connections may be refused.
	refuse bool
	log    *zap.Logger

	mu      sync.Mutex
	gate    shaper.Gate
	shedder shaper.Shedder
	zone    shaper.ZoneLoad
	zoneAt  time.Time
}

func newShedding(a *shaper.Admission, n *loader.Node, log *zap.Logger) *shedding {
	return &shedding{admission: a, processor: shaper.NewProcessor(n.ProcessorShare()), refuse: n.Features().ConnectionShedding, log: log}
}

// observe records a keeper's report about the load of the zone. It does nothing if z is nil.
func (s *shedding) observe(z *messenger.ZoneLoad) {
	if s == nil || z == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zone = shaper.ZoneLoad{
		Mean: float64(z.MeanPermille) / 1000, MeanProcessor: float64(z.MeanProcessorPermille) / 1000, Routers: int(z.Routers), Shedding: int(z.Shedding),
	}
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
		if s.utilization(time.Now()) > idleUtilization || s.active() {
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
	s.updateGate(now)
	before, utilization := s.shedder.Shedding(), s.admission.Utilization(now)
	s.shedder.Update(now, utilization, s.zone)
	if after := s.shedder.Shedding(); after != before {
		s.log.Info("callers are sent to other routers", zap.Bool("shedding", after), zap.Float64("utilization", utilization),
			zap.Float64("zone_mean", s.zone.Mean), zap.Int("zone_routers", s.zone.Routers), zap.Int("zone_shedding", s.zone.Shedding))
	}
	return s.shedder.Closing(now)
}

// utilization returns that of the link or of the processor, whichever is higher.
func (s *shedding) utilization(now time.Time) float64 {
	return max(s.admission.Utilization(now), s.processor.Utilization())
}

// updateGate determines which part of new connections is refused. The caller holds s.mu.
func (s *shedding) updateGate(now time.Time) {
	if used, known := shaper.ProcessorTime(); known {
		s.processor.Observe(now, used)
	}
	if !s.refuse {
		return
	}
	own := shaper.Load{Link: s.admission.Utilization(now), Processor: s.processor.Utilization()}
	before := s.gate.Refusing()
	s.gate.Update(now, own, s.zone)
	if after := s.gate.Refusing(); after != before {
		s.log.Info("new connections are refused", zap.Bool("refusing", after), zap.Float64("link", own.Link), zap.Float64("processor", own.Processor),
			zap.Float64("zone_link", s.zone.Mean), zap.Float64("zone_processor", s.zone.MeanProcessor), zap.Int("zone_routers", s.zone.Routers))
	}
}

// admits reports whether a new connection is admitted.
func (s *shedding) admits() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Admits(rand.Float64())
}

// listener returns a listener that closes new connections unread which are not admitted. Their callers
// try again at other routers.
func (s *shedding) listener(inner net.Listener) net.Listener { return &gatedListener{inner, s} }

type gatedListener struct {
	net.Listener
	shedding *shedding
}

// Accept waits for a connection that is admitted.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.shedding.admits() {
			return c, err
		}
		connectionsRefused.Inc()
		_ = c.Close()
	}
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
	return &messenger.RouterLoad{
		Permille: uint32(1000 * s.admission.Utilization(now)), ProcessorPermille: uint32(1000 * s.processor.Utilization()), Shedding: s.active(),
	}
}
