package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"
)

// runningWorker is a worker process behind proxies that a cut holds up.
type runningWorker struct {
	run     *run
	id      string
	args    []string
	process *exec.Cmd
	cut     *cut
}

// startWorker starts a worker in a zone. Routers reach it, and it reaches control, through proxies.
func (r *run) startWorker(id string, zone int, control []*machine, flags ...string) (*runningWorker, error) {
	w := &runningWorker{run: r, id: id, cut: &cut{}}
	listen := fmt.Sprintf("%s:%d", r.ip(zone, 21), r.front)
	p, err := newProxy(fmt.Sprintf("%s:%d", r.ip(zone, 22), r.front), listen, w.cut)
	if err != nil {
		return nil, err
	}
	var nodes []string
	for i, m := range control {
		c, err := newProxy(fmt.Sprintf("%s:%d", r.ip(zone, 31+i), r.control), m.controlAddress(), w.cut)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, c.address())
	}
	w.args = append([]string{"worker", "-id", id, "-listen", listen, "-address", p.address(), "-zone", zones[zone], "-control", strings.Join(nodes, ",")}, flags...)
	return w, w.start()
}

func (w *runningWorker) start() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	w.run.note("worker %s starts", w.id)
	w.process, err = w.run.spawn(workerLog, nil, program, w.args...)
	return err
}

func (w *runningWorker) stop() {
	w.run.note("worker %s ends", w.id)
	_ = w.process.Process.Kill()
	_ = w.process.Wait()
}

const (
	// After underWay, answers are under way. The worker is cut off, ends, and starts again behind the cut.
	underWay     = 400 * time.Millisecond
	crashDelay   = 100 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	cutTime      = 1500 * time.Millisecond
	requests     = 75
)

// sameID ends one of three workers behind a cut under answers without a length. It starts again under its id.
func sameID(r *run) (held bool, err error) {
	keepers, routers := r.machines()
	for _, m := range slices.Concat(keepers, routers) {
		if err := m.start(true); err != nil {
			return false, err
		}
	}
	if err := r.publish(keepers, 1, 20*time.Second); err != nil {
		return false, err
	}
	var workers []*runningWorker
	for z := range zones {
		var flags []string
		if z == 0 {
			flags = []string{"-garbles"}
		}
		w, err := r.startWorker(fmt.Sprintf("i-7f3a91c%d", z), z, keepers, flags...)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := r.awaitService(routers); err != nil {
		return false, err
	}
	answers := make(chan answer, 2*requests)
	var all sync.WaitGroup
	for i := range requests {
		for j, path := range []string{plainPath, eventPath} {
			all.Go(func() {
				id := fmt.Sprintf("%016x", 1000*(j+1)+i)
				r.note("request %s %s sent to %s", id, path, routers[i%len(routers)].name)
				answers <- request(routers[i%len(routers)], path, id, 10*time.Second)
			})
		}
	}
	time.Sleep(underWay)
	if r.trouble {
		if err := workers[0].reborn(); err != nil {
			return false, err
		}
	}
	all.Wait()
	close(answers)
	broken, whole, other := 0, 0, 0
	for a := range answers {
		r.note("%s (%v)", a, a.err)
		switch {
		case a.err != nil || a.status != 200:
			other++
		case a.body == wholeBody(a.path, a.id):
			whole++
		default:
			r.note("MIXED: request %s got a signed success whose body is not the whole body of the worker", a.id)
			broken++
		}
	}
	r.note("answers: %d whole, %d failed, %d that look complete and are not", whole, other, broken)
	if !r.trouble && whole != 2*requests {
		return false, errors.New("not all requests were answered without the disruption")
	}
	return broken == 0, nil
}

// reborn cuts the worker off, ends it, and starts it again under its id before the cut heals.
func (w *runningWorker) reborn() error {
	w.run.note("worker %s is cut off", w.id)
	w.cut.on.Store(true)
	begun := time.Now()
	time.Sleep(crashDelay)
	w.stop()
	time.Sleep(restartDelay)
	if err := w.start(); err != nil {
		return err
	}
	time.Sleep(cutTime - time.Since(begun))
	w.cut.on.Store(false)
	w.run.note("the cut has healed")
	return nil
}

// awaitService waits until each router serves a request.
func (r *run) awaitService(routers []*machine) error {
	for i, m := range routers {
		for n := 0; ; n++ {
			a := request(m, plainPath, fmt.Sprintf("%016x", 101+100*i+n), 3*time.Second)
			if a.err == nil && a.status == 200 {
				break
			}
			if n > 40 {
				return fmt.Errorf("%s does not serve: %s %v", m.name, a, a.err)
			}
			time.Sleep(250 * time.Millisecond)
		}
	}
	return nil
}
