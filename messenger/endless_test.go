package messenger

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
)

// Frames of HTTP/2: a type, flags and a stream.
const (
	clientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaders  = 1
	frameSettings = 4
	framePing     = 6
	frameContinue = 9
)

// frame returns an HTTP/2 frame.
func frame(kind, stream byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n >> 16), byte(n >> 8), byte(n), kind, 0, 0, 0, 0, stream}) + payload
}

// headerField is an encoded header field that is not indexed, with a value of a hundred bytes.
var headerField = "\x00\x01x\x64" + strings.Repeat("y", 100)

// peerInTrouble accepts connections, and writes a beginning and then a part again and again.
func peerInTrouble(t *testing.T, begin, part string, pause time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
			go func() {
				defer c.Close()
				// The client's settings and first call come before.
				time.Sleep(50 * time.Millisecond)
				for _, err := io.WriteString(c, begin); err == nil; _, err = io.WriteString(c, part) {
					time.Sleep(pause)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a keeper or router in trouble whose bytes are held by the process that calls it, or
// keep the call waiting beyond its time.
func TestAnswerOfAPeerWithoutEndIsBounded(t *testing.T) {
	settings := frame(frameSettings, 0, "")
	for name, x := range map[string]struct{ begin, part string }{
		"bytes": {"", "x"}, "HTTP/1.1": {"HTTP/1.1 200 OK\r\n", "X: y\r\n"}, "settings": {"", settings}, "pings": {settings, frame(framePing, 0, "12345678")},
		"headers":      {settings + frame(frameHeaders, 1, "\x88"), frame(frameContinue, 1, strings.Repeat(headerField, 100))},
		"no such call": {settings, frame(0, 99, "x")},
	} {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(name+" "+pause.String(), func(t *testing.T) {
				g := gomega.NewWithT(t)
				var received atomic.Int64
				part := x.part
				if pause == 0 {
					part = strings.Repeat(part, max(4096/len(part), 1))
				}
				address := peerInTrouble(t, x.begin, part, pause)
				l := NewLinkWithDialer(address, func(ctx context.Context, address string) (net.Conn, error) {
					c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
					return &countingConn{Conn: c, received: &received}, err
				})
				defer l.Close()
				runtime.GC()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				begun := time.Now()
				err := l.Call(t.Context(), 400*time.Millisecond, func(ctx context.Context, k FleetKeeperClient) error {
					_, err := k.Sync(ctx, &SyncRequest{})
					return err
				})
				took := time.Since(begun)
				runtime.GC()
				runtime.ReadMemStats(&after)
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(took).To(gomega.BeNumerically("<", 700*time.Millisecond))
				if name == "headers" {
					g.Expect(received.Load()).To(gomega.BeNumerically("<", 2<<20))
				}
				g.Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(gomega.BeNumerically("<", 8<<20))
			})
		}
	}
}

// Guards against connections to a process's internal port that hold a descriptor, or memory, without end.
func TestCallOfAPeerWithoutEndIsBounded(t *testing.T) {
	s := NewFleetServer(zap.NewNop())
	RegisterFleetKeeperServer(s, &UnimplementedFleetKeeperServer{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	settings := clientPreface + frame(frameSettings, 0, "")
	for name, x := range map[string]struct{ begin, part string }{
		"bytes": {"", "x"}, "HTTP/1.1": {"", "GET / HTTP/1.1\r\n"}, "no settings": {clientPreface, ""}, "nothing": {"", ""},
		"headers": {settings + frame(frameHeaders, 1, "\x83"), frame(frameContinue, 1, strings.Repeat(headerField, 100))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			c, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer c.Close()
			g.Expect(c.SetDeadline(time.Now().Add(15 * time.Second))).To(gomega.Succeed())
			written := make(chan int, 1)
			go func() {
				n, err := io.WriteString(c, x.begin)
				for err == nil && x.part != "" {
					var k int
					k, err = io.WriteString(c, x.part)
					n += k
				}
				written <- n
			}()
			_, err = io.Copy(io.Discard, c)
			g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeFalse(), "the connection is still open")
			n := <-written
			g.Expect(n).To(gomega.BeNumerically("<", 9<<20))
		})
	}
}
