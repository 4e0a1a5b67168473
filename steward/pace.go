package steward

import (
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/shaper"
)

const (
	// paceWindow is the time over which this keeper's load is measured. It is one step of the pacer.
	paceWindow = time.Second
	// maxPaceWindow is the longest time of a measurement. The load of an earlier time, when this
	// keeper may not have led, says nothing about claims.
	maxPaceWindow = 5 * time.Second
)

// claimPace measures this keeper's load while it leads, and states the interval between the claims
// of routers.
type claimPace struct {
	// Share is the part of a core that the process may use, or 0 if unknown.
	share float64
	// ProcessorTime returns the processor time that the process has used, or false if it is unknown.
	processorTime func() (time.Duration, bool)

	mu    sync.Mutex
	pacer allotter.ClaimPacer
	// Term is the term in which this keeper last led.
	term uint64
	// BeganAt is the start of the current measurement, and usedBefore the processor time then.
	beganAt     time.Time
	usedBefore  time.Duration
	commits     int
	commitTotal time.Duration
	// Load is the last complete measurement.
	load     allotter.PacerLoad
	interval time.Duration
}

func newClaimPace(share float64) *claimPace {
	return &claimPace{share: share, processorTime: shaper.ProcessorTime}
}

// recordCommit records how long a log entry of claims took.
func (c *claimPace) recordCommit(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits++
	c.commitTotal += d
}

// step returns the interval to state now, as the leader of a term with a number of routers.
func (c *claimPace) step(now time.Time, term uint64, routers int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		c.pacer, c.term = allotter.ClaimPacer{}, term
		c.load = allotter.PacerLoad{}
		c.beginMeasurement(now)
	}
	c.measure(now)
	c.load.Routers = routers
	c.interval = c.pacer.Step(now, c.load)
	return c.interval
}

// measure completes the current measurement once it has lasted for paceWindow.
func (c *claimPace) measure(now time.Time) {
	elapsed := now.Sub(c.beganAt)
	if elapsed < paceWindow {
		return
	}
	c.load = allotter.PacerLoad{}
	if used, known := c.processorTime(); known && c.share > 0 && elapsed <= maxPaceWindow {
		c.load.Use, c.load.UseKnown = (used-c.usedBefore).Seconds()/elapsed.Seconds()/c.share, true
	}
	if c.commits > 0 && elapsed <= maxPaceWindow {
		c.load.CommitTime = c.commitTotal / time.Duration(c.commits)
	}
	c.beginMeasurement(now)
}

func (c *claimPace) beginMeasurement(now time.Time) {
	c.beganAt, c.commits, c.commitTotal = now, 0, 0
	c.usedBefore, _ = c.processorTime()
}

// stated returns the interval stated last and the processor use of the last measurement, or zeros.
func (c *claimPace) stated() (interval time.Duration, use float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interval, c.load.Use
}
