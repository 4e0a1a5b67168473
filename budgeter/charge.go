package budgeter

import (
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// maxChargesPerRequest is the maximum number of charges in one request.
const maxChargesPerRequest = 1024

// requestKey returns the key that identifies a charge's request.
func requestKey(c *messenger.Charge) rattanhoist.RequestKey {
	return rattanhoist.NewRequestKey(c.Workspace, c.RequestId)
}

// bill charges every request of a message and returns their results in order.
func (v *Vault) bill(r *messenger.ChargeRequest) (proto.Message, error) {
	if len(r.Charges) > maxChargesPerRequest {
		return nil, ErrAmount
	}
	if v.awaitsHoldings(r.Router, r.Incarnation) {
		return nil, ErrRepairing
	}
	out := &messenger.ChargeReply{}
	for _, c := range r.Charges {
		result, err := v.chargeOnce(r.Router, r.Incarnation, c)
		if err != nil {
			return nil, err
		}
		out.Results = append(out.Results, result)
	}
	return out, nil
}

// chargeOnce bills a request at most once. Later charges of the same request
// get the first bill as the answer, which says whether the given incarnation
// paid it.
func (v *Vault) chargeOnce(router string, incarnation uint64, c *messenger.Charge) (*messenger.ChargeResult, error) {
	old, err := v.Charge(requestKey(c))
	if err != nil {
		return nil, err
	}
	if old != nil {
		return billedResult(old, router, incarnation), nil
	}
	if v.isFenced(router, incarnation) {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_FENCED}, nil
	}
	if v.tooOld(c) {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_TOO_OLD}, nil
	}
	l := v.book(c.Workspace).leases[leaseKey{router, incarnation}]
	if l == nil || c.Tokens < 0 || outstanding(l) < rattanhoist.Tokens(c.Tokens) {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_NOT_LEASED}, nil
	}
	return billedResult(v.chargeLease(l, c), router, incarnation), nil
}

// billedResult returns the answer for a billed charge. The tokens count as
// spent only for the incarnation that was billed.
func billedResult(c *messenger.Charge, router string, incarnation uint64) *messenger.ChargeResult {
	out := &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_BILLED, BilledTokens: c.Tokens}
	if c.Router == router && c.Incarnation == incarnation {
		out.SpentTokens = c.Tokens
	}
	return out
}

// chargeLease turns leased rights into a charge and returns the charge's row.
func (v *Vault) chargeLease(l *messenger.LeaseRow, c *messenger.Charge) *messenger.Charge {
	b := v.bookForUpdate(c.Workspace)
	b.leased -= rattanhoist.Tokens(c.Tokens)
	b.charged += rattanhoist.Tokens(c.Tokens)
	l.ChargedTokens += c.Tokens
	v.storeLease(l)
	row := proto.CloneOf(c)
	row.Router, row.Incarnation = l.Router, l.Incarnation
	v.storeOnDisk(BucketCharges, requestKey(c).String(), row)
	if len(v.billedKeys) == 0 || c.ChargedAtMs < v.oldestBilledMs {
		v.oldestBilledMs = c.ChargedAtMs
	}
	v.billedKeys = append(v.billedKeys, requestKey(c).String())
	return row
}

// chargeWitnessed bills a charge whose answer is already complete. The charge
// counts even if its lease is unknown. The missing rights are then a debt of
// the book (negative frozen) until the mint that they came from is known again.
func (v *Vault) chargeWitnessed(c *messenger.Charge) error {
	old, err := v.Charge(requestKey(c))
	// A charge that is too old was billed before and its bill was pruned.
	if old != nil || err != nil || v.tooOld(c) {
		return err
	}
	b := v.bookForUpdate(c.Workspace)
	l := v.ensureLease(b, c.Router, c.Incarnation)
	if missing := c.Tokens - int64(outstanding(l)); missing > 0 {
		l.GrantedTokens += missing
		b.leased += rattanhoist.Tokens(missing)
		b.frozen -= rattanhoist.Tokens(missing)
	}
	v.chargeLease(l, c)
	return nil
}

// witnessKey returns the key of a charge in BucketWitnessed.
func witnessKey(c *messenger.Charge) string {
	return c.Zone + "/" + incarnationKey(c.Router, c.Incarnation) + "/" + requestKey(c).String()
}

// storeWitnessed stores the charges of a router of another zone and returns
// their results in order.
func (v *Vault) storeWitnessed(r *messenger.ChargeRequest) (proto.Message, error) {
	if len(r.Charges) > maxChargesPerRequest {
		return nil, ErrAmount
	}
	out := &messenger.ChargeReply{}
	for _, c := range r.Charges {
		out.Results = append(out.Results, v.storeWitnessedCharge(r, c))
	}
	return out, nil
}

// storeWitnessedCharge stores one charge once, unless the router's incarnation
// is fenced.
func (v *Vault) storeWitnessedCharge(r *messenger.ChargeRequest, c *messenger.Charge) *messenger.ChargeResult {
	row := proto.CloneOf(c)
	row.Router, row.Incarnation = r.Router, r.Incarnation
	if r.Zone != "" {
		row.Zone = r.Zone
	}
	if c.Tokens < 0 || row.Zone == v.zone {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_NOT_LEASED}
	}
	if old := v.witnessed[witnessKey(row)]; old != nil {
		return billedResult(old, r.Router, r.Incarnation)
	}
	if r.Incarnation <= v.witnessFences[row.Zone+"/"+r.Router] {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_FENCED}
	}
	v.witnessed[witnessKey(row)] = row
	v.storeResident(BucketWitnessed, witnessKey(row), row)
	return billedResult(row, r.Router, r.Incarnation)
}

// fenceWitness refuses further charges of a router's incarnations and returns
// the stored ones.
func (v *Vault) fenceWitness(r *messenger.FenceWitnessRequest) (proto.Message, error) {
	if v.self.Unproved {
		return nil, ErrRepairing
	}
	key := r.Zone + "/" + r.Router
	if r.Incarnation > v.witnessFences[key] {
		v.witnessFences[key] = r.Incarnation
		v.storeResident(BucketRefused, key, r)
	}
	out := &messenger.FenceWitnessReply{IncompleteBefore: v.self.IncompleteBefore}
	for _, c := range sortedByKey(v.witnessed) {
		if c.Zone == r.Zone && c.Router == r.Router && c.Incarnation <= r.Incarnation {
			out.Charges = append(out.Charges, c)
		}
	}
	return out, nil
}

// WitnessedCount returns the number of stored charges that are not handed over
// yet.
func (v *Vault) WitnessedCount() int { return len(v.witnessed) }

// WitnessedCharges returns up to most stored charges that are to be handed over
// to a zone.
func (v *Vault) WitnessedCharges(zone string, most int) []*messenger.Charge {
	var out []*messenger.Charge
	for _, c := range sortedByKey(v.witnessed) {
		if c.Zone == zone && len(out) < most {
			out = append(out, c)
		}
	}
	return out
}

// handOver bills charges that another zone's vault has stored as the witness.
func (v *Vault) handOver(r *messenger.HandOverRequest) (proto.Message, error) {
	if v.self.Unproved {
		return nil, ErrRepairing
	}
	return &messenger.HandOverReply{}, v.billWitnessed(r.Charges)
}

// billWitnessed bills stored charges until the first error.
func (v *Vault) billWitnessed(charges []*messenger.Charge) error {
	for _, c := range charges {
		if err := v.chargeWitnessed(c); err != nil {
			return err
		}
	}
	return nil
}

// dropWitnessed deletes stored charges after their own zone has billed them.
func (v *Vault) dropWitnessed(e DropWitnessed) {
	for _, c := range e.Charges {
		delete(v.witnessed, witnessKey(c))
		v.deleteResident(BucketWitnessed, witnessKey(c))
	}
}
