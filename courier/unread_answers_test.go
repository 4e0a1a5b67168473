package courier_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// sendUnread sends a request whose answer is never read.
func (f *cluster) sendUnread(n int, path, id string) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.Dial("tcp", f.serveAddress(n))
	if err != nil {
		return
	}
	f.t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nApi-Key: k\r\nRattanhoist-Request-Id: %s\r\nRattanhoist-Token-Usage: 1,1\r\nContent-Length: 4\r\n\r\nbody", path, id)
}

// firstServed returns how long it takes until an ordinary request is served, and what was answered before.
func (f *cluster) firstServed(n int, path string) (time.Duration, map[int]int) {
	begun, statuses := time.Now(), map[int]int{}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; time.Since(begun) < 8*time.Second; i++ {
		q, _ := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.serveAddress(n)+path, bytes.NewReader([]byte("body")))
		q.Host = "a.example"
		q.Header.Set("Api-Key", "k")
		q.Header.Set("Rattanhoist-Request-Id", fmt.Sprint("ordinary", i))
		q.Header.Set("Rattanhoist-Token-Usage", "1,1")
		a, err := client.Do(q)
		if err != nil {
			statuses[0]++
		} else {
			_ = a.Body.Close()
			statuses[a.StatusCode]++
			if a.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begun), statuses
}

// Callers send requests, and do not read the answers. Guards against a port that they hold for as long as their requests may take.
func TestCallersThatReadNothingLeaveRoomForOthers(t *testing.T) {
	f, g := startCluster(t, 43)
	f.publish(g, 1, endDocument(2))
	// A port for some thirty connections.
	f.routerWith(4, "max_fds = 260")
	f.startLongEngine("i-1")
	f.awaitServing(g, 4)
	for i := range 40 {
		f.sendUnread(4, "/stream/x", fmt.Sprint("u", i))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	took, statuses := f.firstServed(4, "/stream/x")
	t.Logf("served after %v, statuses %v", took, statuses)
	g.Expect(took).To(gomega.BeNumerically("<", time.Second), "%v", statuses)
}
