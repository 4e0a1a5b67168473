package courier_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// silentPeerInterval is the time between two connections that bring nothing.
const silentPeerInterval = 200 * time.Millisecond

// connectSilently opens connections to an address that bring nothing, until the test ends.
func connectSilently(t *testing.T, address string) {
	end := make(chan struct{})
	var done sync.WaitGroup
	t.Cleanup(func() { close(end); done.Wait() })
	done.Go(func() {
		var open []net.Conn
		for {
			if c, err := net.Dial("tcp", address); err == nil {
				open = append(open, c)
			}
			select {
			case <-end:
				for _, c := range open {
					_ = c.Close()
				}
				return
			case <-time.After(silentPeerInterval):
			}
		}
	})
}

// Guards against a process that is killed at the end of its grace period because it waits for connections at its port
// for other processes that bring nothing.
func TestProcessesStopBesideSilentPeers(t *testing.T) {
	t.Parallel()
	x, g := startStopCluster(t, 48)
	connectSilently(t, x.ip(4)+":7340")
	connectSilently(t, x.ip(3)+":7340")
	time.Sleep(time.Second)
	x.stopRouter()
	begun := time.Now()
	x.stop("keeper3")
	if d := time.Since(begun); d > 2*time.Second {
		t.Errorf("a keeper, which has no callers, ended after %s", d)
	}
	g.Expect(<-x.ended).To(gomega.BeNumerically("<", endGrace), "a router without requests")
}
