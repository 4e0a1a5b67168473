package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["blackout"] = blackoutCase }

// blackoutCase ends all processes at one moment, those of the system and the workers, as a loss of power
// of the whole site does. All are back within 1.6 s, the workers as new lifetimes at their addresses.
func blackoutCase(rec *record, trouble bool) bool {
	const (
		before, after = 15 * time.Second, 20 * time.Second
		recovery      = 15 * time.Second
	)
	f := newFleet(6, 6)
	// Six core machines, of which two may be lost, as on the site adwenpa-surveys-grown, with its bounds.
	for k, v := range map[string]string{
		"fault_tolerance.machines": "2", "bounds.drain_ms": "2500", "bounds.config_apply_ms": "2500", "bounds.ack_timeout_ms": "5000", "bounds.budget_slack": "166",
	} {
		f.settings[k] = v
	}
	f.begin(0, workerOptions{}, 2_000_000_000)
	var early, late load
	f.requests(&early, before)
	backAt := time.Now()
	if trouble {
		backAt = f.blackout(rec)
	}
	var between load
	f.requests(&between, recovery-time.Since(backAt))
	f.requests(&late, after)
	early.wg.Wait()
	between.wg.Wait()
	late.wg.Wait()
	was, is := servedShare(rec, "before the fault", &early), servedShare(rec, "later than recovery_s after the machines are back", &late)
	return was >= 0.25 && is < 0.25
}

// blackout kills everything and starts it again. It returns when the last machine was back.
func (f *fleet) blackout(rec *record) time.Time {
	rec.line("all processes of the system and all workers are killed")
	nodes := append(append([]*node{}, f.keepers...), f.routers...)
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(n.kill)
	}
	for _, w := range f.workers {
		all.Go(w.kill)
	}
	all.Wait()
	begun := time.Now()
	var mu sync.Mutex
	for i, n := range nodes {
		delay := restartDelay(i, len(f.keepers))
		all.Go(func() {
			time.Sleep(delay)
			n.start(false)
			mu.Lock()
			defer mu.Unlock()
			rec.line("%s is back after %.2f s", n.name, time.Since(begun).Seconds())
		})
	}
	for _, w := range f.workers {
		delay := 100*time.Millisecond + rand.N(100*time.Millisecond)
		all.Go(func() {
			time.Sleep(delay)
			w.options.ID += "b"
			w.start()
		})
	}
	all.Wait()
	return time.Now()
}

// restartDelay returns when a machine is back: the keepers one after the other, and the routers
// meanwhile. The final faults of the site files last for 1.6 s at most.
func restartDelay(i, keepers int) time.Duration {
	switch {
	case i >= keepers:
		return 200*time.Millisecond + rand.N(400*time.Millisecond)
	case i == 0:
		return 100 * time.Millisecond
	case i == 1:
		return 1000 * time.Millisecond
	}
	return 1550 * time.Millisecond
}

// requests sends requests of all kinds to all routers for some time.
func (f *fleet) requests(l *load, d time.Duration) {
	begun := time.Now()
	for n := 0; time.Since(begun) < d; n++ {
		r := request{id: newID(), router: f.routers[rand.IntN(len(f.routers))].serveAddress(), key: firstKey, deadline: 10 * time.Second}
		switch n % 4 {
		case 0:
			r.path, r.body, r.deadline = "/fetch/1", "work=60", 1500*time.Millisecond
		case 1:
			r.path, r.body, r.deadline = "/status/1", "work=60", 1500*time.Millisecond
		default:
			r.path, r.body, r.input, r.output, r.prefix = "/report/1", "events=20;gap=40", 600, 200, fmt.Sprintf("a%d:200,b%d:400", n%8, n)
		}
		l.start(r)
		time.Sleep(time.Second / 60)
	}
}

// servedShare returns the share of the requests that were served.
func servedShare(rec *record, when string, l *load) float64 {
	count := map[string]int{}
	served := 0
	for _, a := range l.answers {
		switch {
		case a.Status == 200 && a.Complete:
			served++
		case a.Status == 0:
			count["no answer"]++
		default:
			count[fmt.Sprint("status ", a.Status, " ", firstLine(a.Body))]++
		}
	}
	share := float64(served) / float64(max(len(l.answers), 1))
	rec.line("%s: %d requests, %d served (%.3f); others: %v", when, len(l.answers), served, share, count)
	return share
}

func firstLine(s string) string {
	for i, c := range s {
		if c == '\n' || i > 60 {
			return s[:i]
		}
	}
	return s
}
