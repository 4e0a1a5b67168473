package courier_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// crashingPart is the id of a prompt part that ends each engine that begins an answer on it.
const crashingPart = "bad0bad0"

// partLoad sends sound requests, and besides them requests with a crashing part. No two requests are
// alike; all have the same workspace and share their other parts.
type partLoad struct {
	f       *cluster
	routers []int
	// sound and crashing are requests per second.
	sound, crashing float64
	// prefix returns the shared parts of a request, the crashing one in its place.
	prefix func(crashing bool) string

	requests atomic.Int64
	mu       sync.Mutex
	results  []partResult
}

// partResult is the outcome of one request.
type partResult struct {
	at       time.Time
	crashing bool
	status   int
	body     string
}

// run sends requests until ctx ends, at a router chosen in turn, each on a connection of its own.
func (l *partLoad) run(ctx context.Context, rate float64, crashing bool, group *sync.WaitGroup) {
	if rate <= 0 {
		return
	}
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		group.Add(1)
		go func() {
			defer group.Done()
			l.send(crashing)
		}()
	}
}

func (l *partLoad) send(crashing bool) partResult {
	n := int(l.requests.Add(1))
	r := partResult{at: time.Now(), crashing: crashing}
	r.status, r.body = l.post(n, fmt.Sprintf("%s,%x:10", l.prefix(crashing), 0xe0000000+n))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
	return r
}

// post returns the status of the answer, 0 for none, and as much of its body as arrives.
func (l *partLoad) post(n int, prefix string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+l.f.serveAddress(l.routers[n%len(l.routers)])+"/a/x", strings.NewReader(fmt.Sprint("body ", n)))
	if err != nil {
		l.f.t.Error(err)
		return 0, ""
	}
	r.Host, r.Close = "a.example", true
	for k, v := range map[string]string{
		"Api-Key": "k", "Rattanhoist-Request-Id": fmt.Sprint("r", n), "Rattanhoist-Token-Usage": "100,20", "Rattanhoist-Prompt-Prefix": prefix,
	} {
		r.Header.Set(k, v)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	// An answer may break off.
	body, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(body)
}

// begun returns how many sound requests that were sent between two moments were answered, and how
// many were sent.
func (l *partLoad) begun(from, to time.Time) (begun, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.results {
		if r.crashing || r.at.Before(from) || !r.at.Before(to) {
			continue
		}
		sent++
		if r.status == http.StatusOK {
			begun++
		}
	}
	return begun, sent
}

// isHeld reports whether a request was refused because of the crashing part.
func (l *partLoad) isHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.results, func(r partResult) bool { return r.crashing && strings.Contains(r.body, "with its prompt part") })
}

// Guards against a prompt part that ends one engine after the other. No two of the requests with it
// are alike, so that what is learned of whole requests holds none of them back, while sound requests
// share their caller and all their other parts.
func TestCrashingPartIsHeldBackByAllRouters(t *testing.T) {
	for i, c := range []struct {
		name     string
		crashing float64
		prefix   func(crashing bool) string
	}{
		{"in the middle, often", 8, func(crashing bool) string {
			if crashing {
				return "a1:30," + crashingPart + ":20,a2:40"
			}
			return "a1:30,a2:40"
		}},
		{"first, seldom", 2, func(crashing bool) string {
			if crashing {
				return crashingPart + ":20,a1:30,a2:40"
			}
			return "a3:20,a1:30,a2:40"
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, g := startCluster(t, 70+i)
			f.publish(g, 1, document(2, 10_000_000))
			routers := []int{4, 5, 6}
			for _, r := range routers {
				f.router(r)
			}
			m := &crashingEngines{f: f, downtime: 3 * time.Second, pause: 300 * time.Millisecond, crashes: func(r *http.Request, _ string) bool {
				return strings.Contains(r.Header.Get("Rattanhoist-Prompt-Prefix"), crashingPart)
			}}
			for e := 1; e <= 12; e++ {
				m.run(fmt.Sprint("i-", e))
			}
			for _, r := range routers {
				f.awaitServing(g, r)
			}
			l := &partLoad{f: f, routers: routers, sound: 25, crashing: c.crashing, prefix: c.prefix}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var group sync.WaitGroup
			started := time.Now()
			go l.run(ctx, l.sound, false, &group)
			time.Sleep(4 * time.Second)
			crashing := time.Now()
			go l.run(ctx, l.crashing, true, &group)
			// The part may be held back before the fifth crash.
			g.Eventually(func() bool { return m.crashCount() >= 5 || l.isHeld() }, 20*time.Second, 10*time.Millisecond).Should(gomega.BeTrue())
			crashes, fifth := min(m.crashCount(), 5), time.Now()
			g.Expect(crashes).To(gomega.BeNumerically(">=", 3), "the engines crash")
			time.Sleep(2*contactWindow + 4*time.Second)
			end := time.Now()
			last := l.send(true)
			cancel()
			group.Wait()
			g.Expect(m.lateArrivals(crashes)).To(gomega.BeNumerically("<=", maxLateArrivals))
			g.Expect(last.status).To(gomega.Equal(http.StatusServiceUnavailable), "the response says that it did not run")
			before, sentBefore := l.begun(started.Add(time.Second), crashing)
			after, sentAfter := l.begun(fifth.Add(2*contactWindow), end)
			t.Logf("sound requests that began: %d of %d before, %d of %d after", before, sentBefore, after, sentAfter)
			g.Expect(float64(after)/float64(sentAfter)).To(gomega.BeNumerically(">=", 0.95*float64(before)/float64(sentBefore)), "sound requests are served")
		})
	}
}

// Guards against refusing the requests of a workspace because engines end of their own accord, one
// after the other, while requests that all share two parts run there.
func TestEndsWithoutCauseHoldNothingBack(t *testing.T) {
	f, g := startCluster(t, 72)
	f.publish(g, 1, document(2, 10_000_000))
	routers := []int{4, 5, 6}
	for _, r := range routers {
		f.router(r)
	}
	m := &crashingEngines{f: f, downtime: 3 * time.Second, pause: 300 * time.Millisecond, crashes: func(*http.Request, string) bool { return false }}
	for e := 1; e <= 12; e++ {
		m.run(fmt.Sprint("i-", e))
	}
	for _, r := range routers {
		f.awaitServing(g, r)
	}
	l := &partLoad{f: f, routers: routers, sound: 25, prefix: func(bool) string { return "a1:30,a2:40" }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	started := time.Now()
	go l.run(ctx, l.sound, false, &group)
	for range 12 {
		time.Sleep(time.Second)
		m.endOne()
	}
	cancel()
	group.Wait()
	begun, sent := l.begun(started, time.Now())
	t.Logf("sound requests that began: %d of %d", begun, sent)
	g.Expect(float64(begun) / float64(sent)).To(gomega.BeNumerically(">=", 0.95))
	for _, r := range l.results {
		g.Expect(r.body).NotTo(gomega.ContainSubstring("held back"))
	}
}

// partCluster is a cluster whose engines end at requests with the crashing part.
func partCluster(t *testing.T, subnet, routers, engines int, downtime time.Duration) (*cluster, *gomega.WithT, *crashingEngines, *partLoad) {
	f, g := startCluster(t, subnet)
	f.publish(g, 1, document(2, 10_000_000))
	l := &partLoad{f: f, prefix: func(crashing bool) string {
		if crashing {
			return "a1:30," + crashingPart + ":20,a2:40"
		}
		return "a1:30,a2:40"
	}}
	for r := range routers {
		l.routers = append(l.routers, 4+r)
		f.router(4 + r)
	}
	m := &crashingEngines{f: f, downtime: downtime, pause: 100 * time.Millisecond, crashes: func(r *http.Request, _ string) bool {
		return strings.Contains(r.Header.Get("Rattanhoist-Prompt-Prefix"), crashingPart)
	}}
	for e := 1; e <= engines; e++ {
		m.run(fmt.Sprint("i-", e))
	}
	for _, r := range l.routers {
		f.awaitServing(g, r)
	}
	return f, g, m, l
}

// crashEngines sends requests with the crashing part until that many engines have ended, or none more
// ends for seconds.
func crashEngines(g *gomega.WithT, m *crashingEngines, l *partLoad, n int) {
	g.Eventually(func() int {
		l.send(true)
		return m.crashCount()
	}, 20*time.Second, 300*time.Millisecond).Should(gomega.BeNumerically(">=", n))
}

// awaitHeld waits until every router refuses requests with the crashing part.
func awaitHeld(g *gomega.WithT, l *partLoad) {
	for range l.routers {
		g.Eventually(func() string { return l.send(true).body }, 5*time.Second, 100*time.Millisecond).Should(gomega.ContainSubstring("held back"))
	}
	for range 2 * len(l.routers) {
		g.Expect(l.send(true).body).To(gomega.ContainSubstring("with its prompt part"))
	}
}

// Guards against a restart of all keepers and routers that forgets the prompt parts which are held
// back, and against a router that starts later and does not learn of them.
func TestHeldPartsSurviveFullRestart(t *testing.T) {
	f, g, m, l := partCluster(t, 73, 2, 6, 500*time.Millisecond)
	crashEngines(g, m, l, 3)
	awaitHeld(g, l)
	time.Sleep(time.Second)
	ended := m.crashCount()
	for _, r := range l.routers {
		f.stop(fmt.Sprint("router", r))
	}
	for n := 1; n <= 3; n++ {
		f.stop(fmt.Sprint("keeper", n))
	}
	for n := 1; n <= 3; n++ {
		f.keeper(n, false)
	}
	l.routers = append(l.routers, 6)
	for _, r := range l.routers {
		f.router(r)
		f.awaitServing(g, r)
	}
	for range 9 {
		g.Expect(l.send(true).body).To(gomega.ContainSubstring("with its prompt part"))
		r := l.send(false)
		g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
	}
	g.Expect(m.crashCount()).To(gomega.Equal(ended))
}

// Guards against crash reports that are lost with the keepers that got them: the leader and another
// keeper are stopped between the crashes, one after the other, and come back without memory.
func TestPartIsHeldBackWhileKeepersRestart(t *testing.T) {
	f, g, m, l := partCluster(t, 74, 3, 8, time.Second)
	for n := 1; n <= 3; n++ {
		crashEngines(g, m, l, n)
		f.stop(fmt.Sprint("keeper", n))
		time.Sleep(500 * time.Millisecond)
		f.keeper(n, false)
		time.Sleep(500 * time.Millisecond)
	}
	fifth := time.Now()
	for time.Since(fifth) < contactWindow {
		l.send(true)
		time.Sleep(300 * time.Millisecond)
	}
	before := m.crashCount()
	for range 20 {
		l.send(true)
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d engines ended", m.crashCount())
	g.Expect(m.crashCount() - before).To(gomega.BeNumerically("<=", maxLateArrivals))
	awaitHeld(g, l)
}

// Guards against a stream that a part crashes at each endpoint at which it is resumed, and against
// its content being blamed alone: each request is answered in part, so that it may be resumed, and
// its caller takes it up once more.
func TestPartOfResumedStreamsIsHeldBack(t *testing.T) {
	f, g, m, l := partCluster(t, 75, 3, 10, time.Second)
	f.publish(g, 1, strings.Replace(document(3, 10_000_000), `"attempts":1`, `"attempts":2,"stream_resume":true`, 1))
	time.Sleep(500 * time.Millisecond)
	crashEngines(g, m, l, 5)
	fifth := time.Now()
	for time.Since(fifth) < contactWindow {
		l.send(true)
		l.send(false)
		time.Sleep(100 * time.Millisecond)
	}
	for range 20 {
		l.send(true)
		time.Sleep(100 * time.Millisecond)
	}
	g.Expect(m.lateArrivals(5)).To(gomega.BeNumerically("<=", maxLateArrivals))
	awaitHeld(g, l)
}

// Guards against a quarantine that an operator lifts and that comes back at once because of the
// crashes from before, and against one that does not come back although endpoints crash again.
func TestLiftedPartIsHeldBackAfterThreeMoreCrashes(t *testing.T) {
	f, g, m, l := partCluster(t, 76, 2, 8, 500*time.Millisecond)
	for range 5 {
		l.send(false)
	}
	crashEngines(g, m, l, 3)
	awaitHeld(g, l)
	keeper := messenger.NewLink(f.ip(2) + ":7340")
	defer keeper.Close()
	lift := &messenger.QuarantineChange{Requests: []*messenger.Content{{Workspace: "w", Sum: 0xbad0bad0, Kind: messenger.ContentKind_CONTENT_KIND_PART}}}
	g.Expect(keeper.Call(t.Context(), time.Second, func(ctx context.Context, c messenger.FleetKeeperClient) error {
		_, err := c.Order(ctx, &messenger.OrderRequest{Change: &messenger.FleetChange{Body: &messenger.FleetChange_Quarantine{Quarantine: lift}}})
		return err
	})).To(gomega.Succeed())
	ended := m.crashCount()
	g.Eventually(func() int { l.send(true); return m.crashCount() }, 10*time.Second, 100*time.Millisecond).Should(gomega.BeNumerically(">", ended), "it is lifted")
	awaitHeld(g, l)
	t.Logf("%d engines ended after it was lifted", m.crashCount()-ended)
	g.Expect(m.crashCount() - ended).To(gomega.BeNumerically(">=", 3))
}

// Guards against ends that go unseen because the engine accepts connections again, as a new
// incarnation, before any router has checked it.
func TestPartIsHeldBackWhenEnginesRestartAtOnce(t *testing.T) {
	_, g, m, l := partCluster(t, 77, 2, 4, 0)
	for range 5 {
		l.send(false)
	}
	crashEngines(g, m, l, 5)
	time.Sleep(contactWindow)
	before := m.crashCount()
	for range 20 {
		l.send(true)
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%d engines ended", m.crashCount())
	g.Expect(m.crashCount() - before).To(gomega.BeNumerically("<=", maxLateArrivals))
}
