package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against an answer that looks whole although its endpoint stopped in the middle of its head: at any
// place, with any framing, after interim answers, on a new connection or a used one, with a regular
// end of the connection or a reset; for plain requests, streams, and streams that are resumed by the
// router or by the caller.
func TestAnswerWithABrokenHeadIsNeverASuccess(t *testing.T) {
	heads := map[string]string{
		"length":       headOK + "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n",
		"short length": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + signature + ": s1\r\nRattanhoist-Request-Id: ID\r\n\r\n",
		"chunked":      streamHead,
		"no length":    unframedStream,
	}
	before := map[string]string{
		"":                 "",
		"after continue":   "HTTP/1.1 100 Continue\r\n\r\n",
		"after hints":      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
		"after processing": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
	}
	for name, head := range heads {
		for interim, text := range before {
			for _, end := range []string{"close", "reset"} {
				t.Run(strings.TrimSpace(name+" "+interim+" "+end), func(t *testing.T) {
					t.Parallel()
					examineBrokenHeads(t, text, head, end)
				})
			}
		}
	}
}

// examineBrokenHeads cuts a head off at each place but its end.
func examineBrokenHeads(t *testing.T, interim, head, end string) {
	cut, used := 0, false
	e := newEndpoint(t, func(c net.Conn, r *http.Request, _ string) bool {
		whole := interim + strings.ReplaceAll(head, "ID", r.Header.Get("Rattanhoist-Request-Id"))
		switch {
		case r.URL.Path == "/read/first":
			return responds(answerOK)(c, r, "")
		case r.Header.Get("Last-Event-Id") == "" && strings.HasPrefix(r.URL.Path, "/resume/"):
			return responds(streamHead, event("1"), event("2"), "reset")(c, r, "")
		}
		_, _ = io.WriteString(c, whole[:min(cut, len(whole)-1)])
		return responds(end)(c, r, "")
	})
	w := newTestRouter(t, e)
	sent := 0
	for _, path := range []string{"/read/x", "/once/x", "/stream/x", "/resume/x"} {
		// Every place in the head, and a few in the interim answers.
		for cut = 0; cut < len(interim)+len(head); cut++ {
			if cut < len(interim) && cut%7 != 0 {
				continue
			}
			if used = cut%2 == 0; used {
				_ = w.send(t, "GET", "/read/first", "")
			}
			a := w.send(t, "POST", path, "b")
			sent++
			expectBroken(t, a, path, cut)
			if path == "/resume/x" {
				a = w.send(t, "POST", path, "b", "Last-Event-Id", "2", "Resumes", "r1", "Rattanhoist-Request-Id", "later")
				expectBroken(t, a, path+" by the caller", cut)
			}
		}
	}
	gomega.NewWithT(t).Expect(len(e.requests())).To(gomega.BeNumerically(">=", sent), "the endpoint is not left out")
}

// expectBroken checks that a caller can't take an answer for a whole success.
func expectBroken(t *testing.T, a response, what string, cut int) {
	g := gomega.NewWithT(t)
	if a.err == nil {
		g.Expect(a.status).To(gomega.BeNumerically(">=", 500), "%s, %d bytes: %q", what, cut, a.body)
		g.Expect(a.header.Get(signature)).To(gomega.BeEmpty(), "%s, %d bytes", what, cut)
	}
}
