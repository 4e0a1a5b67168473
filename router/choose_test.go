package router

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"
)

// TestCachedTokensOfUsage checks that missing usage details are reported as
// unknown (-1) and not as 0.
func TestCachedTokensOfUsage(t *testing.T) {
	for text, want := range map[string]int64{
		`{"prompt_tokens":9}`: -1,
		`{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":0}}`: 0,
		`{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":7}}`: 7,
	} {
		g := gomega.NewWithT(t)
		var u usage
		g.Expect(json.Unmarshal([]byte(text), &u)).To(gomega.Succeed())
		g.Expect(u.cachedTokens()).To(gomega.Equal(want), text)
	}
	gomega.NewWithT(t).Expect((*usage)(nil).cachedTokens()).To(gomega.Equal(int64(-1)))
}
