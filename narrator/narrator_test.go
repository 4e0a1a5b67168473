package narrator_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/narrator"
)

// readLogs parses log files, given as a map from file name to content.
func readLogs(t *testing.T, files map[string]string) []*narrator.Line {
	var all []*narrator.Line
	for name, text := range files {
		lines, skipped, err := narrator.Read(strings.NewReader(text), name)
		if err != nil || skipped > 0 {
			t.Fatal(name, skipped, err)
		}
		all = append(all, lines...)
	}
	return all
}

// processMessages formats each line as "process: message".
func processMessages(lines []*narrator.Line) []string {
	var out []string
	for _, l := range lines {
		out = append(out, l.Process+": "+l.Message)
	}
	return out
}

// formatLine returns a log line in JSON. The fields in rest start with a comma.
func formatLine(at float64, process, message, rest string) string {
	return fmt.Sprintf(`{"level":"info","ts":%v,"msg":%q,"process":%q%s}`+"\n", at, message, process, rest)
}

// A request is refused while its router is cut off from the keepers. The logs
// also hold lines about other requests, workspaces and endpoints.
func TestStoryHoldsWhatTheProcessesBelieved(t *testing.T) {
	g := gomega.NewWithT(t)
	all := readLogs(t, map[string]string{
		"r1.log": formatLine(90, "r1", "configuration in force", `,"number":7`) +
			formatLine(95, "r1", "no keeper answers; serving what is known", `,"silence":0.9`) +
			formatLine(100, "r1", "rights borrowed", `,"tokens":4000,"workspaces":["v","w"]`) +
			formatLine(100, "r1", "rights borrowed", `,"tokens":4000,"workspaces":["v"]`) +
			formatLine(100.2, "r1", "ended", `,"request":"other","status":200`) +
			formatLine(100.3, "r1", "endpoint out of service", `,"endpoint":"i-9"`) +
			formatLine(100.4, "r1", "ended", `,"request":"x1","status":503,"took":0.5,"workspace":"w","why":"prepaid rights are out of reach"`),
		"k1.log": formatLine(50, "k1", "prepaid total", `,"workspace":"v","left":9`) + formatLine(60, "k1", "prepaid total", `,"workspace":"w","left":9`) +
			formatLine(100.1, "k1", "prepaid total", `,"workspace":"w","left":0`) +
			formatLine(100.1, "k1", "prepaid total", `,"workspace":"v","left":0`) +
			formatLine(100.2, "k1", "log", `,"leader":"k2"`),
		"r2.log": formatLine(100.1, "r2", "rights borrowed", `,"tokens":1`),
	})
	story := narrator.History(all, "x1")
	g.Expect(processMessages(story)).To(gomega.Equal([]string{"r1: rights borrowed", "k1: prepaid total", "k1: log", "r1: ended"}))
	g.Expect(processMessages(narrator.StateBefore(all, story))).To(gomega.Equal([]string{
		"k1: prepaid total", "r1: configuration in force", "r1: no keeper answers; serving what is known",
	}))
	g.Expect(narrator.History(all, "x2")).To(gomega.BeEmpty())
}

// A request is held back a minute after endpoints broke off while serving
// requests with the same content.
func TestStoryHoldsWhyEqualRequestsWereHeldBack(t *testing.T) {
	g := gomega.NewWithT(t)
	all := readLogs(t, map[string]string{
		"r1.log": formatLine(160, "r1", "ended", `,"request":"x1","status":503,"took":0,"workspace":"w","content":"c1"`),
		"r2.log": formatLine(90, "r2", "ended", `,"request":"x0","status":502,"took":0.1,"workspace":"w","content":"c1","endpoints":["i-1"]`) +
			formatLine(91, "r2", "endpoint ended under requests", `,"endpoint":"i-1","contents":["c7","c1"]`) +
			formatLine(92, "r2", "endpoint ended under requests", `,"endpoint":"i-2","contents":["c7"]`),
		"k1.log": formatLine(93, "k1", "request held back: endpoints ended under it", `,"content":"c1","workspace":"w"`) +
			formatLine(93, "k1", "request held back: endpoints ended under it", `,"content":"c7","workspace":"w"`),
	})
	g.Expect(processMessages(narrator.History(all, "x1"))).To(gomega.Equal([]string{
		"r2: endpoint ended under requests", "k1: request held back: endpoints ended under it", "r1: ended",
	}))
}

// Guards against the story of a refused request that does not say which prompt part held it back and
// which endpoints ended under it.
func TestStoryHoldsWhyAPartWasHeldBack(t *testing.T) {
	g := gomega.NewWithT(t)
	all := readLogs(t, map[string]string{
		"r1.log": formatLine(160, "r1", "ended", `,"request":"x1","status":503,"took":0,"workspace":"w","content":"c1","parts":["a","5c"],"held_part":"5c"`),
		"r2.log": formatLine(91, "r2", "endpoint ended under requests", `,"endpoint":"i-1","contents":["c7"],"parts_unanswered":["5c:1"],"parts_answered":["a:2"]`) +
			formatLine(92, "r2", "endpoint ended under requests", `,"endpoint":"i-2","contents":["c8"],"parts_unanswered":["5c1:1"],"parts_answered":["a:2"]`),
		"k1.log": formatLine(93, "k1", "prompt part held back: endpoints ended under it", `,"part":"5c","workspace":"w"`) +
			formatLine(93, "k1", "prompt part held back: endpoints ended under it", `,"part":"a","workspace":"w"`),
	})
	g.Expect(processMessages(narrator.History(all, "x1"))).To(gomega.Equal([]string{
		"r2: endpoint ended under requests", "k1: prompt part held back: endpoints ended under it", "r1: ended",
	}))
}

// Guards against lines in the wrong order when the clock of one VM is ahead: a
// keeper's lines appeared five seconds after their consequences. Lines were
// sorted by the clock of each process. A router that was cut off and learned of
// one configuration late must not be taken for one with a wrong clock.
func TestClocksThatDiffer(t *testing.T) {
	g := gomega.NewWithT(t)
	learn := func(process string, offset float64, late map[int]float64) string {
		out := ""
		for n := range 6 {
			out += formatLine(100+10*float64(n)+offset+late[n], process, "configuration in force", fmt.Sprintf(`,"number":%d`, n))
		}
		return out
	}
	all := readLogs(t, map[string]string{
		"r1.log": learn("r1", 0.2, nil) + formatLine(151, "r1", "ended", `,"request":"x","took":0.1,"workspace":"w"`),
		"r2.log": learn("r2", 0.1, nil),
		"cut":    learn("cut", 0.3, map[int]float64{2: 8}),
		"k1.log": learn("k1", 5, nil) + formatLine(155.5, "k1", "prepaid total", `,"workspace":"w"`),
	})
	story := narrator.History(all, "x")
	g.Expect(processMessages(story)).To(gomega.Equal([]string{"r1: configuration in force", "k1: prepaid total", "r1: ended"}))
	for _, l := range all {
		want := 0.0
		if l.Process == "k1" {
			want = 4.8
		}
		g.Expect(l.Offset.Seconds()).To(gomega.BeNumerically("~", want, 0.3), l.Process)
	}
}

// A log file can have a collector's timestamp before each line, and lines of
// other programs in between.
func TestLinesOfOthersAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	lines, skipped, err := narrator.Read(strings.NewReader("  1.20 r1 "+formatLine(1, "r1", "ended", `,"request":"x"`)+"panic: no\n\n{\"a\":1}\n"), "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lines).To(gomega.HaveLen(1))
	g.Expect(lines[0].Text()).To(gomega.Equal(`request="x"`))
	g.Expect(skipped).To(gomega.Equal(2))
}

// Guards against the story of a stream that ends with its first attempt, although its caller resumed
// it at other routers.
func TestStoryHoldsAllAttemptsOfAStream(t *testing.T) {
	g := gomega.NewWithT(t)
	all := readLogs(t, map[string]string{
		"r1.log": formatLine(100, "r1", "ended", `,"request":"a","status":502,"endpoints":["i-1"],"versions":["v1"]`),
		"r2.log": formatLine(101, "r2", "ended", `,"request":"b","status":502,"resumes":"a","after_event":"4"`) +
			formatLine(101.5, "r2", "ended", `,"request":"other","status":200,"resumes":"z"`),
		"r3.log": formatLine(102, "r3", "ended", `,"request":"c","status":200,"resumes":"a","after_event":"9"`),
	})
	want := []string{"r1: ended", "r2: ended", "r3: ended"}
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(processMessages(narrator.History(all, id))).To(gomega.Equal(want), id)
	}
	g.Expect(narrator.History(all, "other")).To(gomega.HaveLen(1))
}
