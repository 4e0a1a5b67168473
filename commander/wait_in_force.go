package commander

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

const inForcePoll = 100 * time.Millisecond

// liveAge is how long a router that doesn't answer is taken for alive after
// its last report, of which it makes one every five seconds.
const liveAge = 15 * time.Second

// progress is where a version is in force.
type progress struct {
	inForce int
	// Behind lists live routers without the version; silent lists those that
	// neither answer nor have reported for long.
	behind, silent []string
}

// waitInForce waits until each live router serves the version. It asks the
// routers themselves and, for those that can't be reached from here, what
// they have reported to the keepers.
func (a *app) waitInForce(ctx context.Context, version uint64) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	var p progress
	for {
		now := a.progress(ctx, s, version)
		if len(now.behind) == 0 && now.inForce > 0 {
			return a.printProgress(now, version)
		}
		// The round that the time cuts short knows less than the one before.
		if ctx.Err() == nil || p.inForce == 0 {
			p = now
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("%w: version %d is accepted but not in force at:\n  %s", ErrNotYet, version, strings.Join(append(p.behind, p.silent...), "\n  "))
		case <-time.After(inForcePoll):
		}
	}
}

func (a *app) printProgress(p progress, version uint64) error {
	for _, r := range p.silent {
		a.warn("%s", r)
	}
	_, err := fmt.Fprintf(a.errOut, "version %d is in force at %d routers\n", version, p.inForce)
	return err
}

func (a *app) progress(ctx context.Context, s *loader.Settings, version uint64) progress {
	r := askAll(ctx, s, loader.KindRouter, state)
	var p progress
	for _, x := range r.got {
		if x.ConfigurationVersion >= version {
			p.inForce++
			continue
		}
		p.behind = append(p.behind, fmt.Sprintf("%s: version %d, confirmed %s ago", x.Name, x.ConfigurationVersion, showAge(x.ConfigurationAgeMs)))
	}
	if len(r.unreachable) == 0 {
		return p
	}
	reported, err := a.reported(ctx)
	if err != nil {
		// Nothing is known of these routers, so they may be alive.
		p.behind = append(p.behind, strings.Join(r.unreachable, ", ")+": no answer, and the keepers could not be asked")
		return p
	}
	p.addReported(r.unreachable, reported, version)
	return p
}

func (p *progress) addReported(names []string, reported map[string]*messenger.InForceEntry, version uint64) {
	for _, name := range names {
		e := reported[name]
		switch {
		case e == nil:
			p.silent = append(p.silent, name+": does not answer, and no keeper has heard of it")
		case e.Version >= version:
			p.inForce++
		case e.AgeMs < liveAge.Milliseconds():
			p.behind = append(p.behind, fmt.Sprintf("%s: does not answer; version %d, reported %s ago", name, e.Version, showAge(e.AgeMs)))
		default:
			p.silent = append(p.silent, fmt.Sprintf("%s: does not answer; version %d, silent for %s", name, e.Version, showAge(e.AgeMs)))
		}
	}
}

// reported returns the routers' reports that the keepers have, by name; the
// youngest of each.
func (a *app) reported(ctx context.Context) (map[string]*messenger.InForceEntry, error) {
	r, err := askKeeper(ctx, a, inForce)
	out := map[string]*messenger.InForceEntry{}
	for _, e := range r.GetNodes() {
		if old := out[e.Node]; old == nil || e.AgeMs < old.AgeMs {
			out[e.Node] = e
		}
	}
	return out, err
}
