package budgeter

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// MaxPrunedPerStep bounds the number of bills, and of claims, that one step
// examines.
const MaxPrunedPerStep = 256

// RouterReport is a router's report about its own charges; see
// messenger.RecallReply.
type RouterReport struct {
	Incarnation      uint64
	AnsweredBeforeMs int64
}

// Prune advances the time of the oldest charge that the vault accepts, and
// deletes bills and claims that can't be requested any more.
//
// A bill may be deleted one retention period after charges of its time can no
// longer arrive. They can't arrive once every unreleased incarnation has
// reported that its charges of that time are on two disks; a repeated charge is
// then refused as too old. So a request is not billed again by a witness that
// hands over its charges after a long network partition, by a message that was
// delayed for long, or by a restored router.
type Prune struct {
	// Retention is longer than the maximum time between two runs of one request.
	Retention time.Duration
	// Reports maps routers of the zone to their reports.
	Reports map[string]RouterReport
	// OldestChargeMs is the result of Vault.OldestChargeMs before UnsettledMs
	// was read. Bills made later are not older.
	OldestChargeMs int64
	// UnsettledMs is the time of the oldest bill whose claim is not settled, or
	// math.MaxInt64; see the function UnsettledMs.
	UnsettledMs int64
	// Charges and Claims are keys of rows that may be old enough to delete.
	Charges, Claims []string
	// Zones are all availability zones of the deployment.
	Zones []string
}

func (Prune) isEvent() {}

// OldestChargeMs returns the time before which no new charge is accepted, in
// Unix milliseconds.
func (v *Vault) OldestChargeMs() int64 { return v.self.OldestChargeMs }

// Pruned returns the number of bills and claims deleted by pruning since the
// start.
func (v *Vault) Pruned() (charges, claims int64) { return v.prunedCharges, v.prunedClaims }

// tooOld reports whether the bill of a charge may have been pruned.
func (v *Vault) tooOld(c *messenger.Charge) bool { return c.ChargedAtMs < v.self.OldestChargeMs }

// prune handles the event Prune. It does nothing while a restore is unverified:
// a charge that only a router has may be older than the oldest charge according
// to the copy.
func (v *Vault) prune(e Prune) {
	if v.self.Unproved {
		return
	}
	v.advanceOldestCharge(e.Reports)
	limit := min(e.OldestChargeMs, v.self.OldestChargeMs, e.UnsettledMs) - e.Retention.Milliseconds()
	for _, key := range e.Charges[:min(len(e.Charges), MaxPrunedPerStep)] {
		v.pruneCharge(key, limit)
	}
	limit = v.settledEverywhere(e.Zones) - e.Retention.Milliseconds()
	for _, key := range e.Claims[:min(len(e.Claims), MaxPrunedPerStep)] {
		v.pruneClaim(key, limit)
	}
}

// advanceOldestCharge advances the time of the oldest accepted charge. It does
// nothing while an incarnation may still send older charges, itself or through
// the witness: one that is fenced and not released, or whose report is missing.
func (v *Vault) advanceOldestCharge(heard map[string]RouterReport) {
	oldest := v.nowMs
	for name, r := range v.routers {
		if r.Released >= r.Incarnation {
			continue
		}
		h := heard[name]
		if r.Released < r.Fenced || h.Incarnation != r.Incarnation {
			return
		}
		oldest = min(oldest, h.AnsweredBeforeMs)
	}
	if oldest > v.self.OldestChargeMs {
		v.self.OldestChargeMs = oldest
		v.storeSelf()
	}
}

// pruneCharge deletes a bill that is older than limit and adds it to the sum of
// its day.
func (v *Vault) pruneCharge(key string, limit int64) {
	c := &messenger.Charge{}
	known, err := v.lookup(BucketCharges, key, c)
	if err != nil || !known || c.ChargedAtMs >= limit {
		return
	}
	day := time.UnixMilli(c.ChargedAtMs).UTC().Format(time.DateOnly)
	sum := &messenger.PrunedRow{}
	if _, err := v.lookup(BucketPruned, c.Workspace+"/"+day, sum); err != nil {
		return
	}
	sum.Workspace, sum.Day, sum.Zone = c.Workspace, day, v.zone
	if c.ReversedForZone == "" {
		sum.Count++
		sum.Tokens += c.Tokens
	} else {
		sum.ReversedCount++
		sum.ReversedTokens += c.Tokens
	}
	v.storeOnDisk(BucketPruned, c.Workspace+"/"+day, sum)
	v.deleteOnDisk(BucketCharges, key)
	v.prunedCharges++
}

// settledEverywhere returns the time before which every zone has settled the
// claims of its bills. A claim must outlive every bill that may request it.
func (v *Vault) settledEverywhere(zones []string) int64 {
	oldest := v.nowMs
	for _, z := range zones {
		oldest = min(oldest, v.settledBeforeMs[z])
	}
	return oldest
}

// pruneClaim deletes a claim that is older than limit. A claim without a time
// gets the current one.
func (v *Vault) pruneClaim(key string, limit int64) {
	row := &messenger.ClaimedRow{}
	known, err := v.lookup(BucketClaimed, key, row)
	switch {
	case err != nil || !known:
	case row.ClaimedAtMs == 0:
		row.ClaimedAtMs = v.nowMs
		v.storeOnDisk(BucketClaimed, key, row)
	case row.ClaimedAtMs < limit:
		v.deleteOnDisk(BucketClaimed, key)
		v.prunedClaims++
	}
}
