package courier_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// versionSoakSeed is the seed of the run in CI. SOAK_SEED replaces it.
	versionSoakSeed     = 1
	versionSoakDuration = 20 * time.Second
	// soakRouters is the number of router processes, which SOAK_ROUTERS replaces, soakZones that of
	// their zones, and callersPerRouter that of callers.
	soakRouters      = 6
	soakZones        = 3
	callersPerRouter = 2
	// firstRouter is the number of the first router; those before are keepers.
	firstRouter = 4
	// minResumedInSoak is the share of the resumed streams that must go on, relative to that of new
	// streams which begin, as users require.
	minResumedInSoak = 0.5
)

// soakFleet is a fleet of router processes that are killed, stopped, frozen and started.
type soakFleet struct {
	*cluster
	binary string
	// routers is the number of routers.
	routers int
	mu      sync.Mutex
	// processes holds the process of each router that runs.
	processes map[int]*exec.Cmd
	// disturbedAt is when a router was last disturbed.
	disturbedAt map[int]time.Time
	// versions counts the endpoints in service of each version.
	versions map[string]int
}

func (f *soakFleet) startRouter(n int) {
	c := f.routerProcess(f.binary, n, fmt.Sprint("zone = z", n%soakZones))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[n] = c
}

// disturb ends or freezes a router in one of the ways that users name, and starts it again.
func (f *soakFleet) disturb(n, how int) {
	f.mu.Lock()
	c := f.processes[n]
	f.disturbedAt[n] = time.Now().Add(time.Hour)
	f.mu.Unlock()
	switch how {
	case 0:
		_ = c.Process.Kill()
		_ = c.Wait()
		f.startRouter(n)
	case 1:
		_ = c.Process.Signal(syscall.SIGTERM)
		_ = c.Wait()
		f.startRouter(n)
	default:
		_ = c.Process.Signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		_ = c.Process.Signal(syscall.SIGCONT)
	}
	f.mu.Lock()
	f.disturbedAt[n] = time.Now()
	f.mu.Unlock()
}

// inTouch reports whether a router has not been disturbed for contactWindow.
func (f *soakFleet) inTouch(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.disturbedAt[n]) > contactWindow
}

func (f *soakFleet) count(version string, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[version] += by
}

// serves reports whether two endpoints or more serve a version.
func (f *soakFleet) serves(origin string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[origin] >= 2
}

// soakCounts are the results of the callers.
type soakCounts struct {
	mu sync.Mutex
	// began and wentOn count the attempts at routers in touch that brought an event, of begins and
	// resumptions.
	began, begins, wentOn, resumptions int
	mixed, misplaced, whole            int
}

// soakStreamCaller begins streams and comes back for the rest, at a random router each time.
func soakStreamCaller(f *soakFleet, name string, r *rand.Rand, stop <-chan struct{}, c *soakCounts) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		var s stream
		for try := 0; try < 4 && !s.whole(); try++ {
			n := firstRouter + r.IntN(f.routers)
			most := streamEvents
			if r.IntN(3) == 0 {
				most = 1 + r.IntN(3)
			}
			resumes, had := s.first != "", len(s.origins)
			touch := f.inTouch(n) && (!resumes || f.serves(s.origins[0]))
			f.attempt(n, fmt.Sprintf("%s-%d-%d", name, i, try), &s, most)
			touch = touch && f.inTouch(n)
			c.record(resumes, touch, len(s.origins) > had)
			if len(s.origins) == had {
				time.Sleep(100 * time.Millisecond)
			}
		}
		c.end(&s)
	}
}

func (c *soakCounts) record(resumes, inTouch, progress bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !inTouch:
		return
	case resumes:
		c.resumptions++
	default:
		c.begins++
	}
	if progress && resumes {
		c.wentOn++
	} else if progress {
		c.began++
	}
}

func (c *soakCounts) end(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.mixed() {
		c.mixed++
	}
	if s.misplaced {
		c.misplaced++
	}
	if s.whole() {
		c.whole++
	}
}

// soakSetting returns the number in an environment variable, or a default.
func soakSetting(t *testing.T, variable string, otherwise uint64) uint64 {
	s := os.Getenv(variable)
	if s == "" {
		return otherwise
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against streams that hold events of two software versions, or that do not go on, while router
// processes are killed, stopped in turn and frozen, releases replace the endpoints, and endpoints break
// off.
func TestSoakOfResumedStreams(t *testing.T) {
	seed, routers := soakSetting(t, "SOAK_SEED", versionSoakSeed), int(soakSetting(t, "SOAK_ROUTERS", soakRouters))
	r := rand.New(rand.NewPCG(seed, 1))
	c, g := startCluster(t, 160+int(seed%60))
	c.publish(g, 1, streamDocument(2, engineOnly))
	f := &soakFleet{cluster: c, binary: nodeBinary(t), routers: routers, processes: map[int]*exec.Cmd{}, disturbedAt: map[int]time.Time{}, versions: map[string]int{}}
	breakOff := func(id string) int {
		if len(id)%5 == 0 {
			return 3
		}
		return 0
	}
	var engines []*versionEngine
	release := func(version string, n int) {
		e := f.startVersionEngine(fmt.Sprintf("i-%s-%d", version, n), "engine", version, breakOff)
		engines = append(engines, e)
		f.count("engine "+version, 1)
	}
	for n := range 6 {
		release("v1", n)
	}
	for n := range routers {
		f.startRouter(firstRouter + n)
	}
	for n := range routers {
		f.awaitVersions(g, firstRouter+n, 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), versionSoakDuration)
	defer cancel()
	counts := &soakCounts{}
	stop := make(chan struct{})
	var callers, disturbances sync.WaitGroup
	for n := range callersPerRouter * routers {
		own := rand.New(rand.NewPCG(seed, uint64(2+n)))
		callers.Go(func() { soakStreamCaller(f, fmt.Sprint("c", n), own, stop, counts) })
	}
	version, replaced := 2, 0
	for ctx.Err() == nil {
		switch n := firstRouter + r.IntN(routers); r.IntN(4) {
		case 0:
			// A release replaces one endpoint.
			if replaced++; replaced%8 == 0 {
				version++
			}
			release(fmt.Sprint("v", version), replaced)
			old := engines[0]
			engines = engines[1:]
			f.count("engine "+old.version, -1)
			old.leave()
		case 1, 2:
			how := r.IntN(3)
			t.Logf("router %d: disturbance %d", n, how)
			f.mu.Lock()
			busy := f.disturbedAt[n].After(time.Now())
			f.mu.Unlock()
			if !busy {
				f.mu.Lock()
				f.disturbedAt[n] = time.Now().Add(time.Hour)
				f.mu.Unlock()
				disturbances.Go(func() { f.disturb(n, how) })
			}
		}
		// As often for each router in a fleet of any size.
		time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond * soakRouters / time.Duration(routers))
	}
	close(stop)
	callers.Wait()
	disturbances.Wait()
	begins, resumptions := float64(max(counts.begins, 1)), float64(max(counts.resumptions, 1))
	t.Logf("seed %d: %d whole streams, %d mixed; %d of %d new streams began, %d of %d went on", seed, counts.whole, counts.mixed, counts.began, counts.begins, counts.wentOn, counts.resumptions)
	g.Expect(counts.mixed).To(gomega.BeZero())
	g.Expect(counts.misplaced).To(gomega.BeZero())
	g.Expect(counts.resumptions).To(gomega.BeNumerically(">", 12))
	g.Expect(float64(counts.wentOn) / resumptions).To(gomega.BeNumerically(">=", minResumedInSoak*float64(counts.began)/begins))
}
