package treasurer

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// watermark tracks the time before which every charge of the incarnation is
// on two disks. The router reports it to the keeper, which prunes older bills
// and refuses older charges.
type watermark struct {
	// earliestMs is the lowest time that a new charge may have, in Unix
	// milliseconds. It never decreases.
	earliestMs int64
	// pinnedMs is the time of the oldest charge that was removed before two
	// disks had its bill, or 0 if there is none. The watermark stays there
	// until the incarnation ends, because only then is the fate of the charge
	// known.
	pinnedMs int64
}

// clampTime raises a charge's time to the watermark. After the clock is set
// back, the keeper would otherwise refuse new charges as too old.
func (p *watermark) clampTime(c *messenger.Charge) { c.ChargedAtMs = max(c.ChargedAtMs, p.earliestMs) }

// pin keeps the watermark at or below the time of a charge that is removed
// before two disks have its bill.
func (p *watermark) pin(e *entry) {
	if !e.removed && (p.pinnedMs == 0 || e.charge.ChargedAtMs < p.pinnedMs) {
		p.pinnedMs = e.charge.ChargedAtMs
	}
}

// SetEarliestCharge sets the lowest time of later charges, in Unix
// milliseconds. The keeper refuses older ones.
func (o *Outbox) SetEarliestCharge(ms int64) { o.earliestMs = max(o.earliestMs, ms) }

// AnsweredBefore returns the watermark in Unix milliseconds: every charge of
// the incarnation made before it is on two disks. Later charges get this time
// or a later one.
func (o *Outbox) AnsweredBefore(now time.Time) int64 {
	out := max(now.UnixMilli(), o.earliestMs)
	for _, e := range o.byKey {
		out = min(out, e.charge.ChargedAtMs)
	}
	if o.pinnedMs != 0 {
		out = min(out, o.pinnedMs)
	}
	o.SetEarliestCharge(out)
	return out
}
