package pooler

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/relayer"
)

// delayedLink is a link with a queue.
type delayedLink struct{ delay time.Duration }

func (delayedLink) Sent(time.Time, int)             {}
func (delayedLink) Received(time.Time, int)         {}
func (l delayedLink) Delay(time.Time) time.Duration { return l.delay }

type noRelays struct{}

func (noRelays) Dial(context.Context, relayer.Target) (*relayer.Conn, error) {
	return nil, relayer.ErrNoRelay
}

// streamWithPause answers with an event, waits, and sends another one.
func streamWithPause(t *testing.T, pause time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
		time.Sleep(pause)
		_, _ = io.WriteString(c, "cd")
	}()
	return l.Addr().String()
}

// Bytes of an endpoint wait at this router's own link, and new connections time out there. Guards against an answer that is cut
// off because the path to its endpoint is taken for lost.
func TestAnswersThatWaitAtTheRoutersLinkAreNotCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	const delay = 1400 * time.Millisecond
	p := New(func(http.Header, string) AnswerMatch { return MatchOwn }, func() {})
	p.UseRelays(noRelays{})
	target := Target{ID: "e", Address: streamWithPause(t, delay), Service: "s", MaxConnections: 8}
	a, err := p.Exchange(t.Context(), target, &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, ID: "r", Repeatable: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer a.Close()
	a.BeginPart(true)
	p.UseLink(delayedLink{delay})
	p.UseDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	for range 2 {
		p.paths.Failed(p.now(), target.ID)
	}
	g.Expect(p.paths.Relayed(p.now(), target.ID)).To(gomega.BeTrue(), "two connections timed out, and another router has opened one")
	go p.MaintainPaths(t.Context())
	body, err := io.ReadAll(a.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("abcd"))
}
