package forwarder_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/forwarder"
)

// Guards against a request, or a stream, that spends all its time on bytes that come slowly, although
// another endpoint could go on with it.
func TestUnfinishedPartIsReplaced(t *testing.T) {
	for path, x := range map[string]struct {
		bad  endlessAnswer
		good string
		body string
	}{
		"/read/x":     {endlessHeads["header line"], answerOK, "hello"},
		"/read/none":  {endlessHeads["status line"], answerOK, "hello"},
		"/resume/x":   {endlessEvents["lines after an event"], streamHead + event("2") + streamEnd, plainEvent1 + plainEvent2},
		"/resume/not": {endlessAnswer{streamHead + event("1"), "0"}, streamHead + event("2") + streamEnd, plainEvent1 + plainEvent2},
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			bad, good := newEndpoint(t, endlessly(x.bad.begin, x.bad.part, 20*time.Millisecond)), newEndpoint(t, responds(x.good))
			w := newTestRouterWith(t, slowDocument(), func(*forwarder.Dependencies) {}, func(int) string { return "z" }, bad, good)
			for len(bad.requests()) == 0 {
				begun := time.Now()
				a := w.send(t, "GET", path, "", "Rattanhoist-Deadline-Ms", "9000")
				if len(bad.requests()) == 0 {
					continue
				}
				g.Expect(a.err).NotTo(gomega.HaveOccurred())
				g.Expect(a.status).To(gomega.Equal(200), "%q", a.body)
				g.Expect(a.body).To(gomega.Equal(x.body))
				g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 5*time.Second))
			}
		})
	}
}
