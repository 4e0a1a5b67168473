package allotter

import "time"

const (
	// MinClaimInterval is the shortest interval between two claims of a router, which costs a keeper
	// four claims per second and router.
	MinClaimInterval = 250 * time.Millisecond
	// MaxClaimInterval is the longest interval, because what routers may spend without a keeper's
	// knowledge grows with it.
	MaxClaimInterval = 2 * time.Second
	// maxUnpacedRouters is the number of routers up to which claims are sent at MinClaimInterval
	// whatever the keepers' load. With more routers, the initial interval grows in proportion.
	maxUnpacedRouters = 12
	// Below lowUse and lowCommitTime the interval falls; above highUse or highCommitTime it rises.
	// Use is a part of the processor share: the rest serves elections and other calls. A router
	// gives up on a claim after several times highCommitTime.
	lowUse         = 0.25
	highUse        = 0.4
	lowCommitTime  = 50 * time.Millisecond
	highCommitTime = 150 * time.Millisecond
	// paceStep is the minimum time between two changes of the interval: several of the shortest
	// intervals, in which the load that a change causes shows.
	paceStep = time.Second
	// The interval rises faster than it falls, because an overloaded keeper delays all claims.
	paceFall = 0.75
	paceRise = 1.5
	// paceMemory is how long a pacer that is not stepped keeps its interval.
	paceMemory = 5 * time.Second
)

// PacerLoad is the load of a keeper since the previous step.
type PacerLoad struct {
	// Routers is the number of routers that send claims.
	Routers int
	// Use is the processor time used, as a part of the processor share. UseKnown is false if the
	// share is unknown; then the interval does not fall.
	Use      float64
	UseKnown bool
	// CommitTime is the mean time to commit claims, or 0 if none were committed.
	CommitTime time.Duration
}

// ClaimPacer decides the interval between two claims of a router from the load of the leader. The
// zero value starts from the interval by the number of routers. It is not safe for concurrent use.
type ClaimPacer struct {
	// factor is the interval as a multiple of the interval by the number of routers, so that the
	// interval follows when routers are added.
	factor             float64
	steppedAt, movedAt time.Time
}

// InitialClaimInterval returns the interval for a number of routers if the keepers' load is
// unknown.
func InitialClaimInterval(routers int) time.Duration {
	return min(max(MinClaimInterval*time.Duration(routers)/maxUnpacedRouters, MinClaimInterval), MaxClaimInterval)
}

// Step returns the interval to state now. It changes the interval at most once per paceStep.
func (p *ClaimPacer) Step(now time.Time, load PacerLoad) time.Duration {
	if p.factor == 0 || now.Sub(p.steppedAt) > paceMemory {
		p.factor, p.movedAt = 1, now
	}
	p.steppedAt = now
	initial := float64(InitialClaimInterval(load.Routers))
	if now.Sub(p.movedAt) >= paceStep {
		p.movedAt = now
		p.factor *= load.change()
	}
	interval := min(max(initial*p.factor, float64(MinClaimInterval)), float64(MaxClaimInterval))
	p.factor = interval / initial
	return time.Duration(interval)
}

// change returns the factor by which a load changes the interval.
func (l PacerLoad) change() float64 {
	switch {
	case l.UseKnown && l.Use > highUse || l.CommitTime > highCommitTime:
		return paceRise
	case l.UseKnown && l.Use < lowUse && l.CommitTime < lowCommitTime:
		return paceFall
	}
	return 1
}
