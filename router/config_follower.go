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
	// rewatchDelay is the pause between two configuration streams.
	rewatchDelay = 200 * time.Millisecond
	// silenceTimeout ends a stream without heartbeats, because a keeper that is
	// cut off silently closes no connection.
	silenceTimeout = 2 * time.Second
	// staleAge is the age of a keeper's copy at which another keeper is tried.
	staleAge = 3 * time.Second
	// staleRetryInterval is how long the router then stays with the keeper it
	// has found.
	staleRetryInterval = 10 * time.Second
	// confirmationTimeout is how long a starting router looks for a keeper
	// whose version is confirmed by a majority, before it uses the copy of its
	// own zone's keeper.
	confirmationTimeout = 4 * time.Second
	reportTimeout       = time.Second
	reportInterval      = 5 * time.Second
	// ownKeeperCheckInterval is the pause between checks of the own zone's
	// keeper while another keeper is followed, and ownKeeperCheckTimeout bounds
	// each check.
	ownKeeperCheckInterval = 3 * time.Second
	ownKeeperCheckTimeout  = 200 * time.Millisecond
)

// Errors that end a stream. Compare with errors.Is.
var (
	errKeeperSilent  = merry.Sentinel("the keeper is silent")
	errStaleCopy     = merry.Sentinel("the keeper's copy is old")
	errBaseMismatch  = merry.Sentinel("the update has another base")
	errOwnKeeperBack = merry.Sentinel("the keeper of the own zone is back")
)

// Counters of the configuration in use at this router.
var (
	configurationVars = expvar.NewMap("configuration")
	versionServed     = new(expvar.Int)
	ageServedMS       = new(expvar.Int)
	// ageServedAt is when ageServedMS was received, in milliseconds of Unix
	// time.
	ageServedAt    atomic.Int64
	keeperSwitches = new(expvar.Int)
	lowerVersions  = new(expvar.Int)
	wholeCopies    = new(expvar.Int)
	keeperFollowed = new(expvar.String)
)

func init() {
	configurationVars.Set("version", versionServed)
	configurationVars.Set("age_ms", ageServedMS)
	configurationVars.Set("keeper_switches", keeperSwitches)
	configurationVars.Set("lower_versions_passed_over", lowerVersions)
	configurationVars.Set("whole_copies", wholeCopies)
	configurationVars.Set("keeper", keeperFollowed)
}

// keeperSource is a keeper that the router may follow.
type keeperSource struct {
	name   string
	own    bool
	client messenger.ConfigurationKeeperClient
}

// configFollower keeps the router's snapshot at the highest configuration
// version it can learn of.
type configFollower struct {
	node, zone string
	log        *zap.Logger
	sources    []keeperSource
	publish    func(*configurer.Snapshot)
	config     *configurer.Copy
	// published is set once the router serves a configuration; from then on its
	// version only increases.
	published bool
	started   time.Time
	// publishedVersion is the version of the snapshot in use.
	publishedVersion uint64
	// switchedAt is when a keeper with an old copy was last left.
	switchedAt time.Time
	// ownCheckedAt is when the own zone's keeper was last checked.
	ownCheckedAt time.Time
	// reportedVersion is the version last reported to a keeper, at reportedAt.
	reportedVersion uint64
	reportedAt      time.Time
}

// followConfiguration keeps the snapshot up to date with the keepers until ctx
// ends.
func (r *Router) followConfiguration(ctx context.Context) {
	sources, closeAll, err := r.keeperSources()
	if err != nil {
		r.log.Error("no keeper can be followed", zap.Error(err))
		return
	}
	defer closeAll()
	f := &configFollower{
		node: r.self.Name(), zone: r.self.Zone(), log: r.log, sources: sources,
		publish: r.useConfiguration, config: configurer.NewCopy(), started: time.Now(),
	}
	f.run(ctx)
}

// useConfiguration makes the router serve a configuration.
func (r *Router) useConfiguration(s *configurer.Snapshot) {
	r.snapshot.Store(s)
	r.becomeReady()
}

// configurationAgeMS returns the time since the configuration was last
// confirmed, or -1 if it is not known.
func configurationAgeMS(now time.Time) int64 {
	age, at := ageServedMS.Value(), ageServedAt.Load()
	if at == 0 || age < 0 {
		return -1
	}
	return age + max(0, now.UnixMilli()-at)
}

// keeperSources returns the keepers, those of the router's own zone first.
func (r *Router) keeperSources() ([]keeperSource, func(), error) {
	var own, others []keeperSource
	var opened cleanUps
	for _, p := range r.settings.Processes(loader.KindKeeper) {
		c, err := r.dialer.Dial(p.RPC())
		if err != nil {
			opened.run()
			return nil, nil, err
		}
		opened.add(func() { _ = c.Close() })
		s := keeperSource{name: p.Name(), own: p.Zone() == r.self.Zone(), client: messenger.NewConfigurationKeeperClient(c)}
		if s.own {
			own = append(own, s)
		} else {
			others = append(others, s)
		}
	}
	return append(rotateByName(own, r.self.Name()), rotateByName(others, r.self.Name())...), opened.run, nil
}

// rotateByName rotates the list by a hash of the router's name. Otherwise all
// routers of zones without a keeper would follow the first keeper in the
// settings.
func rotateByName(list []keeperSource, node string) []keeperSource {
	if len(list) == 0 {
		return nil
	}
	i := int(xxhash.Sum64String(node) % uint64(len(list)))
	return append(append([]keeperSource(nil), list[i:]...), list[:i]...)
}

// run follows one keeper after the other until ctx ends. It returns to the
// first one when the keeper of the own zone is available again.
func (f *configFollower) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		s := f.sources[i%len(f.sources)]
		err := f.followKeeper(ctx, s)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errOwnKeeperBack) {
			i = -1
		}
		keeperSwitches.Add(1)
		f.log.Debug("configuration stream ended", zap.String("keeper", s.name), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(rewatchDelay):
		}
	}
}

// followKeeper applies the updates of one keeper until the stream ends or
// another keeper should be followed.
func (f *configFollower) followKeeper(ctx context.Context, s keeperSource) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(silenceTimeout, func() { cancel(errKeeperSilent) })
	defer silence.Stop()
	keeperFollowed.Set(s.name)
	w, err := s.client.Watch(ctx, &messenger.WatchRequest{
		Node: f.node, Zone: f.zone, Version: f.config.Version(), Digest: f.config.Digest(),
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
		if err := f.applyUpdate(u); err != nil {
			return err
		}
		f.publishWhenConfirmed(s, u)
		f.report(ctx, s)
		if f.shouldSwitch(u) {
			return errStaleCopy
		}
		if f.ownKeeperBack(ctx, s) {
			return errOwnKeeperBack
		}
	}
}

// applyUpdate brings the copy to the version of an update. Lower versions are
// ignored, so that a keeper that lags behind does not take the router back.
func (f *configFollower) applyUpdate(u *messenger.Update) error {
	switch {
	case u.Version < f.config.Version():
		lowerVersions.Add(1)
		return nil
	case u.Configuration != nil:
		wholeCopies.Add(1)
		f.config.Load(u.Configuration)
	case u.BaseVersion != f.config.Version():
		return errBaseMismatch
	default:
		for _, c := range u.Changes {
			f.config.Apply(c)
		}
	}
	if f.config.Digest() != u.Digest {
		// The next stream will request the whole configuration.
		f.log.Warn("configuration differs from the keeper's", zap.Uint64("version", u.Version))
		return errBaseMismatch
	}
	return nil
}

// publishWhenConfirmed makes the router serve the copy. A router that has just
// started may know an older version than it served before its restart, so it
// waits for a keeper whose version a majority confirms. If no such keeper is
// found within confirmationTimeout, it uses the copy of its own zone's keeper,
// which then is the latest version that the zone can know.
func (f *configFollower) publishWhenConfirmed(s keeperSource, u *messenger.Update) {
	if u.Version < f.config.Version() && !f.published {
		return
	}
	ageServedMS.Set(u.AgeMs)
	ageServedAt.Store(time.Now().UnixMilli())
	lone := s.own && time.Since(f.started) > confirmationTimeout
	if !f.published && !u.Confirmed && !lone {
		return
	}
	if f.published && f.config.Version() == f.publishedVersion {
		return
	}
	if !f.published {
		f.log.Info("configuration known", zap.Uint64("version", f.config.Version()), zap.String("keeper", s.name),
			zap.Bool("confirmed", u.Confirmed), zap.Int64("age_ms", u.AgeMs))
	}
	f.published = true
	f.publishedVersion = f.config.Version()
	versionServed.Set(int64(f.publishedVersion))
	f.publish(f.config.Snapshot())
}

// report tells the keeper which version this router uses.
func (f *configFollower) report(ctx context.Context, s keeperSource) {
	if !f.published || f.reportedVersion == f.config.Version() && time.Since(f.reportedAt) < reportInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := s.client.ReportInForce(ctx, &messenger.InForceReport{Node: f.node, Zone: f.zone, Version: f.config.Version()})
	if err == nil {
		f.reportedVersion, f.reportedAt = f.config.Version(), time.Now()
	}
}

// ownKeeperBack reports whether the keeper of the own zone can be followed
// again. Without this check, a single failure of that keeper would burden the
// others permanently, and a partition of any zone would affect routers that
// follow a keeper on the far side.
func (f *configFollower) ownKeeperBack(ctx context.Context, s keeperSource) bool {
	own := f.sources[0]
	if s.own || !own.own || !f.published || time.Since(f.ownCheckedAt) < ownKeeperCheckInterval {
		return false
	}
	f.ownCheckedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, ownKeeperCheckTimeout)
	defer cancel()
	r, err := own.client.ReportInForce(ctx, &messenger.InForceReport{Node: f.node, Zone: f.zone, Version: f.config.Version()})
	return err == nil && r.Version >= f.config.Version() && r.AgeMs >= 0 && time.Duration(r.AgeMs)*time.Millisecond < staleAge
}

// shouldSwitch reports whether another keeper may have a newer version.
func (f *configFollower) shouldSwitch(u *messenger.Update) bool {
	old := u.AgeMs < 0 || time.Duration(u.AgeMs)*time.Millisecond > staleAge
	starting := !f.published && !u.Confirmed
	if !old && !starting || time.Since(f.switchedAt) < staleRetryInterval && !starting {
		return false
	}
	f.switchedAt = time.Now()
	return len(f.sources) > 1
}
