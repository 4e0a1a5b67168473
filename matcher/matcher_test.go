package matcher_test

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/matcher"
)

func TestSelectors(t *testing.T) {
	labels := map[string]string{"zone": "osu-hall", "tier": "standard"}
	for text, want := range map[string]bool{
		"":                                  true,
		"zone=osu-hall":                     true,
		"zone == osu-hall, tier!=slow":      true,
		"zone in (osu-hall, tema-hall)":     true,
		"zone notin (osu-hall)":             false,
		"tier":                              true,
		"!tier":                             false,
		"gpu":                               false,
		"gpu!=a":                            true,
		"gpu notin (a)":                     true,
		"zone=osu-hall, tier in (fast, x)":  false,
		"zone in (osu-hall), tier=standard": true,
	} {
		g := gomega.NewWithT(t)
		s, err := matcher.Parse(text)
		g.Expect(err).NotTo(gomega.HaveOccurred(), text)
		g.Expect(s.Matches(labels)).To(gomega.Equal(want), text)
	}
}

func TestFaultySelectors(t *testing.T) {
	for _, text := range []string{",", "a=b,", "a in b", "a in (b", "a in ()", "=b", "a b", "a=b c", "!"} {
		if _, err := matcher.Parse(text); !errors.Is(err, matcher.ErrSyntax) {
			t.Errorf("%q: got %v", text, err)
		}
	}
}
