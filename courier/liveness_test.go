package courier

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// listen returns an address whose connections are handled by a function; nil refuses them.
func listen(t *testing.T, handle func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if handle == nil {
		_ = l.Close()
		return l.Addr().String()
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return l.Addr().String()
}

// answers returns a handler that answers as an instance.
func answers(instance string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1024))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRattanhoist-Instance-Id: "+instance+"\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
	}
}

// Guards against an answer without length that counts as whole although its endpoint has ended: a process
// that is being ended accepts or resets connections for a moment, and another one may start in its place.
func TestOnlyAnAnswerShowsThatAnEndpointIsAlive(t *testing.T) {
	reset := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	// An unreachable connection would be closed by its finalizer.
	waits := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	for name, x := range map[string]struct {
		handle   func(net.Conn)
		replaced bool
		relayed  func(net.Conn)
		alive    bool
	}{
		"answers":                             {handle: answers("a"), alive: true},
		"accepts and closes":                  {handle: func(c net.Conn) { _ = c.Close() }},
		"accepts and resets":                  {handle: reset},
		"refuses":                             {},
		"another instance":                    {handle: answers("b")},
		"lets the check wait":                 {handle: waits, alive: true},
		"lets it wait, and was replaced":      {handle: waits, replaced: true},
		"refuses, but answers another router": {relayed: answers("a"), alive: true},
		"refuses, and was replaced":           {relayed: answers("b")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLivenessChecks(zap.NewNop(), func([]quarantiner.Crash) {})
			l.probe = platform.ProbeInstance
			l.replaced = func(enroller.Heartbeat) bool { return x.replaced }
			if x.relayed != nil {
				relay := listen(t, x.relayed)
				l.dialRelay = func(ctx context.Context, _ enroller.Heartbeat) (io.ReadWriteCloser, error) { return l.dial(ctx, relay) }
			}
			e := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a", BornMS: 3}, Address: listen(t, x.handle)})
			began := time.Now()
			gomega.NewWithT(t).Expect(l.IsAlive(t.Context(), e, "/health", time.Now())).To(gomega.Equal(x.alive))
			gomega.NewWithT(t).Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*aliveCheckTimeout))
		})
	}
}

// Guards against an answer without length that counts as whole although its endpoint has ended, as it has
// started again under the same id by the time of the check.
func TestEndpointThatStartedAgainUnderItsIdIsNotTheOneThatEnded(t *testing.T) {
	open := func(handle func(net.Conn)) io.ReadWriteCloser {
		c, err := net.Dial("tcp", listen(t, handle))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	closes := func(c net.Conn) { _ = c.Close() }
	for name, x := range map[string]struct {
		idle    []func(net.Conn)
		pending bool
		alive   bool
	}{
		"an open connection answers":             {idle: []func(net.Conn){answers("a")}, pending: true, alive: true},
		"one was closed, another answers":        {idle: []func(net.Conn){closes, answers("a")}, alive: true},
		"all that were open are closed":          {idle: []func(net.Conn){closes, closes}},
		"none was open, others were broken off":  {pending: true},
		"none was open, nothing else was broken": {alive: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			l := newLivenessChecks(zap.NewNop(), func([]quarantiner.Crash) {})
			l.probe = platform.ProbeInstance
			e := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a", BornMS: 3}, Address: listen(t, answers("a"))})
			since := time.Now()
			l.takeIdle = func(endpoint string, before time.Time) io.ReadWriteCloser {
				g.Expect(endpoint).To(gomega.Equal(e.Name()))
				g.Expect(before).To(gomega.Equal(since))
				if len(x.idle) == 0 {
					return nil
				}
				c := open(x.idle[0])
				x.idle = x.idle[1:]
				return c
			}
			if x.pending {
				l.pending[e.Beat().Incarnation] = []quarantiner.Crash{{}}
			}
			g.Expect(l.IsAlive(t.Context(), e, "/health", since)).To(gomega.Equal(x.alive))
		})
	}
}
