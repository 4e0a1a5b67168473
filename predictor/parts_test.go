package predictor

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
)

// Guards against a router whose memory grows all day because it remembers parts that
// endpoints have evicted. For an hour, prompts of 3,000 tokens come, each with a shared
// part that is never used again, to an endpoint that caches 300,000 tokens. Half of that
// holds the parts of 50 prompts; the number of remembered parts is bounded by twice the
// larger of that and the 64 at which evicted parts are first removed. One part is used by
// every twentieth prompt and must never be forgotten.
func TestEvictedPartsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewEndpoint(enroller.Heartbeat{})
	p := &Prompt{InputTokens: 3_000, Parts: []Part{{"hot", 1_000}, {"own", 2_000}}}
	e.uncachedTokens(p, 300_000)
	for i := range 36_000 {
		parts := []string{"part" + strconv.Itoa(i)}
		if i%20 == 0 {
			parts = append(parts, "hot")
		}
		e.recordPrefill(3_000, 0, parts)
		g.Expect(len(e.parts)).To(gomega.BeNumerically("<=", 2*64))
		g.Expect(e.uncachedTokens(p, 300_000)).To(gomega.Equal(int64(2_000)), "prompt %d", i)
	}
}
