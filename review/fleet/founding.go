package main

import (
	"fmt"
	"os"
	"slices"
	"time"
)

const (
	// startSpread is the time between the starts of the first machine and the others. The pages allow 300 ms
	// between any two.
	startSpread = 200 * time.Millisecond
	// successorDelay is the time until an empty machine comes for one that is gone for good, and
	// processRestartDelay that until the platform starts a killed process again.
	successorDelay      = time.Second
	processRestartDelay = 500 * time.Millisecond
	// foundingTime is how long the operator tries: many times ack_timeout_ms, which is 4 s.
	foundingTime = 60 * time.Second
	serviceTime  = 20 * time.Second
)

// founding loses one of three machines with a disk for good at the first start, and adds its successor. With
// VARIANT=restart its process is killed only, and started again with its disk.
func founding(r *run) (held bool, err error) {
	keepers, routers := r.machines()
	lost := keepers[0]
	if err := lost.start(true); err != nil {
		return false, err
	}
	time.Sleep(startSpread)
	nodes, restart := keepers, os.Getenv("VARIANT") == "restart"
	if r.trouble && !restart {
		successor := &machine{run: r, name: "core-" + zones[0] + "-2", role: "keeper", zone: 0, host: 2, seeds: keepers}
		nodes = []*machine{keepers[1], keepers[2], successor}
	}
	for _, m := range slices.Concat(keepers[1:], routers) {
		if err := m.start(true); err != nil {
			return false, err
		}
	}
	if r.trouble {
		lost.kill()
	}
	switch {
	case r.trouble && restart:
		time.Sleep(processRestartDelay)
		err = lost.start(false)
	case r.trouble:
		time.Sleep(successorDelay)
		err = nodes[2].start(false)
	}
	if err != nil {
		return false, err
	}
	w, err := r.startWorker("i-1", 1, nodes)
	if err != nil {
		return false, err
	}
	defer w.stop()
	acknowledged := r.publish(nodes, 1, foundingTime) == nil
	served, sent := 0, 0
	for begun := time.Now(); served == 0 && time.Since(begun) < serviceTime; time.Sleep(time.Second) {
		for _, m := range routers {
			sent++
			a := request(m, plainPath, fmt.Sprintf("%016x", sent), 3*time.Second)
			r.note("%s at %s: %v", a, m.name, a.err)
			if a.err == nil && a.status == 200 {
				served++
			}
		}
	}
	r.note("configuration acknowledged: %v; requests sent %d, served %d", acknowledged, sent, served)
	return acknowledged && served > 0, nil
}
