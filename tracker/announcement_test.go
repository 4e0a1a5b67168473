package tracker_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/tracker"
)

// Guards against gossip that is too large to be sent because one endpoint announces an address without end.
func TestAddressOfAnAnnouncementIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	a := tracker.Announcement{Name: "e", Service: "s", Zone: "z", Address: "[fe80::1%eth0]:80", Incarnation: 1, Sequence: 1, Capacity: 1}
	g.Expect(a.Check([]string{"z"})).To(gomega.Succeed())
	a.Address = "[fe80::1%" + strings.Repeat("z", 4_000) + "]:80"
	g.Expect(a.Check([]string{"z"})).To(gomega.MatchError(tracker.ErrInvalid))
}
