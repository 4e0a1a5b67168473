package pooler_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/pooler"
)

// maxSilence is how long a sound endpoint may say nothing and acknowledge nothing.
const maxSilence = 2 * time.Second

// silentEndpoint accepts a connection, says nothing for a while and then answers the request.
func silentEndpoint(t *testing.T, silence time.Duration) string {
	// A small receive buffer, so that the window is closed during the silence.
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	l, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
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
			go answerAfter(c, silence)
		}
	}()
	return l.Addr().String()
}

func answerAfter(c net.Conn, silence time.Duration) {
	defer c.Close()
	time.Sleep(silence)
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// Guards against breaking off a request because a sound endpoint falls silent while it should read
// the body: the closed window counts against TCP_USER_TIMEOUT, though every probe is acknowledged.
func TestSilenceBreaksNothingOff(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pooler.New(func(http.Header, string) pooler.AnswerMatch { return pooler.MatchOwn }, func() {})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := p.Exchange(ctx, pooler.Target{ID: "e", Address: silentEndpoint(t, maxSilence), MaxConnections: 1},
		&pooler.Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20), ID: "r"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(a.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("ok"))
	a.Close()
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// Guards against options that together end a connection sooner than each of them tells: where
// TCP_USER_TIMEOUT is set, Linux gives up keepalive probes once that much time has passed since
// bytes last came, whatever their count. Those may have come up to the idle time before the silence.
func TestKeepAliveOutlastsSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	c, err := pooler.DialDirect(t.Context(), silentEndpoint(t, 0))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	option := func(name int) int {
		var v int
		g.Expect(raw.Control(func(fd uintptr) { v, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name) })).To(gomega.Succeed())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return v
	}
	userTimeout := time.Duration(option(tcpUserTimeout)) * time.Millisecond
	idle := time.Duration(option(syscall.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(syscall.TCP_KEEPINTVL)) * time.Second
	end := idle
	for end < userTimeout || end == idle {
		end += interval
	}
	g.Expect(end-idle).To(gomega.BeNumerically(">=", maxSilence), "user timeout %v, idle %v, interval %v", userTimeout, idle, interval)
	g.Expect(end).To(gomega.BeNumerically("<=", 4*time.Second), "a peer that is gone is found in time")
}
