package courier

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against a router that is killed at the end of its grace period because it still gives its rights
// back. Neither its keeper nor the router that is to have them answers.
func TestRightsAreGivenBackWithinTheExitMargin(t *testing.T) {
	g := gomega.NewWithT(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = silent.Close() })
	r := startPartition(t, partition{})
	r.fleet.updatePeers([]*messenger.FleetMember{{Address: silent.Addr().String(), Zone: "z"}})
	k := &keeperStub{}
	k.cut.Store(true)
	r.fleet.currentKeeper.Store(messenger.NewLink(serveStub(t, k)))
	r.allocation("w")
	begun := time.Now()
	r.close(context.Background())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", exitMargin))
}
