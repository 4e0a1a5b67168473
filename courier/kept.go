package courier

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
)

const (
	// keptWithin its start a router asks endpoints what they keep; of those that
	// start later it hears from the beginning.
	keptWithin = 10 * time.Second
	// keptTimeout bounds one question: work goes on without the answer.
	keptTimeout = 500 * time.Millisecond
	// keptMost bounds how many endpoints one router asks, those of its zone first: a
	// question takes a connection and up to a megabyte of its link. 295 routers with 256
	// engines would ask 75,000 in the seconds in which callers come back; so it is 7,000.
	keptMost = 24
)

// askKept asks engines that came into service for what they keep, once each. A
// router that starts knows none of it; after a restart of all routers nobody does,
// and all shared parts were read again, 0.3 s of engine time for each, in the very
// seconds in which the callers of the outage come back. At the first start of a fleet
// there is nothing to know.
func (f *fleet) askKept(ctx context.Context) {
	x := f.index.Load()
	if f.o.Kept == nil || x == nil || f.o.Node.FirstStart() || time.Since(f.start) > keptWithin {
		return
	}
	for _, e := range f.unasked(x) {
		f.keptAsked[e.Beat().Incarnation] = true
		go f.learnKept(ctx, e)
	}
}

// unasked returns the engines to ask now, in an order of this router's own.
func (f *fleet) unasked(x *publisher.Index) []*predictor.Endpoint {
	var here, elsewhere []*predictor.Endpoint
	for i, e := range f.endpoints {
		b := e.Beat()
		switch s := x.Service(b.Service); {
		case f.keptAsked[i] || s == nil || s.Engine == nil || f.evacuations.load().zones[b.Zone]:
		case b.Zone == f.self.Zone:
			here = append(here, e)
		default:
			elsewhere = append(elsewhere, e)
		}
	}
	shuffle(here)
	shuffle(elsewhere)
	all := append(here, elsewhere...)
	return all[:min(len(all), max(keptMost-len(f.keptAsked), 0))]
}

func shuffle(list []*predictor.Endpoint) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
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
