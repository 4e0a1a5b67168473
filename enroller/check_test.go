package enroller_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/net/http/httpguts"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
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

// FuzzCheck searches for texts that are accepted but that a message or a header field cannot hold, or that are
// refused although both can.
func FuzzCheck(f *testing.F) {
	for _, id := range []string{"i-1", "測試", "\xff\xfe", "\xed\xa0\x80", "a\r\nb", "\x00", "\u0085", "\ufffd"} {
		f.Add(id, "z", "10.0.0.1:1")
	}
	f.Fuzz(func(t *testing.T, id, zone, address string) {
		b := enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: id}, Service: "s", Zone: zone, Address: address, Sequence: 1}
		_, err := proto.Marshal(&messenger.Sighting{Id: id, Zone: zone, Address: address})
		sendable := err == nil && httpguts.ValidHeaderFieldValue(id) && len(id) <= 4<<10 && len(zone) <= 4<<10 && len(address) <= 256
		if accepted := b.Check() == nil; accepted != sendable {
			t.Fatalf("accepted %v: %q %q %q", accepted, id, zone, address)
		}
	})
}
