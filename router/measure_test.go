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

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// cpuTime returns the CPU time of a process.
func cpuTime(pid int) time.Duration {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	f := strings.Fields(string(b[strings.LastIndex(string(b), ")")+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * clockTick
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	n, _ := strconv.Atoi(strings.Fields(string(b))[1])
	return n * os.Getpagesize()
}

// runStreams sends n streams of at most the given number of tokens through the
// first router, with the given router as their home.
func (f *fleet) runStreams(prefix, home string, n int, tokens int64) {
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
// router process. It is a benchmark and runs only with MEASURE=1.
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
			before, other := cpuTime(pids[osu[0]]), cpuTime(pids[osu[1]])
			idle := residentBytes(pids[osu[0]])
			var most int
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.runStreams(fmt.Sprintf("%s-%d", home, tokens), home, 200, tokens)
			}()
			for open := true; open; {
				select {
				case <-done:
					open = false
				case <-time.After(50 * time.Millisecond):
					most = max(most, residentBytes(pids[osu[0]]))
				}
			}
			t.Logf("200 streams of at most %d tokens, home %s: relay %s, sibling %s processor; resident %d kB before, %d kB at most",
				tokens, home, cpuTime(pids[osu[0]])-before, cpuTime(pids[osu[1]])-other, idle>>10, most>>10)
		}
	}
	gomega.NewWithT(t).Expect(t.Failed()).To(gomega.BeFalse())
}
