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

// hashBytes is enough that two requests never share a claim by chance.
const hashBytes = 16

// timeDigits is the length of the time in a key of BucketUnclaimed.
const timeDigits = 16

// RequestHash is the name of a request in claims.
func RequestHash(requestKey string) []byte {
	sum := sha256.Sum256([]byte(requestKey))
	return sum[:hashBytes]
}

// storeUnclaimed writes one row for the bills of a step. A caller that comes
// back in another zone, or on the other side of a cut, is billed there too;
// the claims find such bills afterwards, so that no request waits for them.
func (v *Vault) storeUnclaimed() {
	if len(v.billed) == 0 {
		return
	}
	v.put(BucketUnclaimed, unclaimedKey(v.billedMs, v.billed[0]), &messenger.UnclaimedRow{RequestKeys: v.billed})
	v.billed = nil
}

// unclaimedKey sorts by the time of the oldest bill, so that the first row of
// the bucket says how old a bill without a settled claim can be.
func unclaimedKey(oldestMs int64, request string) string {
	return fmt.Sprintf("%016x/%s", max(oldestMs, 0), request)
}

// UnsettledMs returns the time of the oldest bill that the row of a key in
// BucketUnclaimed can have, in Unix milliseconds; 0 where the key does not say.
func UnsettledMs(key string) int64 {
	digits, _, _ := strings.Cut(key, "/")
	n, err := strconv.ParseInt(digits, 16, 64)
	if err != nil || len(digits) != timeDigits {
		return 0
	}
	return n
}

func (v *Vault) claimBills(r *messenger.ClaimBillsRequest) (proto.Message, error) {
	// A message that was under way for long could win a claim whose first
	// winner is pruned.
	if r.SettledBeforeMs < v.settled[r.Zone] {
		return nil, ErrOutdated
	}
	v.settled[r.Zone] = r.SettledBeforeMs
	out := &messenger.ClaimBillsReply{}
	for _, h := range r.RequestHashes {
		row := &messenger.ClaimedRow{}
		key := hex.EncodeToString(h)
		known, err := v.find(BucketClaimed, key, row)
		if err != nil {
			return nil, err
		}
		if !known {
			row.Zone, row.ClaimedAtMs = r.Zone, v.nowMs
			v.put(BucketClaimed, key, row)
		}
		out.Zones = append(out.Zones, row.Zone)
	}
	return out, nil
}

func (v *Vault) billsClaimed(e BillsClaimed) {
	for key, counting := range inOrder(e.Counting) {
		v.rowClaimed(key, counting)
	}
}

func (v *Vault) rowClaimed(name string, counting []string) {
	row := &messenger.UnclaimedRow{}
	known, err := v.find(BucketUnclaimed, name, row)
	if err != nil || !known || len(counting) != len(row.RequestKeys) {
		return
	}
	for i, key := range row.RequestKeys {
		if counting[i] != v.zone && v.reverse(key, counting[i]) != nil {
			return
		}
	}
	v.drop(BucketUnclaimed, name)
}

// reverse gives the tokens of a bill back to the budget, once. The row stays,
// so that the router's resends still find their answer.
func (v *Vault) reverse(key, counting string) error {
	c := &messenger.Charge{}
	known, err := v.find(BucketCharges, key, c)
	if err != nil || !known || c.ReversedForZone != "" {
		return err
	}
	c.ReversedForZone = counting
	v.put(BucketCharges, key, c)
	b := v.touch(c.Workspace)
	b.charged -= rattanhoist.Tokens(c.Tokens)
	v.addRights(b, rattanhoist.Tokens(c.Tokens), v.self.Unproved)
	return nil
}
