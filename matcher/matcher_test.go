package matcher_test

import (
	"errors"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/matcher"
)

func TestMatcher(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	c, _ := ginkgo.GinkgoConfiguration()
	c.RandomSeed, c.FailOnPending, c.FailOnEmpty = 1, true, true
	ginkgo.RunSpecs(t, "matcher", c)
}

var _ = ginkgo.DescribeTable(
	"a selector",
	func(text string, want bool) {
		labels := map[string]string{"zone": "osu-hall", "tier": "standard"}
		s, err := matcher.Parse(text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Matches(labels)).To(gomega.Equal(want))
	},
	ginkgo.EntryDescription("%q: %t"),
	ginkgo.Entry(nil, "", true),
	ginkgo.Entry(nil, "zone=osu-hall", true),
	ginkgo.Entry(nil, "zone == osu-hall, tier!=slow", true),
	ginkgo.Entry(nil, "zone in (osu-hall, tema-hall)", true),
	ginkgo.Entry(nil, "zone notin (osu-hall)", false),
	ginkgo.Entry(nil, "tier", true),
	ginkgo.Entry(nil, "!tier", false),
	ginkgo.Entry(nil, "gpu", false),
	ginkgo.Entry(nil, "gpu!=a", true),
	ginkgo.Entry(nil, "gpu notin (a)", true),
	ginkgo.Entry(nil, "zone=osu-hall, tier in (fast, x)", false),
	ginkgo.Entry(nil, "zone in (osu-hall), tier=standard", true),
)

var _ = ginkgo.DescribeTable(
	"a faulty selector",
	func(text string) {
		_, err := matcher.Parse(text)
		gomega.Expect(errors.Is(err, matcher.ErrSyntax)).To(gomega.BeTrue(), "got %v", err)
	},
	ginkgo.EntryDescription("%q"),
	ginkgo.Entry(nil, ","),
	ginkgo.Entry(nil, "a=b,"),
	ginkgo.Entry(nil, "a in b"),
	ginkgo.Entry(nil, "a in (b"),
	ginkgo.Entry(nil, "a in ()"),
	ginkgo.Entry(nil, "=b"),
	ginkgo.Entry(nil, "a b"),
	ginkgo.Entry(nil, "a=b c"),
	ginkgo.Entry(nil, "!"),
)
