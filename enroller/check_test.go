package enroller_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
)

// Guards against an endpoint in the table that no message can hold: one that a keeper of an earlier version
// has accepted and shares, or that stands in a file.
func TestTableTakesNoHeartbeatThatCannotBePassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	sound := enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "測試-1"}, Service: "s", Address: "10.0.0.1:1", Zone: "z", Sequence: 1, Version: "1"}
	for _, change := range []func(*enroller.Heartbeat){
		func(b *enroller.Heartbeat) { b.ID = "\xff" },
		func(b *enroller.Heartbeat) { b.ID = "a\r\nb" },
		func(b *enroller.Heartbeat) { b.ID = strings.Repeat("x", 5_000) },
		func(b *enroller.Heartbeat) { b.Zone = "\xed\xa0\x80" },
		func(b *enroller.Heartbeat) { b.Zone = strings.Repeat("x", 5_000) },
		func(b *enroller.Heartbeat) { b.Service = "s\xc0" },
		func(b *enroller.Heartbeat) { b.Address = "[fe80::1%" + strings.Repeat("x", 300) + "]:1" },
		func(b *enroller.Heartbeat) { b.Version = enroller.Version(strings.Repeat("1", 100)) },
	} {
		b := sound
		change(&b)
		g.Expect(b.Check()).To(gomega.MatchError(enroller.ErrInvalidHeartbeat))
		x := enroller.NewTable(5 * time.Second)
		g.Expect(x.Observe(start, b, 0)).To(gomega.BeFalse())
		g.Expect(x.Sightings(start)).To(gomega.BeEmpty())
	}
	g.Expect(sound.Check()).To(gomega.Succeed())
}
