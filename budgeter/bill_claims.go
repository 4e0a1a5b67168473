package budgeter

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// hashBytes is the length of a request hash. 16 bytes make a collision of two
// requests practically impossible.
const hashBytes = 16

// keyTimeDigits is the number of hexadecimal digits of the time in a key of
// BucketUnclaimed.
const keyTimeDigits = 16

// RequestHash returns the hash that identifies a request in claims.
func RequestHash(requestKey string) []byte {
	sum := sha256.Sum256([]byte(requestKey))
	return sum[:hashBytes]
}

// storeUnclaimed writes one row that lists the bills of a step. A caller that
// retries in another zone, or on the other side of a network partition, is
// billed there too. The claims find such duplicate bills later, so that no
// request has to wait for them.
func (v *Vault) storeUnclaimed() {
	if len(v.billedKeys) == 0 {
		return
	}
	v.storeOnDisk(BucketUnclaimed, unclaimedKey(v.oldestBilledMs, v.billedKeys[0]), &messenger.UnclaimedRow{RequestKeys: v.billedKeys})
	v.billedKeys = nil
}

// unclaimedKey returns a key that sorts by the time of the oldest bill. The
// first row of the bucket therefore gives the age of the oldest bill without a
// settled claim.
func unclaimedKey(oldestMs int64, request string) string {
	return fmt.Sprintf("%016x/%s", max(oldestMs, 0), request)
}

// UnsettledMs returns the time of the oldest bill that a row of BucketUnclaimed
// can list, in Unix milliseconds, or 0 if its key contains no valid time.
func UnsettledMs(key string) int64 {
	digits, _, _ := strings.Cut(key, "/")
	n, err := strconv.ParseInt(digits, 16, 64)
	if err != nil || len(digits) != keyTimeDigits {
		return 0
	}
	return n
}

// claimBills records the zone's claims and returns the zone that holds the
// claim of each request.
func (v *Vault) claimBills(r *messenger.ClaimBillsRequest) (proto.Message, error) {
	// A message delayed for a long time could otherwise win a claim whose first
	// winner was pruned.
	if r.SettledBeforeMs < v.settledBeforeMs[r.Zone] {
		return nil, ErrOutdated
	}
	v.settledBeforeMs[r.Zone] = r.SettledBeforeMs
	out := &messenger.ClaimBillsReply{}
	for _, h := range r.RequestHashes {
		row := &messenger.ClaimedRow{}
		key := hex.EncodeToString(h)
		known, err := v.lookup(BucketClaimed, key, row)
		if err != nil {
			return nil, err
		}
		if !known {
			row.Zone, row.ClaimedAtMs = r.Zone, v.nowMs
			v.storeOnDisk(BucketClaimed, key, row)
		}
		out.Zones = append(out.Zones, row.Zone)
	}
	return out, nil
}

// settleClaims settles the claims of several rows of BucketUnclaimed.
func (v *Vault) settleClaims(e SettleClaims) {
	for key, counting := range sortedByKey(e.Counting) {
		v.settleUnclaimedRow(key, counting)
	}
}

// settleUnclaimedRow reverses the row's bills that are claimed by other zones,
// and deletes the row.
func (v *Vault) settleUnclaimedRow(name string, counting []string) {
	row := &messenger.UnclaimedRow{}
	known, err := v.lookup(BucketUnclaimed, name, row)
	if err != nil || !known || len(counting) != len(row.RequestKeys) {
		return
	}
	for i, key := range row.RequestKeys {
		if counting[i] != v.zone && v.reverseCharge(key, counting[i]) != nil {
			return
		}
	}
	v.deleteOnDisk(BucketUnclaimed, name)
}

// reverseCharge returns the tokens of a bill to the budget, once. The row
// stays, so that a resent charge is still answered with its bill.
func (v *Vault) reverseCharge(key, counting string) error {
	c := &messenger.Charge{}
	known, err := v.lookup(BucketCharges, key, c)
	if err != nil || !known || c.ReversedForZone != "" {
		return err
	}
	c.ReversedForZone = counting
	v.storeOnDisk(BucketCharges, key, c)
	b := v.bookForUpdate(c.Workspace)
	b.charged -= rattanhoist.Tokens(c.Tokens)
	v.creditOrFreeze(b, rattanhoist.Tokens(c.Tokens), v.self.Unproved)
	return nil
}
