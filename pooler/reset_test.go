package pooler_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/pooler"
)

// earlyHead is the head of an answer without length.
const earlyHead = "HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: r\r\n\r\n"

// answersEarly starts an endpoint that answers before it has read the body of a request, and then ends the connection
// with a function. It returns its address and a channel that is closed after that.
func answersEarly(t *testing.T, answer string, end func(*net.TCPConn)) (string, <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err = http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		// The upload fills the buffers, and its sender waits.
		time.Sleep(50 * time.Millisecond)
		end(c.(*net.TCPConn))
	}()
	return l.Addr().String(), ended
}

// reset ends a connection so that the other side gets an error.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against an answer without length that counts as whole although its connection was reset: the upload
// that is being written takes the error, and the reader sees an end.
func TestUnframedAnswerThatIsResetUnderItsUploadIsNotComplete(t *testing.T) {
	for name, x := range map[string]struct {
		upload int
		end    func(*net.TCPConn)
		whole  bool
	}{
		"short upload, reset":                {100, reset, false},
		"upload in the buffers, reset":       {32 << 10, reset, false},
		"upload under way, reset":            {16 << 20, reset, false},
		"upload under way, end":              {16 << 20, func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(100 * time.Millisecond) }, true},
		"upload under way, end, then reset":  {16 << 20, func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(10 * time.Millisecond); reset(c) }, true},
		"upload in the buffers, end":         {32 << 10, func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(10 * time.Millisecond) }, true},
		"upload read after the answer's end": {16 << 20, func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			address, ended := answersEarly(t, earlyHead+"part", x.end)
			p := pooler.New(platform.ClassifyResponse, func() {})
			a, err := p.Exchange(t.Context(), pooler.Target{ID: "e", Address: address, MaxConnections: 1}, &pooler.Request{
				Method: "POST", URI: "/", Host: "h", ID: "r", Header: http.Header{"Rattanhoist-Request-Id": {"r"}}, Body: []byte(strings.Repeat("x", x.upload)),
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer a.Close()
			g.Expect(a.CloseDelimited).To(gomega.BeTrue())
			if !x.whole {
				// The writer takes note of the reset before the reader.
				<-ended
				time.Sleep(100 * time.Millisecond)
			}
			body, err := io.ReadAll(a.Body)
			g.Expect(a.Complete()).To(gomega.Equal(x.whole))
			if !x.whole {
				g.Expect(err).To(gomega.HaveOccurred())
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(body)).To(gomega.Equal("part"))
		})
	}
}
