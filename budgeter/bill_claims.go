package budgeter

import (
	"crypto/sha256"
	"encoding/hex"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// hashBytes is enough that two requests never share a claim by chance.
const hashBytes = 16

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
	v.put(BucketUnclaimed, v.billed[0], &messenger.UnclaimedRow{RequestKeys: v.billed})
	v.billed = nil
}

func (v *Vault) claimBills(r *messenger.ClaimBillsRequest) (proto.Message, error) {
	out := &messenger.ClaimBillsReply{}
	for _, h := range r.RequestHashes {
		row := &messenger.ClaimedRow{}
		key := hex.EncodeToString(h)
		known, err := v.find(BucketClaimed, key, row)
		if err != nil {
			return nil, err
		}
		if !known {
			row.Zone = r.Zone
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
	v.recent.put(rowKey{BucketUnclaimed, name}, nil)
	v.remove(BucketUnclaimed, name)
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
