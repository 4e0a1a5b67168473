package quarantiner_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/quarantiner"
)

// Guards against a caller who has the same part counted as another one by writing its id
// differently.
func TestSpellingsOfAPartAreEqual(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, id := range []string{"5C1E07A2", "005c1e07a2", "000000000000000000005c1e07a2"} {
		g.Expect(quarantiner.NewPart(id)).To(gomega.Equal(quarantiner.NewPart("5c1e07a2")), id)
	}
	seen := map[quarantiner.Part]string{}
	for _, id := range []string{"", "1", "10", "not hexadecimal", "g", "11111111111111111", "11111111111111112"} {
		p := quarantiner.NewPart(id)
		g.Expect(seen).NotTo(gomega.HaveKey(p), id)
		seen[p] = id
	}
}

// Guards against unbounded memory and time for a request that names thousands of parts, or one
// part again and again.
func TestPartsOfARequestAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var list []quarantiner.Part
	for n := range 10_000 {
		list = quarantiner.AppendPart(list, quarantiner.Part(n/2))
	}
	g.Expect(list).To(gomega.HaveLen(64))
	g.Expect(list[63]).To(gomega.Equal(quarantiner.Part(63)))
}

func TestAnsweredPartsAreRemembered(t *testing.T) {
	g := gomega.NewWithT(t)
	var a quarantiner.AnsweredParts
	part := func(n int) quarantiner.SharedPart {
		return quarantiner.SharedPart{Workspace: "w", Part: quarantiner.Part(n)}
	}
	g.Expect(a.At(part(1))).To(gomega.BeZero())
	for n := range 20_000 {
		a.Add(quarantiner.AnsweredPart{Part: part(n), At: at(float64(n))})
		a.Add(quarantiner.AnsweredPart{Part: part(1), At: at(float64(n))})
	}
	g.Expect(a.At(part(1))).To(gomega.Equal(at(19_999)), "answered repeatedly")
	g.Expect(a.At(part(19_998))).To(gomega.Equal(at(19_998)))
	g.Expect(a.At(part(2))).To(gomega.BeZero(), "answered long ago")
	g.Expect(a.At(quarantiner.SharedPart{Part: 1})).To(gomega.Equal(time.Time{}), "another workspace's")
}
