package predictor

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
)

// Symptom: a router's memory grows all day. Sequence: prompts of 3,000 tokens come, each
// with a shared part of its own that is never used again, an hour long, at an endpoint
// that keeps 300,000 tokens; one part is used by every twentieth. Cause: parts that the
// endpoint can't keep any more are remembered. It keeps half of its memory's worth: 50
// prompts; a bound of twice that, where the next sweep comes, and the first 64 hold. The
// part in use must never be forgotten.
func TestPartsThatYieldedAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEndpoint(enroller.Beat{})
	p := &Prompt{In: 3_000, Parts: []Part{{"hot", 1_000}, {"own", 2_000}}}
	e.uncached(p, 300_000)
	for i := range 36_000 {
		parts := []string{"part" + strconv.Itoa(i)}
		if i%20 == 0 {
			parts = append(parts, "hot")
		}
		e.given(3_000, 0, parts)
		g.Expect(len(e.parts)).To(gomega.BeNumerically("<=", 2*64))
		g.Expect(e.uncached(p, 300_000)).To(gomega.Equal(int64(2_000)), "prompt %d", i)
	}
}
