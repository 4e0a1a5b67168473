package treasurer

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// promise is what an outbox has told its keeper of the charges of its
// incarnation: those made before Earliest are on two disks. The keeper prunes
// bills by it and refuses charges of that time.
type promise struct {
	// EarliestMs is the time before which no charge is made any more, in Unix
	// milliseconds; it never falls.
	earliestMs int64
	// PinnedMs is the time of the oldest charge that was forgotten before two
	// disks had its bill, 0 where there is none: only the end of the
	// incarnation tells what became of it.
	pinnedMs int64
}

// keep gives a charge a time that keeps the promise. A clock that was set back
// would otherwise make charges that the keeper refuses as too old.
func (p *promise) keep(c *messenger.Charge) { c.ChargedAtMs = max(c.ChargedAtMs, p.earliestMs) }

func (p *promise) pin(e *entry) {
	if !e.gone && (p.pinnedMs == 0 || e.charge.ChargedAtMs < p.pinnedMs) {
		p.pinnedMs = e.charge.ChargedAtMs
	}
}

// NotBefore has every later charge made at ms or after, in Unix milliseconds:
// the keeper takes none that is older.
func (o *Outbox) NotBefore(ms int64) { o.earliestMs = max(o.earliestMs, ms) }

// AnsweredBefore promises that every charge of the incarnation made before the
// returned time, in Unix milliseconds, is on two disks at its keeper.
func (o *Outbox) AnsweredBefore(now time.Time) int64 {
	out := max(now.UnixMilli(), o.earliestMs)
	for _, e := range o.byKey {
		out = min(out, e.charge.ChargedAtMs)
	}
	if o.pinnedMs != 0 {
		out = min(out, o.pinnedMs)
	}
	o.NotBefore(out)
	return out
}
