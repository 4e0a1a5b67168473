package enroller_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
)

// Guards against two software versions that count as one because their texts are long or binary.
func TestDifferentVersionsStayDifferent(t *testing.T) {
	g := gomega.NewWithT(t)
	long := strings.Repeat("v", 100_000)
	seen := map[enroller.Version]string{}
	for _, text := range []string{"v1", "V1", "v1 ", "v1\x00", "\xff", "\xfe", "é", "e\u0301", long, long + "w", strings.Repeat("v", 64), strings.Repeat("v", 65), strings.Repeat("é", 40)} {
		v := enroller.NewVersion(text)
		g.Expect(seen).NotTo(gomega.HaveKey(v), "%.20q and %.20q", seen[v], text)
		g.Expect(len(v)).To(gomega.BeNumerically("<=", 64))
		g.Expect(string(v)).To(gomega.Satisfy(func(s string) bool { return strings.ToValidUTF8(s, "") == s }))
		g.Expect(v).To(gomega.Equal(enroller.NewVersion(text)))
		seen[v] = text
	}
}

// Guards against unknown versions that count as equal.
func TestUnknownVersionsAreNotTheSame(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(enroller.Version("").Same("")).To(gomega.BeFalse())
	g.Expect(enroller.Version("v1").Same("")).To(gomega.BeFalse())
	g.Expect(enroller.Version("v1").Same("v1")).To(gomega.BeTrue())
}

// Guards against a version that is lost or goes back: a keeper of an earlier build passes heartbeats
// on without it, and heartbeats arrive late.
func TestVersionFollowsTheNewestHeartbeat(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	beat := func(sequence uint64, v enroller.Version) bool {
		return x.Observe(start, enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: sequence, Version: v}, 0)
	}
	version := func() enroller.Version {
		b, _ := enroller.HeartbeatFromSighting(x.Sightings(start)[0])
		return b.Version
	}
	beat(1, "v1")
	g.Expect(beat(2, "")).To(gomega.BeFalse())
	g.Expect(version()).To(gomega.Equal(enroller.Version("v1")))
	g.Expect(beat(4, "v2")).To(gomega.BeTrue(), "routers learn of it")
	g.Expect(beat(3, "v1")).To(gomega.BeFalse())
	g.Expect(version()).To(gomega.Equal(enroller.Version("v2")))
}
