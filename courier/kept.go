package courier

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/predictor"
)

const (
	// keptWithin its start a router asks endpoints what they keep; of those that
	// start later it hears from the beginning.
	keptWithin = 10 * time.Second
	// keptTimeout bounds one question: work goes on without the answer.
	keptTimeout = 500 * time.Millisecond
)

// askKept asks the engines that came into service for what they keep, once each. A
// router that starts knows none of it; after a restart of all routers nobody does,
// and all shared parts were read again, 0.3 s of engine time for each, in the very
// seconds in which the callers of the outage come back. At the first start of a fleet
// there is nothing to know.
func (f *fleet) askKept(ctx context.Context) {
	x := f.index.Load()
	if f.o.Kept == nil || x == nil || f.o.Node.FirstStart() || time.Since(f.start) > keptWithin {
		return
	}
	for i, e := range f.endpoints {
		if s := x.Service(e.Beat().Service); f.keptAsked[i] || s == nil || s.Engine == nil {
			continue
		}
		f.keptAsked[i] = true
		go f.learnKept(ctx, e)
	}
}

func (f *fleet) learnKept(ctx context.Context, e *predictor.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, keptTimeout)
	defer cancel()
	parts, err := f.o.Kept(ctx, e.Beat().Address)
	if err != nil {
		f.o.Log.Warn("endpoint's kept parts unknown", zap.String("endpoint", e.Name()), zap.Error(err))
		return
	}
	e.Keeps(parts)
	f.o.Log.Info("endpoint keeps", zap.String("endpoint", e.Name()), zap.Int("parts", len(parts)))
}
