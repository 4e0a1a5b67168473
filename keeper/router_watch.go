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
	// watchEvery is the pause between questions to the zone's routers.
	watchEvery = time.Second
	// silenceMost is how long a router may be silent before it is fenced and
	// its rights are given to others. Fencing a router that lives costs it its
	// requests in progress, so it is much longer than a pause or a restart.
	silenceMost = 10 * time.Second
)

// routerWatch is what a keeper knows of the life of its zone's routers.
type routerWatch struct {
	asked time.Time
	// Heard maps names to the last answer.
	heard map[string]time.Time
	// Said maps names to what the routers promised of their charges. It is
	// replaced, not changed: a vault may be reading the old one.
	said map[string]budgeter.Heard
}

// watchRouters fences routers that are silent: a VM that is lost for good
// does not register again, and its slice would count as spent for ever.
func (s *budgetServer) watchRouters(ctx context.Context) {
	now := time.Now()
	if now.Sub(s.watch.asked) < watchEvery {
		return
	}
	s.watch.asked = now
	routers := s.keeper.peers.routers
	var mu sync.Mutex
	said := maps.Clone(s.watch.said)
	silent := each(ctx, routers, func(ctx context.Context, p peer) error {
		// Nothing is recalled: any answer shows that the process lives.
		out, err := p.router().Recall(ctx, &messenger.RecallRequest{})
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			said[p.process.Name()] = budgeter.Heard{Incarnation: out.Incarnation, AnsweredBeforeMs: out.AnsweredBeforeMs}
		}
		return err
	})
	s.watch.said = said
	for _, p := range routers {
		if s.watch.heard[p.process.Name()].IsZero() {
			s.watch.heard[p.process.Name()] = now
		}
	}
	lost := map[string]bool{}
	for _, p := range silent {
		lost[p.process.Name()] = true
	}
	for _, p := range routers {
		name := p.process.Name()
		if !lost[name] {
			s.watch.heard[name] = now
		} else if now.Sub(s.watch.heard[name]) > silenceMost {
			s.fenceSilent(ctx, name)
		}
	}
}

func (s *budgetServer) fenceSilent(ctx context.Context, name string) {
	incarnation, _ := readVault(ctx, s.loop, func(v *budgeter.Vault) uint64 { return v.Unfenced(name) })
	if incarnation == 0 {
		return
	}
	_, err := s.loop.handle(ctx, budgeter.Fence{Request: &messenger.FenceRequest{Router: name, Incarnation: incarnation}})
	if err == nil {
		s.log().Warn("silent router fenced", zap.String("router", name), zap.Uint64("incarnation", incarnation))
	}
}
