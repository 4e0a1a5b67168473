package measurer

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// budgetTestTime bounds the traffic of a test.
const budgetTestTime = 12 * time.Minute

// playFaults runs a short traffic through a cut, a killed router and two lost
// disks, in a fleet of the shipping cores.
func playFaults() (*budgetRun, *escrow) {
	clock := newVirtualClock()
	fleet := newEscrow(clock, "demand")
	run := newBudgetRun(clock, fleet)
	run.play(traffic(firstBudgetSeed, budgetTestTime), []fault{
		{2 * time.Minute, func(r *budgetRun) { r.cut(hotZone, true) }},
		{3 * time.Minute, func(r *budgetRun) { r.killBusiest(hotZone) }},
		{4 * time.Minute, func(r *budgetRun) { r.restartDead(hotZone) }},
		{6 * time.Minute, func(r *budgetRun) { r.cut(hotZone, false) }},
		{7 * time.Minute, func(r *budgetRun) { r.ledger.loseDisk(0) }},
		{7*time.Minute + 5*time.Second, func(r *budgetRun) { r.ledger.repair(0) }},
		{7*time.Minute + 6*time.Second, func(r *budgetRun) { r.ledger.loseDisk(1) }},
		{8 * time.Minute, func(r *budgetRun) { r.ledger.repair(1) }},
	})
	return run, fleet
}

// Symptom: tokens are missing, or spent twice, after faults one upon another.
// Sequence: a cut, a router killed in it, then two disks lost in a row.
// Cause: any of the cores, or the order in which a shell calls them.
func TestFleetOfCoresConservesThroughFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	run, fleet := playFaults()
	g.Expect(fleet.overspent()).To(gomega.BeZero())
	g.Expect(fleet.missing(&run.book)).To(gomega.BeZero())
	g.Expect(fleet.unbilled).To(gomega.BeZero())
	g.Expect(run.tally.killed).To(gomega.BeNumerically(">", 0))
	g.Expect(run.tally.served + run.tally.trueRefusals + run.tally.falseRefusals).To(gomega.Equal(run.tally.requests))
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := playFaults()
	b, _ := playFaults()
	g.Expect(a.tally).To(gomega.Equal(b.tally))
	g.Expect(a.book.charged).To(gomega.Equal(b.book.charged))
}
