package narrator_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/narrator"
)

// Requests that succeeded, were answered late, were refused or failed, at two
// routers.
func TestLossesByCause(t *testing.T) {
	g := gomega.NewWithT(t)
	all := readLogs(t, map[string]string{
		"r1.log": formatLine(100, "r1", "ended", `,"status":200,"prompt":5`) +
			formatLine(101, "r1", "ended", `,"status":402,"route":"a","prompt":100,"why":"prepaid total is spent"`) +
			formatLine(104, "r1", "ended", `,"status":402,"route":"a","prompt":10,"why":"prepaid total is spent"`) +
			formatLine(105, "r1", "ended", `,"status":200,"route":"a","prompt":7,"late":"first event"`),
		"r2.log": formatLine(104.5, "r2", "ended", `,"status":402,"route":"b","prompt":1,"why":"prepaid total is spent"`) +
			formatLine(104.6, "r2", "ended", `,"status":502,"why":"stream broken off: read tcp 10.0.0.1:5: reset"`) +
			formatLine(104.7, "r2", "ended", `,"status":0,"why":"caller gone: x"`) +
			formatLine(104.8, "r2", "another endpoint", `,"why":"x"`),
	})
	losses, requests := narrator.Losses(all)
	g.Expect(requests).To(gomega.Equal(7))
	g.Expect(losses).To(gomega.HaveLen(4))
	g.Expect(losses[0]).To(gomega.Equal(&narrator.Loss{
		Cause: "refused: prepaid total is spent", Requests: 3, Prompt: 111, Share: 3.0 / 7,
		From: time.Unix(104, 0).UTC(), Peak: 2, Routes: map[string]int{"a": 2, "b": 1},
	}))
	var rest []string
	for _, l := range losses[1:] {
		rest = append(rest, l.Cause)
	}
	g.Expect(rest).To(gomega.Equal([]string{"failed: stream broken off", "late: first event", "left: caller gone: x"}))
}
