package pooler_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/pooler"
)

// answers starts an endpoint that answers each request with a text and keeps its connection.
func answers(t *testing.T, answer string) string {
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
			go func() {
				defer c.Close()
				b := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(b); err != nil {
						return
					}
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return l.Addr().String()
}

const ownID = "Rattanhoist-Request-Id: r\r\n"

// exchangeOnce sends a request to an endpoint that gives an answer.
func exchangeOnce(t *testing.T, answer string) (a *pooler.Answer, took time.Duration, err error) {
	p := pooler.New(platform.ClassifyResponse, func() {})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	t.Cleanup(cancel)
	begun := time.Now()
	a, err = p.Exchange(ctx, pooler.Target{ID: "e", Address: answers(t, answer), MaxConnections: 1}, &pooler.Request{
		Method: "POST", URI: "/", Host: "h", ID: "r", Header: http.Header{"Rattanhoist-Request-Id": {"r"}},
	})
	return a, time.Since(begun), err
}

// Guards against an answer whose status is none and that is taken for an answer, or for one that another follows.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-10", "20", "0", "1000", "2000", "2xx", "101", "600", "799", "999"} {
		for name, rest := range map[string]string{
			"empty": "Content-Length: 0\r\n\r\n", "body": "Content-Length: 5\r\n\r\nhello", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"answer as its body": "Content-Length: 64\r\n\r\nHTTP/1.1 200 OK\r\n" + ownID + "Content-Length: 0\r\n\r\n", "no length": "\r\n",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				a, took, err := exchangeOnce(t, "HTTP/1.1 "+status+" X\r\n"+ownID+rest)
				g.Expect(err).To(gomega.MatchError(pooler.ErrMayHaveRun))
				g.Expect(a).To(gomega.BeNil())
				g.Expect(took).To(gomega.BeNumerically("<", 400*time.Millisecond), "nothing is awaited that does not follow")
			})
		}
	}
}

// Guards against an interim answer with a body, in which another answer may stand.
func TestInterimAnswerWithABodyIsNoAnswer(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\n" + ownID + "Content-Length: 0\r\n\r\n"
	for name, interim := range map[string]string{
		"length": "HTTP/1.1 103 Early Hints\r\nContent-Length: 64\r\n\r\n", "chunks": "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, _, err := exchangeOnce(t, interim+inner)
			g.Expect(err).To(gomega.MatchError(pooler.ErrMayHaveRun))
			g.Expect(a).To(gomega.BeNil())
		})
	}
}

// Guards against answers that are left out because their status, or an interim answer before them, is unusual.
func TestUnusualStatusesAreAnswers(t *testing.T) {
	for _, x := range []struct {
		answer string
		status int
	}{
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + ownID + "Content-Length: 0\r\n\r\n", 200},
		{"HTTP/1.1 199 X\r\n\r\nHTTP/1.1 299 X\r\n" + ownID + "Content-Length: 0\r\n\r\n", 299},
		{"HTTP/1.1 204 No Content\r\n" + ownID + "\r\n", 204},
		{"HTTP/1.1 200\r\n" + ownID + "Content-Length: 0\r\n\r\n", 200},
		{"HTTP/1.1 599 X\r\n" + ownID + "Content-Length: 0\r\n\r\n", 599},
		{"HTTP/1.1 418 X\r\n" + ownID + "Content-Length: 0\r\n\r\n", 418},
	} {
		g := gomega.NewWithT(t)
		a, _, err := exchangeOnce(t, x.answer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(a.Status).To(gomega.Equal(x.status))
		a.Close()
	}
}
