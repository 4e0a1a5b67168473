package measurer

import (
	"fmt"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/treasurer"
)

// accountFake is one workspace at one router: the shipping core with the
// requests that wait for it.
type accountFake struct {
	*treasurer.Account
	waiting []*waitingRequest
	wanted  rattanhoist.Tokens
	giveUp  map[*waitingRequest]time.Time
	poked   bool
}

// routerFake is the shell of one router's spending cores.
type routerFake struct {
	keeper      *keeperFake
	number      int
	name        string
	incarnation uint64
	alive       bool
	policy      treasurer.Policy
	accounts    [budgetWorkspaces]*accountFake
	outbox      *treasurer.Outbox
	// Held maps requests that are billed to their accounts.
	held map[rattanhoist.RequestKey]heldCharge
}

type heldCharge struct {
	account *accountFake
	tokens  rattanhoist.Tokens
}

func newRouterFake(k *keeperFake, number int) *routerFake {
	r := &routerFake{keeper: k, number: number, name: fmt.Sprintf("%s-router-%d", budgetZoneName(k.number), number), policy: treasurer.DefaultPolicy()}
	r.start()
	return r
}

// start begins a new incarnation that holds nothing.
func (r *routerFake) start() {
	r.incarnation++
	r.alive = true
	r.outbox = treasurer.NewOutbox(&r.policy)
	r.held = map[rattanhoist.RequestKey]heldCharge{}
	r.accounts = [budgetWorkspaces]*accountFake{}
	r.register()
	began := r.incarnation
	r.clock().every(r.policy.TickInterval, func() bool {
		if !r.alive || r.incarnation != began {
			return false
		}
		r.tick()
		return true
	})
}

func (r *routerFake) clock() *virtualClock { return r.keeper.fleet.clock }

// register has the keeper fence earlier incarnations, and what they held
// return, as the keeper's shell does once the witness has fenced them too.
func (r *routerFake) register() {
	q := &messenger.RegisterRequest{Router: r.name, Incarnation: r.incarnation, Zone: budgetZoneName(r.keeper.number)}
	if _, err := r.keeper.step(budgeter.Register{Request: q}); err != nil {
		return
	}
	_, _ = r.keeper.step(budgeter.Release{Router: r.name, Incarnation: r.incarnation - 1, Witness: &messenger.FenceWitnessReply{}})
}

func (r *routerFake) account(w int) *accountFake {
	if r.accounts[w] == nil {
		a := treasurer.NewAccount(workspaceName(w), &r.policy, r.clock().now, treasurer.Totals{})
		r.accounts[w] = &accountFake{Account: a, giveUp: map[*waitingRequest]time.Time{}}
	}
	return r.accounts[w]
}

func (r *routerFake) tick() {
	for _, a := range r.accounts {
		if a != nil {
			a.poked = false
			r.step(a, treasurer.Tick{})
		}
	}
	r.send(r.outbox.Tick(r.clock().now))
}

// reserve is the shell's Reserve, in virtual time.
func (r *routerFake) reserve(c *running, decided func(bool)) {
	a := r.account(c.workspace)
	if a.Slice().Reserve(c.worst) {
		if a.BelowLowMark() && !a.poked {
			a.poked = true
			r.step(a, treasurer.Tick{})
		}
		decided(true)
		return
	}
	w := &waitingRequest{call: c, decided: decided, tries: c.tries}
	a.giveUp[w] = r.clock().now.Add(min(r.policy.SettleWait, requestDeadline/2))
	a.wanted += c.worst
	a.waiting = append(a.waiting, w)
	r.look(a, w)
}

// look lets a waiting request try again and reports whether it still waits.
func (r *routerFake) look(a *accountFake, w *waitingRequest) {
	if w.over() {
		r.end(a, w)
		return
	}
	if a.Slice().Reserve(w.call.worst) {
		r.end(a, w)
		w.decided(true)
		return
	}
	need := treasurer.Need{Tokens: w.call.worst, Waiting: a.wanted, Deadline: a.giveUp[w]}
	until, refused := r.perform(a, a.Step(r.clock().now, need))
	if refused {
		r.end(a, w)
		w.decided(false)
		return
	}
	w.timer++
	timer := w.timer
	r.clock().at(until, func() {
		if _, waits := a.giveUp[w]; waits && r.alive && w.timer == timer {
			r.look(a, w)
		}
	})
}

func (r *routerFake) end(a *accountFake, w *waitingRequest) {
	w.done = true
	if _, waits := a.giveUp[w]; !waits {
		return
	}
	delete(a.giveUp, w)
	a.wanted -= w.call.worst
	for i, x := range a.waiting {
		if x == w {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return
		}
	}
}

func (r *routerFake) wake(a *accountFake) {
	for _, w := range a.waiting {
		if _, waits := a.giveUp[w]; waits {
			r.look(a, w)
		}
	}
}

func (r *routerFake) step(a *accountFake, e treasurer.Event) {
	r.perform(a, a.Step(r.clock().now, e))
	if _, tick := e.(treasurer.Tick); !tick {
		r.wake(a)
	}
}

func (r *routerFake) perform(a *accountFake, actions []treasurer.Action) (until time.Time, refused bool) {
	for _, x := range actions {
		switch x := x.(type) {
		case treasurer.SendLease:
			r.sendLease(a, x)
		case treasurer.SendReturn:
			r.sendReturn(a, x)
		case treasurer.Wait:
			until = x.Until
		case treasurer.Refuse:
			refused = true
		}
	}
	return until, refused
}

// later runs f after a time if the router is still the same incarnation.
func (r *routerFake) later(d time.Duration, f func()) {
	i := r.incarnation
	r.clock().after(d, func() {
		if r.alive && r.incarnation == i {
			f()
		}
	})
}

func (r *routerFake) sendLease(a *accountFake, x treasurer.SendLease) {
	q := &messenger.LeaseRequest{
		Workspace: a.Workspace(), Router: r.name, Incarnation: r.incarnation,
		Sequence: x.Sequence, WantTokens: int64(x.Want), DemandTokensPerSecond: x.Demand,
	}
	r.keeper.fleet.traffic.control(q)
	r.later(hopWithin, func() {
		if r.keeper.down {
			r.later(r.policy.CallTimeout, func() { r.step(a, treasurer.CallFailed{Sequence: x.Sequence}) })
			return
		}
		reply, took, err := r.keeper.lease(q, r.number)
		r.later(took+hopWithin, func() {
			if err != nil {
				r.step(a, treasurer.CallFailed{Sequence: x.Sequence})
				return
			}
			r.keeper.fleet.traffic.control(reply)
			r.step(a, treasurer.Leased{Sequence: x.Sequence, Reply: reply})
		})
	})
}

func (r *routerFake) sendReturn(a *accountFake, x treasurer.SendReturn) {
	r.later(hopWithin, func() { r.carryOutReturn(a, x) })
}

func (r *routerFake) carryOutReturn(a *accountFake, x treasurer.SendReturn) {
	q := &messenger.ReturnRequest{
		Workspace: a.Workspace(), Router: r.name, Incarnation: r.incarnation, Sequence: x.Sequence, Tokens: int64(x.Tokens),
	}
	r.keeper.fleet.traffic.control(q)
	if r.keeper.down {
		r.later(r.policy.CallTimeout, func() { r.step(a, treasurer.CallFailed{Sequence: x.Sequence}) })
		return
	}
	if _, err := r.keeper.step(budgeter.ReturnRights{Request: q}); err != nil {
		r.later(hopWithin, func() { r.step(a, treasurer.CallFailed{Sequence: x.Sequence}) })
		return
	}
	r.later(hopWithin, func() { r.step(a, treasurer.Returned{Sequence: x.Sequence}) })
}

// recalled gives rights back at once: the keeper waits for the return.
func (r *routerFake) recalled(workspace string, n rattanhoist.Tokens) {
	a := r.accounts[r.keeper.fleet.index[workspace]]
	if a == nil {
		return
	}
	for _, x := range a.Step(r.clock().now, treasurer.Recall{Tokens: n}) {
		if x, ok := x.(treasurer.SendReturn); ok {
			r.carryOutReturn(a, x)
		}
	}
}

// settle bills a request that has run.
func (r *routerFake) settle(c *running) {
	a := r.account(c.workspace)
	charge := &messenger.Charge{
		Workspace: a.Workspace(), RequestId: c.id, Tokens: int64(c.cost), Zone: budgetZoneName(r.keeper.number),
		ChargedAtMs: r.clock().now.UnixMilli(),
	}
	sends, ok := r.outbox.Add(r.clock().now, charge)
	if !ok {
		return
	}
	a.Slice().Settle(c.worst-c.cost, 0)
	r.held[rattanhoist.NewRequestKey(a.Workspace(), c.id)] = heldCharge{account: a, tokens: c.cost}
	r.send(sends)
	r.wake(a)
}

func (r *routerFake) send(sends []treasurer.Send) {
	for _, s := range sends {
		r.later(hopWithin, func() { r.carryOutCharges(s) })
	}
}

func (r *routerFake) carryOutCharges(s treasurer.Send) {
	q := &messenger.ChargeRequest{Router: r.name, Incarnation: r.incarnation, Charges: s.Charges(), Zone: budgetZoneName(r.keeper.number)}
	r.keeper.fleet.traffic.charge(q)
	var reply *messenger.ChargeReply
	if k, e := r.target(s, q); k != nil {
		if m, err := k.step(e); err == nil {
			reply = m.(*messenger.ChargeReply)
			reply.TwoDisks = s.Target == treasurer.OwnKeeper
		}
	}
	wait := hopWithin
	if reply == nil {
		wait = r.policy.CallTimeout
	}
	r.later(wait, func() { r.answered(s, reply) })
}

// target returns the keeper that gets a batch, if it can be reached, and the
// event that it is there.
func (r *routerFake) target(s treasurer.Send, q *messenger.ChargeRequest) (*keeperFake, budgeter.Event) {
	f := r.keeper.fleet
	if s.Target == treasurer.OwnKeeper {
		if r.keeper.down {
			return nil, nil
		}
		return r.keeper, budgeter.Bill{Request: q}
	}
	next := (r.keeper.number + 1) % budgetZones
	if f.zones[next].down || !f.connected(next, r.keeper.number) {
		return nil, nil
	}
	return f.zones[next], budgeter.Witness{Request: q}
}

func (r *routerFake) answered(s treasurer.Send, reply *messenger.ChargeReply) {
	known, more := r.outbox.ApplyReply(r.clock().now, s, reply)
	for _, o := range known {
		h, ok := r.held[o.Key]
		if !ok {
			continue
		}
		delete(r.held, o.Key)
		if o.State != messenger.ChargeState_CHARGE_STATE_BILLED {
			r.keeper.fleet.unbilled++
		}
		h.account.Slice().Settle(h.tokens, min(o.Spent, h.tokens))
		r.wake(h.account)
	}
	r.send(more)
}
