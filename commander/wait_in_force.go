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

// reportTTL is how long a router that does not answer counts as alive after its last report. Routers
// report every five seconds.
const reportTTL = 15 * time.Second

// progress holds the routers at which a version is in force, and those at which it is not.
type progress struct {
	inForce int
	// behind lists the live routers without the version, and silent those that neither answer nor
	// have reported within reportTTL.
	behind, silent []string
}

// waitInForce waits until each live router serves the version. It queries the routers and, for those
// that do not answer, the keepers to which they report.
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
		// A round that the timeout cuts short has less information than the one before.
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
	r := queryAll(ctx, s, loader.KindRouter, state)
	var p progress
	for _, x := range r.replies {
		if x.ConfigurationVersion >= version {
			p.inForce++
			continue
		}
		p.behind = append(p.behind, fmt.Sprintf("%s: version %d, confirmed %s ago", x.Name, x.ConfigurationVersion, showAge(x.ConfigurationAgeMs)))
	}
	if len(r.unreachable) == 0 {
		return p
	}
	reported, err := a.reportedVersions(ctx)
	if err != nil {
		// These routers may be alive.
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
		case e.AgeMs < reportTTL.Milliseconds():
			p.behind = append(p.behind, fmt.Sprintf("%s: does not answer; version %d, reported %s ago", name, e.Version, showAge(e.AgeMs)))
		default:
			p.silent = append(p.silent, fmt.Sprintf("%s: does not answer; version %d, silent for %s", name, e.Version, showAge(e.AgeMs)))
		}
	}
}

// reportedVersions returns the latest report of each router that a keeper has received, by name.
func (a *app) reportedVersions(ctx context.Context) (map[string]*messenger.InForceEntry, error) {
	r, err := queryKeeper(ctx, a, inForce)
	out := map[string]*messenger.InForceEntry{}
	for _, e := range r.GetNodes() {
		if old := out[e.Node]; old == nil || e.AgeMs < old.AgeMs {
			out[e.Node] = e
		}
	}
	return out, err
}
