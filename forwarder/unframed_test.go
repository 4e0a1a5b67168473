package forwarder_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	unframedHead   = headOK + "\r\n"
	unframedStream = headOK + "Content-Type: text/event-stream\r\n\r\n"
	plainEvent1    = "id: 1\ndata: x\n\n"
	plainEvent2    = "id: 2\ndata: x\n\n"
)

// endsAfter answers, stops listening and closes the connection regularly, as an endpoint that crashes.
func endsAfter(e **endpoint, parts ...string) script {
	return func(c net.Conn, r *http.Request, b string) bool {
		responds(parts...)(c, r, b)
		_ = (*e).listener.Close()
		return false
	}
}

// Guards against an answer without length and chunks that looks complete to its caller, and counts
// as an answer, although its endpoint crashed and the system closed the connection regularly.
func TestUnframedAnswerOfAnEndpointThatEndedIsBrokenOff(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		parts []string
	}{
		"plain":                        {"/once/x", []string{unframedHead, "hel"}},
		"stream, between events":       {"/stream/x", []string{unframedStream, plainEvent1}},
		"stream, inside an event":      {"/stream/x", []string{unframedStream, plainEvent1, "id: 2\nda"}},
		"stream, before its first end": {"/stream/x", []string{unframedStream, "id: 1\ndata: x\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var e *endpoint
			e = newEndpoint(t, endsAfter(&e, c.parts...))
			w := newTestRouter(t, e)
			a := w.send(t, "POST", c.path, "b", withParts("5c:5")...)
			if a.err == nil {
				g.Expect(a.status).To(gomega.Equal(502), "%q", a.body)
			}
			g.Eventually(w.quarantine.brokenCount, time.Second).Should(gomega.Equal(1))
			g.Expect(w.quarantine.answeredCount()).To(gomega.BeZero())
		})
	}
}

// Guards against a resumable stream without length and chunks that ends early for its caller, although
// another endpoint could go on.
func TestUnframedStreamOfAnEndpointThatEndedIsResumed(t *testing.T) {
	g := gomega.NewWithT(t)
	for range maxDraws {
		var e *endpoint
		e = newEndpoint(t, endsAfter(&e, unframedStream, plainEvent1))
		other := newEndpoint(t, responds(unframedStream, plainEvent2, "close"))
		w := newTestRouter(t, e, other)
		a := w.send(t, "POST", "/resume/x", "b", "Rattanhoist-Token-Usage", "10,20")
		if len(e.requests()) == 0 {
			continue
		}
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		g.Expect(a.body).To(gomega.Equal(plainEvent1 + plainEvent2))
		return
	}
	t.Fatal("the endpoint that ends was never chosen")
}

// Guards against requests of a service whose answers have no length: none would count as answered, so
// that all their prompt parts look as if endpoints crashed under them, and their endpoints as failed.
func TestUnframedAnswerOfASoundEndpointIsComplete(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		parts      []string
	}{
		"plain":  {"/once/x", "hello", []string{unframedHead, "hello", "close"}},
		"stream": {"/stream/x", plainEvent1 + plainEvent2, []string{unframedStream, plainEvent1, plainEvent2, "close"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := newEndpoint(t, responds(c.parts...))
			w := newTestRouter(t, e)
			begun := time.Now()
			a := w.send(t, "POST", c.path, "b", withParts("5c:5")...)
			g.Expect(a.err).NotTo(gomega.HaveOccurred())
			g.Expect(a.status).To(gomega.Equal(200))
			g.Expect(a.body).To(gomega.Equal(c.body))
			g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 300*time.Millisecond))
			g.Eventually(w.quarantine.answeredCount, time.Second).Should(gomega.Equal(1))
			g.Expect(w.quarantine.brokenCount()).To(gomega.BeZero())
		})
	}
}

// Guards against an answer that is reset and looks complete because it has no length.
func TestUnframedAnswerThatIsResetIsBrokenOff(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		parts []string
	}{
		"plain":  {"/once/x", []string{unframedHead, "hel", "reset"}},
		"stream": {"/stream/x", []string{unframedStream, plainEvent1, "reset"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newTestRouter(t, newEndpoint(t, responds(c.parts...)))
			a := w.send(t, "POST", c.path, "b")
			if a.err == nil {
				g.Expect(a.status).To(gomega.Equal(502))
			}
			g.Eventually(w.quarantine.brokenCount, time.Second).Should(gomega.Equal(1))
			g.Expect(w.quarantine.answeredCount()).To(gomega.BeZero())
		})
	}
}
