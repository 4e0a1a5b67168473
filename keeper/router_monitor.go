package keeper

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// routerPollInterval is the pause between polls of the zone's routers.
	routerPollInterval = time.Second
	// routerSilenceLimit is how long a router may be silent before it is
	// fenced and its rights go to others. Fencing a live router aborts its
	// requests in progress, so the limit is much longer than a pause or a
	// restart.
	routerSilenceLimit = 10 * time.Second
)

// routerMonitor tracks which routers of the zone are alive.
type routerMonitor struct {
	lastPoll time.Time
	// lastAnswer maps router names to the time of their last answer.
	lastAnswer map[string]time.Time
	// reports maps router names to what they reported about their charges.
	// The map is replaced rather than modified, because a vault may be
	// reading the old one.
	reports map[string]budgeter.RouterReport
}

// watchRouters polls the zone's routers and fences those that stay silent. A
// VM that is lost for good never registers again, and its lease would count
// as spent forever.
func (s *budgetServer) watchRouters(ctx context.Context) {
	now := time.Now()
	if now.Sub(s.monitor.lastPoll) < routerPollInterval {
		return
	}
	s.monitor.lastPoll = now
	routers := s.keeper.peers.routers
	var mu sync.Mutex
	said := maps.Clone(s.monitor.reports)
	silent := callAll(ctx, routers, func(ctx context.Context, p peer) error {
		// The request recalls nothing: any answer shows that the process is
		// alive.
		out, err := p.router().Recall(ctx, &messenger.RecallRequest{})
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			said[p.process.Name()] = budgeter.RouterReport{Incarnation: out.Incarnation, AnsweredBeforeMs: out.AnsweredBeforeMs}
		}
		return err
	})
	s.monitor.reports = said
	for _, p := range routers {
		if s.monitor.lastAnswer[p.process.Name()].IsZero() {
			s.monitor.lastAnswer[p.process.Name()] = now
		}
	}
	lost := map[string]bool{}
	for _, p := range silent {
		lost[p.process.Name()] = true
	}
	for _, p := range routers {
		name := p.process.Name()
		if !lost[name] {
			s.monitor.lastAnswer[name] = now
		} else if now.Sub(s.monitor.lastAnswer[name]) > routerSilenceLimit {
			s.fenceSilentRouter(ctx, name)
		}
	}
}

// fenceSilentRouter fences the unfenced incarnation of a router that does not
// answer.
func (s *budgetServer) fenceSilentRouter(ctx context.Context, name string) {
	incarnation, _ := readVault(ctx, s.loop, func(v *budgeter.Vault) uint64 { return v.UnfencedIncarnation(name) })
	if incarnation == 0 {
		return
	}
	_, err := s.loop.handle(ctx, budgeter.Fence{Request: &messenger.FenceRequest{Router: name, Incarnation: incarnation}})
	if err == nil {
		s.log().Warn("silent router fenced", zap.String("router", name), zap.Uint64("incarnation", incarnation))
	}
}
