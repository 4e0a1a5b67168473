package router

import (
	"context"
	"errors"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	rewatchAfter = 200 * time.Millisecond
	// silenceTimeout ends a stream without heartbeats: a keeper that is cut
	// off silently closes nothing.
	silenceTimeout = 2 * time.Second
	// staleAge is the age of a keeper's copy at which another keeper is tried,
	// and staleRetry how long the router then stays with what it found.
	staleAge   = 3 * time.Second
	staleRetry = 10 * time.Second
	// confirmWait is how long a starting router looks for a keeper that a
	// majority confirms, before it serves what the keeper of its zone has.
	confirmWait   = 4 * time.Second
	reportTimeout = time.Second
	reportEvery   = 5 * time.Second
	// homeEvery is the pause between looks at the own zone's keeper while
	// another one is followed, and homeTimeout bounds one.
	homeEvery   = 3 * time.Second
	homeTimeout = 200 * time.Millisecond
)

// Errors that end a stream. Compare with errors.Is.
var (
	errSilent = merry.Sentinel("the keeper is silent")
	errStale  = merry.Sentinel("the keeper's copy is old")
	errBase   = merry.Sentinel("the update has another base")
	errHome   = merry.Sentinel("the keeper of the own zone is back")
)

// Counters of the configuration at this router.
var (
	followed      = expvar.NewMap("configuration")
	versionServed = new(expvar.Int)
	ageServedMS   = new(expvar.Int)
	// AgeServedAt is when ageServedMS was heard, in milliseconds of Unix time.
	ageServedAt    atomic.Int64
	keeperSwitches = new(expvar.Int)
	lowerVersions  = new(expvar.Int)
	wholeCopies    = new(expvar.Int)
	keeperFollowed = new(expvar.String)
)

func init() {
	followed.Set("version", versionServed)
	followed.Set("age_ms", ageServedMS)
	followed.Set("keeper_switches", keeperSwitches)
	followed.Set("lower_versions_passed_over", lowerVersions)
	followed.Set("whole_copies", wholeCopies)
	followed.Set("keeper", keeperFollowed)
}

// source is one keeper that the router may follow.
type source struct {
	name   string
	own    bool
	client messenger.ConfigurationKeeperClient
}

// follower keeps the router's snapshot at the highest version it can learn.
type follower struct {
	node, zone string
	log        *zap.Logger
	sources    []source
	show       func(*configurer.Snapshot)
	book       *configurer.Copy
	// Shown says that the router serves; from then on the version only grows.
	shown   bool
	started time.Time
	// Served is the version of the snapshot in use.
	served uint64
	// SwitchedAt is when a stale source was last left.
	switchedAt time.Time
	lookedHome time.Time
	reported   uint64
	reportedAt time.Time
}

// follow keeps the snapshot at the keepers' version until ctx ends.
func (r *Router) follow(ctx context.Context) {
	sources, closeAll, err := r.sources()
	if err != nil {
		r.log.Error("no keeper can be followed", zap.Error(err))
		return
	}
	defer closeAll()
	f := &follower{
		node: r.self.Name(), zone: r.self.Zone(), log: r.log, sources: sources,
		show: r.show, book: configurer.NewCopy(), started: time.Now(),
	}
	f.run(ctx)
}

// show has the router serve a configuration.
func (r *Router) show(s *configurer.Snapshot) {
	r.snapshot.Store(s)
	r.becomeReady()
}

// configurationAgeMS is the time since the configuration was last confirmed,
// or -1 where that is not known.
func configurationAgeMS(now time.Time) int64 {
	age, at := ageServedMS.Value(), ageServedAt.Load()
	if at == 0 || age < 0 {
		return -1
	}
	return age + max(0, now.UnixMilli()-at)
}

// sources lists the keepers, those of the router's own zone first.
func (r *Router) sources() ([]source, func(), error) {
	var own, others []source
	var opened cleanUps
	for _, p := range r.settings.Processes(loader.KindKeeper) {
		c, err := r.dialer.Dial(p.RPC())
		if err != nil {
			opened.run()
			return nil, nil, err
		}
		opened.add(func() { _ = c.Close() })
		s := source{name: p.Name(), own: p.Zone() == r.self.Zone(), client: messenger.NewConfigurationKeeperClient(c)}
		if s.own {
			own = append(own, s)
		} else {
			others = append(others, s)
		}
	}
	return append(spread(own, r.self.Name()), spread(others, r.self.Name())...), opened.run, nil
}

// spread rotates the list by the router's name: routers of zones without a
// keeper would otherwise all follow the first one of the settings.
func spread(list []source, node string) []source {
	if len(list) == 0 {
		return nil
	}
	i := int(xxhash.Sum64String(node) % uint64(len(list)))
	return append(append([]source(nil), list[i:]...), list[:i]...)
}

func (f *follower) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		s := f.sources[i%len(f.sources)]
		err := f.followOnce(ctx, s)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errHome) {
			i = -1
		}
		keeperSwitches.Add(1)
		f.log.Debug("configuration stream ended", zap.String("keeper", s.name), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(rewatchAfter):
		}
	}
}

func (f *follower) followOnce(ctx context.Context, s source) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	keeperFollowed.Set(s.name)
	w, err := s.client.Watch(ctx, &messenger.WatchRequest{
		Node: f.node, Zone: f.zone, Version: f.book.Version(), Digest: f.book.Digest(),
	})
	if err != nil {
		return err
	}
	for {
		u, err := w.Recv()
		if err != nil {
			return merry.Wrap(err, merry.WithCause(context.Cause(ctx)))
		}
		silence.Reset(silenceTimeout)
		if err := f.take(u); err != nil {
			return err
		}
		f.showWhenKnown(s, u)
		f.report(ctx, s)
		if f.stale(u) {
			return errStale
		}
		if f.home(ctx, s) {
			return errHome
		}
	}
}

// take brings the copy to the update's version. A version below the copy's is
// passed over: a keeper that lags must not take the router back.
func (f *follower) take(u *messenger.Update) error {
	switch {
	case u.Version < f.book.Version():
		lowerVersions.Add(1)
		return nil
	case u.Configuration != nil:
		wholeCopies.Add(1)
		f.book.Load(u.Configuration)
	case u.BaseVersion != f.book.Version():
		return errBase
	default:
		for _, c := range u.Changes {
			f.book.Apply(c)
		}
	}
	if f.book.Digest() != u.Digest {
		// The next stream asks for the whole configuration.
		f.log.Warn("configuration differs from the keeper's", zap.Uint64("version", u.Version))
		return errBase
	}
	return nil
}

// showWhenKnown has the router serve the copy. A router that has just started
// may know of less than it served before: it waits for a keeper that a
// majority confirms, and only when none can be found takes the word of its
// own zone's keeper, which then is the latest that the zone can know.
func (f *follower) showWhenKnown(s source, u *messenger.Update) {
	if u.Version < f.book.Version() && !f.shown {
		return
	}
	ageServedMS.Set(u.AgeMs)
	ageServedAt.Store(time.Now().UnixMilli())
	lone := s.own && time.Since(f.started) > confirmWait
	if !f.shown && !u.Confirmed && !lone {
		return
	}
	if f.shown && f.book.Version() == f.served {
		return
	}
	if !f.shown {
		f.log.Info("configuration known", zap.Uint64("version", f.book.Version()), zap.String("keeper", s.name),
			zap.Bool("confirmed", u.Confirmed), zap.Int64("age_ms", u.AgeMs))
	}
	f.shown = true
	f.served = f.book.Version()
	versionServed.Set(int64(f.served))
	f.show(f.book.Snapshot())
}

// report tells the keeper which version is in force here.
func (f *follower) report(ctx context.Context, s source) {
	if !f.shown || f.reported == f.book.Version() && time.Since(f.reportedAt) < reportEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := s.client.ReportInForce(ctx, &messenger.InForceReport{Node: f.node, Zone: f.zone, Version: f.book.Version()})
	if err == nil {
		f.reported, f.reportedAt = f.book.Version(), time.Now()
	}
}

// home reports whether the keeper of the own zone can be followed again:
// without it one failure of that keeper would load the others for good, and
// every zone's cut would meet routers that hang on the far side.
func (f *follower) home(ctx context.Context, s source) bool {
	own := f.sources[0]
	if s.own || !own.own || !f.shown || time.Since(f.lookedHome) < homeEvery {
		return false
	}
	f.lookedHome = time.Now()
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	r, err := own.client.ReportInForce(ctx, &messenger.InForceReport{Node: f.node, Zone: f.zone, Version: f.book.Version()})
	return err == nil && r.Version >= f.book.Version() && r.AgeMs >= 0 && time.Duration(r.AgeMs)*time.Millisecond < staleAge
}

// stale reports whether another keeper may know more.
func (f *follower) stale(u *messenger.Update) bool {
	old := u.AgeMs < 0 || time.Duration(u.AgeMs)*time.Millisecond > staleAge
	starting := !f.shown && !u.Confirmed
	if !old && !starting || time.Since(f.switchedAt) < staleRetry && !starting {
		return false
	}
	f.switchedAt = time.Now()
	return len(f.sources) > 1
}
