package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["late"] = lateCase }

// link carries the calls of the workers to one keeper. While it is cut it holds what was sent, which
// arrives late, as after a partition.
type link struct {
	keeper string
	mu     sync.Mutex
	cut    bool
	held   [][]byte
}

// newLink returns a link that listens at an address.
func newLink(address, keeper string) *link {
	l := &link{keeper: keeper}
	listener, err := net.Listen("tcp", address)
	must(err)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l
}

// carry passes one call on, or holds it.
func (l *link) carry(c net.Conn) {
	defer c.Close()
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut {
		// Nothing comes back. The sender gives up and closes its channel.
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		sent, _ := io.ReadAll(c)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held = append(l.held, sent)
		return
	}
	k, err := net.DialTimeout("tcp", l.keeper, time.Second)
	if err != nil {
		return
	}
	defer k.Close()
	go func() {
		_, _ = io.Copy(k, c)
	}()
	_, _ = io.Copy(c, k)
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// deliver sends to the keeper what was held, and returns how many calls that were.
func (l *link) deliver() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sent := range l.held {
		k, err := net.DialTimeout("tcp", l.keeper, time.Second)
		if err != nil {
			continue
		}
		_, _ = io.Copy(k, bytes.NewReader(sent))
		_ = k.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, k)
		_ = k.Close()
	}
	return len(l.held)
}

// lateCase cuts the workers off from the keepers. They crash behind the cut and start again as new
// lifetimes at their addresses. What the old ones sent into the cut arrives after the new ones have
// registered. Then one keeper loses its disk, as the site's final faults have it.
func lateCase(rec *record, trouble bool) bool {
	const (
		cutFor, lateBy = 8800 * time.Millisecond, 3 * time.Second
		recovery       = 12 * time.Second
	)
	f := newFleet(3, 6)
	for i, zone := range []int{0, 0, 0, 1, 1, 2} {
		n := f.routers[i]
		n.zone, n.ip = zones[zone], f.ip(zone+1, 10+i)
		n.name = "frontend-" + zones[zone] + "-" + string(rune('1'+i))
	}
	var links []*link
	for i, k := range f.controls() {
		a := fmt.Sprintf("%s:%d", f.ip(4, 1+i), f.ports.worker+1)
		links = append(links, newLink(a, k))
		f.workerControls = append(f.workerControls, a)
	}
	f.begin(0, workerOptions{}, 2_000_000_000)
	var early, between, late load
	f.requests(&early, 12*time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if trouble {
			f.cutOff(rec, links, cutFor, lateBy)
		}
	}()
	f.requests(&between, cutFor+lateBy+3*time.Second)
	<-done
	if !f.publish(configuration(2, 2_000_000_000), 5*time.Second) {
		cannotRun("the configuration was not acknowledged")
	}
	if k := f.keepers[2]; trouble {
		rec.line("%s loses its disk right after it has acknowledged", k.name)
		k.kill()
		must(os.RemoveAll(filepath.Join(f.dir, k.name)))
		time.Sleep(1000 * time.Millisecond)
		k.start(false)
	}
	var after load
	f.requests(&after, recovery)
	f.requests(&late, 15*time.Second)
	for _, l := range []*load{&early, &between, &after, &late} {
		l.wg.Wait()
	}
	early.answers = append(early.answers, between.answers...)
	was, is := servedShare(rec, "before the final fault", &early), servedShare(rec, "later than recovery_s after the machines are back", &late)
	return was >= 0.25 && is < 0.25
}

// cutOff cuts the workers off from the keepers.
func (f *fleet) cutOff(rec *record, links []*link, cutFor, lateBy time.Duration) {
	rec.line("the workers are cut off from the keepers")
	begun := time.Now()
	for _, l := range links {
		l.setCut(true)
	}
	time.Sleep(2500 * time.Millisecond)
	var all sync.WaitGroup
	for _, w := range f.workers {
		all.Go(func() {
			w.kill()
			time.Sleep(time.Second)
			w.options.ID += "b"
			w.start()
		})
	}
	all.Wait()
	rec.line("all workers have crashed and started again behind the cut")
	time.Sleep(cutFor - time.Since(begun))
	for _, l := range links {
		l.setCut(false)
	}
	rec.line("the cut has ended")
	time.Sleep(lateBy)
	n := 0
	for _, l := range links {
		n += l.deliver()
	}
	rec.line("%d calls that were sent into the cut have arrived", n)
}
