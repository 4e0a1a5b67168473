package router

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/treasurer"
)

// newTreasurer returns the treasurer, which holds this router's budget rights.
// The returned function stops it and closes its connections.
func newTreasurer(s *loader.Settings, self loader.Process, d *messenger.Dialer, conn *grpc.ClientConn, log *zap.Logger) (*treasurer.Treasurer, func(), error) {
	dial := func(address string) (treasurer.Keeper, func(), error) {
		c, err := d.Dial(address)
		if err != nil {
			return nil, nil, err
		}
		k, closeSpender := messenger.NewSpender(messenger.NewBudgetKeeperClient(c), self.Zone())
		return k, func() {
			closeSpender()
			_ = c.Close()
		}, nil
	}
	own, closeOwn := messenger.NewSpender(messenger.NewBudgetKeeperClient(conn), self.Zone())
	o := treasurer.Options{
		Router: self.Name(), Zone: self.Zone(), Incarnation: rattanhoist.Incarnation(time.Now().UnixNano()),
		Keeper: own, Dial: dial, Policy: treasurer.DefaultPolicy(), Log: log,
	}
	// Keepers keep a charge for twice as long as a run may hold its
	// reservation.
	o.Policy.MaxRunTime = s.Policy().KeepCharges() / 2
	closeWitness := func() {}
	if next, ok := defaultWitness(s, self.Zone()); ok {
		k, c, err := dial(next.RPC())
		if err != nil {
			closeOwn()
			return nil, nil, err
		}
		o.Witness, closeWitness = k, c
	}
	t, closeTreasurer := treasurer.New(o)
	return t, func() {
		closeTreasurer()
		closeOwn()
		closeWitness()
	}, nil
}

// defaultWitness returns the keeper of another zone that follows the zone's own
// keeper in the settings. It is the witness until the own keeper names one.
func defaultWitness(s *loader.Settings, zone string) (loader.Process, bool) {
	all := s.Processes(loader.KindKeeper)
	for i, p := range all {
		if p.Zone() != zone {
			continue
		}
		for n := 1; n < len(all); n++ {
			if next := all[(i+n)%len(all)]; next.Zone() != zone {
				return next, true
			}
		}
	}
	return loader.Process{}, false
}
