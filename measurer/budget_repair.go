package measurer

import (
	"maps"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// loseDisk ends a zone's keeper; only the copy at the next zone is left.
func (f *escrow) loseDisk(zone int) {
	k := f.zones[zone]
	k.down = true
	k.disk = nil
}

// repair starts an empty keeper from the copy, under a new incarnation, and
// proves its rights by what the zone's routers hold.
func (f *escrow) repair(zone int) {
	k := f.zones[zone]
	incarnation := k.vault.Incarnation() + 1
	k.disk = maps.Clone(k.mirrored)
	k.vault = budgeter.NewVault(budgetZoneName(zone), k.disk)
	for key, value := range k.disk {
		if err := k.vault.Restore(key[0], key[1], value); err != nil {
			panic(err)
		}
	}
	k.down = false
	k.step(budgeter.StartIncarnation{Incarnation: incarnation, Copy: &messenger.CopyState{Incarnation: incarnation - 1, Number: k.commits}})
	p := budgeter.VerifyRestore{CopyComplete: true}
	for _, r := range k.routers {
		p.Routers = append(p.Routers, r.name)
		if r.alive {
			p.Holdings = append(p.Holdings, r.holdings())
		}
	}
	k.step(p)
}

// holdings is the router's proof, as its shell gives it.
func (r *routerFake) holdings() *messenger.HoldingsReply {
	out := &messenger.HoldingsReply{Router: r.name, Incarnation: r.incarnation, Charges: r.outbox.Pending()}
	for _, a := range r.accounts {
		if a != nil {
			out.Holdings = append(out.Holdings, a.Holding())
		}
	}
	return out
}
