package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a request that is refused before its body is read, and whose caller sends the body slowly
// and without end: it gets no answer, and holds a connection and a handler for as long as it likes.
func TestRefusalOfABodyWithoutEndIsAnswered(t *testing.T) {
	for name, head := range map[string]string{
		"no route":    "POST /none/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\n",
		"unknown key": "POST /once/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: none\r\n",
		"overloaded":  "POST /once/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\n",
	} {
		for framing, x := range map[string]struct{ header, part string }{
			"chunks": {"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}, "length": {"Content-Length: 200000\r\n\r\n", "x"},
			"chunk extension": {"Transfer-Encoding: chunked\r\n\r\n1;", "x"}, "trailers": {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		} {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				w := newTestRouter(t, newEndpoint(t, responds(answerOK)))
				w.admission.full = name == "overloaded"
				c, err := net.Dial("tcp", w.server.Listener.Addr().String())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				t.Cleanup(func() { _ = c.Close() })
				_, err = io.WriteString(c, head+x.header)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				go func() {
					for err := error(nil); err == nil; _, err = io.WriteString(c, x.part) {
						time.Sleep(20 * time.Millisecond)
					}
				}()
				g.Expect(c.SetReadDeadline(time.Now().Add(3 * time.Second))).To(gomega.Succeed())
				b := bufio.NewReader(c)
				a, err := http.ReadResponse(b, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(a.StatusCode).To(gomega.BeElementOf(401, 404, 503))
				g.Expect(a.Close).To(gomega.BeTrue(), "what follows is no request")
				_, err = io.Copy(io.Discard, a.Body)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = b.ReadByte()
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(os.IsTimeout(err)).To(gomega.BeFalse(), "the connection is closed")
			})
		}
	}
}

// Guards against a connection that is closed after a refusal although its whole request was read.
func TestRefusalKeepsTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(answerOK)))
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	b := bufio.NewReader(c)
	for _, path := range []string{"/none/x", "/once/x", "/none/x", "/once/x"} {
		_, err = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\nRattanhoist-Request-Id: r\r\nContent-Length: 4\r\n\r\nbody")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		a, err := http.ReadResponse(b, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(a.Close).To(gomega.BeFalse())
		_, err = io.Copy(io.Discard, a.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(700 * time.Millisecond)
	}
}
