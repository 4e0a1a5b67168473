package acceptor

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// from returns n connections of a machine without a call, the first of which has received nothing for ms.
func from(machine string, n, ms int) []candidate {
	var out []candidate
	for i := range n {
		out = append(out, candidate{
			conn:     &conn{machine: netip.MustParseAddr(machine)},
			standing: standing{rankStalledHead, start.Add(time.Duration(i-ms) * time.Millisecond)},
		})
	}
	return out
}

// Strangers from few machines wait beside processes that wait longer. Guards against closing those of processes, and
// against a batch of them where no machine has more than processes open.
func TestMachinesWithManyConnectionsGiveWay(t *testing.T) {
	g := gomega.NewWithT(t)
	const crowded = "10.0.0.9"
	fleet := append(from("10.0.0.1", 2, 5000), from("10.0.0.2", 1, 4000)...)
	g.Expect(machines(strangersToClose(append(fleet, from(crowded, 5, 100)...)))).To(gomega.Equal([]string{crowded}))
	g.Expect(machines(strangersToClose(append(fleet, from(crowded, 48, 100)...)))).To(gomega.Equal([]string{crowded, crowded, crowded}))
	g.Expect(strangersToClose(fleet)).To(gomega.Equal(fleet[:1]), "no machine has many")
}

func machines(list []candidate) []string {
	var out []string
	for _, x := range list {
		out = append(out, x.conn.machine.String())
	}
	return out
}
