package shaper

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Processor measures which part of its processor a VM uses. It is safe for concurrent use.
type Processor struct {
	// Share is the part of a core that the VM has.
	share float64

	mu   sync.Mutex
	at   time.Time
	used time.Duration
	// Use is an average over loadWindow.
	use float64
}

// NewProcessor returns a meter of a VM that has a share of a core, or nil if that is 0, which means
// that nothing is measured.
func NewProcessor(share float64) *Processor {
	if share <= 0 {
		return nil
	}
	return &Processor{share: share}
}

// Observe records the processor time that the process has used in all.
func (p *Processor) Observe(now time.Time, used time.Duration) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	elapsed := now.Sub(p.at)
	if elapsed <= 0 {
		return
	}
	if !p.at.IsZero() {
		use := (used - p.used).Seconds() / (elapsed.Seconds() * p.share)
		p.use += (1 - math.Exp(-elapsed.Seconds()/loadWindow.Seconds())) * (use - p.use)
	}
	p.at, p.used = now, used
}

// Utilization returns the used part of the VM's processor.
func (p *Processor) Utilization() float64 {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.use
}

// ProcessorTime returns the processor time that this process has used, and whether it is known.
func ProcessorTime() (time.Duration, bool) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, false
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), true
}
