package budgeter

import (
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// chargesMost bounds the charges of one request.
const chargesMost = 1024

func requestKey(c *messenger.Charge) rattanhoist.RequestKey {
	return rattanhoist.NewRequestKey(c.Workspace, c.RequestId)
}

func (v *Vault) bill(r *messenger.ChargeRequest) (proto.Message, error) {
	if len(r.Charges) > chargesMost {
		return nil, ErrAmount
	}
	if v.unheard(r.Router, r.Incarnation) {
		return nil, ErrRepairing
	}
	out := &messenger.ChargeReply{}
	for _, c := range r.Charges {
		result, err := v.charge(r.Router, r.Incarnation, c)
		if err != nil {
			return nil, err
		}
		out.Results = append(out.Results, result)
	}
	return out, nil
}

// charge bills one request once. The first bill answers every later one, and
// says whether the asking incarnation paid it.
func (v *Vault) charge(router string, incarnation uint64, c *messenger.Charge) (*messenger.ChargeResult, error) {
	old, err := v.Charge(requestKey(c))
	if err != nil {
		return nil, err
	}
	if old != nil {
		return billed(old, router, incarnation), nil
	}
	if v.fencedOut(router, incarnation) {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_FENCED}, nil
	}
	if v.tooOld(c) {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_TOO_OLD}, nil
	}
	l := v.book(c.Workspace).leases[leaseKey{router, incarnation}]
	if l == nil || c.Tokens < 0 || outstanding(l) < rattanhoist.Tokens(c.Tokens) {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_NOT_LEASED}, nil
	}
	return billed(v.take(l, c), router, incarnation), nil
}

func billed(c *messenger.Charge, router string, incarnation uint64) *messenger.ChargeResult {
	out := &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_BILLED, BilledTokens: c.Tokens}
	if c.Router == router && c.Incarnation == incarnation {
		out.SpentTokens = c.Tokens
	}
	return out
}

// take turns leased rights into the charge and returns its row.
func (v *Vault) take(l *messenger.LeaseRow, c *messenger.Charge) *messenger.Charge {
	b := v.touch(c.Workspace)
	b.leased -= rattanhoist.Tokens(c.Tokens)
	b.charged += rattanhoist.Tokens(c.Tokens)
	l.ChargedTokens += c.Tokens
	v.storeLease(l)
	row := proto.CloneOf(c)
	row.Router, row.Incarnation = l.Router, l.Incarnation
	v.put(BucketCharges, requestKey(c).String(), row)
	if len(v.billed) == 0 || c.ChargedAtMs < v.billedMs {
		v.billedMs = c.ChargedAtMs
	}
	v.billed = append(v.billed, requestKey(c).String())
	return row
}

// takeWitnessed bills a charge whose answer was completed already: it counts
// even where its lease is unknown, and then stands as a debt of the book
// until the mint that it was spent from is known again.
func (v *Vault) takeWitnessed(c *messenger.Charge) error {
	old, err := v.Charge(requestKey(c))
	// A charge that is too old was billed before, and its bill pruned.
	if old != nil || err != nil || v.tooOld(c) {
		return err
	}
	b := v.touch(c.Workspace)
	l := v.leaseOf(b, c.Router, c.Incarnation)
	if missing := c.Tokens - int64(outstanding(l)); missing > 0 {
		l.GrantedTokens += missing
		b.leased += rattanhoist.Tokens(missing)
		b.frozen -= rattanhoist.Tokens(missing)
	}
	v.take(l, c)
	return nil
}

func witnessKey(c *messenger.Charge) string {
	return c.Zone + "/" + incarnationKey(c.Router, c.Incarnation) + "/" + requestKey(c).String()
}

func (v *Vault) witness(r *messenger.ChargeRequest) (proto.Message, error) {
	if len(r.Charges) > chargesMost {
		return nil, ErrAmount
	}
	out := &messenger.ChargeReply{}
	for _, c := range r.Charges {
		out.Results = append(out.Results, v.witnessOne(r, c))
	}
	return out, nil
}

func (v *Vault) witnessOne(r *messenger.ChargeRequest, c *messenger.Charge) *messenger.ChargeResult {
	row := proto.CloneOf(c)
	row.Router, row.Incarnation = r.Router, r.Incarnation
	if r.Zone != "" {
		row.Zone = r.Zone
	}
	if c.Tokens < 0 || row.Zone == v.zone {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_NOT_LEASED}
	}
	if old := v.witnessed[witnessKey(row)]; old != nil {
		return billed(old, r.Router, r.Incarnation)
	}
	if r.Incarnation <= v.refused[row.Zone+"/"+r.Router] {
		return &messenger.ChargeResult{State: messenger.ChargeState_CHARGE_STATE_FENCED}
	}
	v.witnessed[witnessKey(row)] = row
	v.store(BucketWitnessed, witnessKey(row), row)
	return billed(row, r.Router, r.Incarnation)
}

func (v *Vault) fenceWitness(r *messenger.FenceWitnessRequest) (proto.Message, error) {
	if v.self.Unproved {
		return nil, ErrRepairing
	}
	key := r.Zone + "/" + r.Router
	if r.Incarnation > v.refused[key] {
		v.refused[key] = r.Incarnation
		v.store(BucketRefused, key, r)
	}
	out := &messenger.FenceWitnessReply{IncompleteBefore: v.self.IncompleteBefore}
	for _, c := range inOrder(v.witnessed) {
		if c.Zone == r.Zone && c.Router == r.Router && c.Incarnation <= r.Incarnation {
			out.Charges = append(out.Charges, c)
		}
	}
	return out, nil
}

// WitnessedCount returns how many charges wait to be handed over.
func (v *Vault) WitnessedCount() int { return len(v.witnessed) }

// Witnessed returns up to most charges that wait to be handed to a zone.
func (v *Vault) Witnessed(zone string, most int) []*messenger.Charge {
	var out []*messenger.Charge
	for _, c := range inOrder(v.witnessed) {
		if c.Zone == zone && len(out) < most {
			out = append(out, c)
		}
	}
	return out
}

func (v *Vault) handOver(r *messenger.HandOverRequest) (proto.Message, error) {
	if v.self.Unproved {
		return nil, ErrRepairing
	}
	return &messenger.HandOverReply{}, v.billWitnessed(r.Charges)
}

func (v *Vault) billWitnessed(charges []*messenger.Charge) error {
	for _, c := range charges {
		if err := v.takeWitnessed(c); err != nil {
			return err
		}
	}
	return nil
}

func (v *Vault) handedOver(e HandedOver) {
	for _, c := range e.Charges {
		delete(v.witnessed, witnessKey(c))
		v.remove(BucketWitnessed, witnessKey(c))
	}
}
