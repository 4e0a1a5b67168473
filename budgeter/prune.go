package budgeter

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// PruneMost bounds the bills, and the claims, that one step looks at.
const PruneMost = 256

// Heard is what a router said of its own charges; see messenger.RecallReply.
type Heard struct {
	Incarnation      uint64
	AnsweredBeforeMs int64
}

// Prune moves the oldest charge that the vault takes forward, and deletes
// bills and claims that nobody can ask for any more.
//
// A bill may go a retention after charges of its time can't arrive: every
// incarnation that is not released has said that its charges of that time are
// on two disks, and whoever repeats one is told that it is too old. So neither
// a witness that hands over after a long cut, nor a message that was under way
// for long, nor a restored router bills a request again.
type Prune struct {
	// Retention is longer than two runs of one request can be apart.
	Retention time.Duration
	// Heard maps routers of the zone to what they said.
	Heard map[string]Heard
	// OldestChargeMs is what Vault.OldestChargeMs returned before UnsettledMs
	// was read: later bills are not older.
	OldestChargeMs int64
	// UnsettledMs is the time of the oldest bill whose claim is not settled, or
	// math.MaxInt64; see the function UnsettledMs.
	UnsettledMs int64
	// Charges and Claims are keys of rows that may be old enough.
	Charges, Claims []string
	// Zones are all availability zones of the deployment.
	Zones []string
}

func (Prune) isEvent() {}

// OldestChargeMs returns the time before which no new charge is taken, in Unix
// milliseconds.
func (v *Vault) OldestChargeMs() int64 { return v.self.OldestChargeMs }

// Pruned returns how many bills and claims were pruned since the start.
func (v *Vault) Pruned() (charges, claims int64) { return v.prunedCharges, v.prunedClaims }

// tooOld reports whether the bill of a charge may have been pruned.
func (v *Vault) tooOld(c *messenger.Charge) bool { return c.ChargedAtMs < v.self.OldestChargeMs }

// prune does nothing after a restore until it is proved what is missing: a
// charge that only a router has yet may be older than the copy says.
func (v *Vault) prune(e Prune) {
	if v.self.Unproved {
		return
	}
	v.advance(e.Heard)
	limit := min(e.OldestChargeMs, v.self.OldestChargeMs, e.UnsettledMs) - e.Retention.Milliseconds()
	for _, key := range e.Charges[:min(len(e.Charges), PruneMost)] {
		v.pruneCharge(key, limit)
	}
	limit = v.settledEverywhere(e.Zones) - e.Retention.Milliseconds()
	for _, key := range e.Claims[:min(len(e.Claims), PruneMost)] {
		v.pruneClaim(key, limit)
	}
}

// advance waits for every incarnation that may still bring a charge, itself or
// by the witness: one that is not released and has not said otherwise.
func (v *Vault) advance(heard map[string]Heard) {
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

// pruneCharge moves a bill into the sum of its day.
func (v *Vault) pruneCharge(key string, limit int64) {
	c := &messenger.Charge{}
	known, err := v.find(BucketCharges, key, c)
	if err != nil || !known || c.ChargedAtMs >= limit {
		return
	}
	day := time.UnixMilli(c.ChargedAtMs).UTC().Format(time.DateOnly)
	sum := &messenger.PrunedRow{}
	if _, err := v.find(BucketPruned, c.Workspace+"/"+day, sum); err != nil {
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
	v.put(BucketPruned, c.Workspace+"/"+day, sum)
	v.drop(BucketCharges, key)
	v.prunedCharges++
}

// settledEverywhere returns the time before which no zone has a bill without
// a settled claim: a claim must outlive every bill that may ask for it.
func (v *Vault) settledEverywhere(zones []string) int64 {
	oldest := v.nowMs
	for _, z := range zones {
		oldest = min(oldest, v.settled[z])
	}
	return oldest
}

func (v *Vault) pruneClaim(key string, limit int64) {
	row := &messenger.ClaimedRow{}
	known, err := v.find(BucketClaimed, key, row)
	switch {
	case err != nil || !known:
	case row.ClaimedAtMs == 0:
		row.ClaimedAtMs = v.nowMs
		v.put(BucketClaimed, key, row)
	case row.ClaimedAtMs < limit:
		v.drop(BucketClaimed, key)
		v.prunedClaims++
	}
}
