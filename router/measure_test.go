package router_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/launcher"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// processor returns a process's processor time.
func processor(pid int) time.Duration {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	f := strings.Fields(string(b[strings.LastIndex(string(b), ")")+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * clockTick
}

// resident returns a process's resident memory in bytes.
func resident(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	n, _ := strconv.Atoi(strings.Fields(string(b))[1])
	return n * os.Getpagesize()
}

// load sends n streams of so many tokens at most through the first router;
// their homes are as given.
func (f *fleet) load(prefix, home string, n int, tokens int64) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			c := f.model(osu[0], idWithHome(fmt.Sprintf("%s-%d", prefix, i), home, osu...), tokens)
			if _, err := c.Do(context.Background()); err != nil {
				f.t.Error(err)
			}
		})
	}
	wg.Wait()
}

// TestMeasureAnswers prints what open streams, requests and tokens cost a
// router process. It is a measurement and runs only with MEASURE=1.
func TestMeasureAnswers(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("a measurement; run it with MEASURE=1")
	}
	f := startFleet(t, launcher.Options{Net: 77, Zones: []string{"osu-hall"}})
	f.StartEndpoint("engine", "llm-1", "llm", "osu-hall", 1, "--capacity", "2000", "--pace", "1ms")
	f.awaitService(func(r, id string) call { return f.model(r, id, 4) })
	for _, home := range osu {
		pids := map[string]int{osu[0]: f.PID(osu[0]), osu[1]: f.PID(osu[1])}
		for _, tokens := range []int64{8, 400} {
			before, other := processor(pids[osu[0]]), processor(pids[osu[1]])
			idle := resident(pids[osu[0]])
			var most int
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.load(fmt.Sprintf("%s-%d", home, tokens), home, 200, tokens)
			}()
			for open := true; open; {
				select {
				case <-done:
					open = false
				case <-time.After(50 * time.Millisecond):
					most = max(most, resident(pids[osu[0]]))
				}
			}
			t.Logf("200 streams of at most %d tokens, home %s: relay %s, sibling %s processor; resident %d kB before, %d kB at most",
				tokens, home, processor(pids[osu[0]])-before, processor(pids[osu[1]])-other, idle>>10, most>>10)
		}
	}
	gomega.NewWithT(t).Expect(t.Failed()).To(gomega.BeFalse())
}
