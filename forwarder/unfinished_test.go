package forwarder_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/publisher"
)

// Guards against the same endpoint if it sends slowly: its requests end by their time limit, which says
// nothing about an endpoint that is only slow, but an answer was begun and never came to an end.
func TestEndpointWhoseAnswersNeverEndSlowlyIsEjected(t *testing.T) {
	for path, answers := range map[string]map[string]endlessAnswer{"/once/x": merge(endlessHeads, endlessBodies), "/stream/x": endlessEvents} {
		for name, x := range answers {
			if name == "stray answer" {
				// It shows nothing about this request's own answer.
				continue
			}
			t.Run(path+" "+name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				w := newTestRouter(t, newEndpoint(t, endlessly(x.begin, x.part, 20*time.Millisecond)))
				for range 3 {
					begun := time.Now()
					a := w.send(t, "POST", path, "b", "Rattanhoist-Deadline-Ms", "1200")
					expectUnanswered(g, a)
					g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 1500*time.Millisecond))
				}
				g.Expect(w.table.Endpoints("engine")[0].Gate().Ejected()).To(gomega.BeTrue())
			})
		}
	}
}

// Guards against ejecting an endpoint whose requests run longer than their callers wait.
func TestEndpointThatIsOnlySlowIsNotEjected(t *testing.T) {
	for path, begin := range map[string]string{
		"/once/x": "", "/once/interim": "HTTP/1.1 102 Processing\r\n\r\n", "/once/head": unframedHead,
		"/stream/x": streamHead, "/resume/x": streamHead + event("1"), "/resume/many": streamHead + event("1") + event("2"),
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			w := newTestRouter(t, newEndpoint(t, func(c net.Conn, r *http.Request, b string) bool {
				if begin != "" {
					responds(begin)(c, r, b)
				}
				_, _ = c.Read(make([]byte, 1))
				return false
			}))
			for range 4 {
				w.send(t, "POST", path, "b", "Rattanhoist-Deadline-Ms", "700")
			}
			g.Expect(w.table.Endpoints("engine")[0].Gate().Ejected()).To(gomega.BeFalse())
		})
	}
}

// Guards against breaking off a sound stream between two events: the end of a chunk may come after the
// event that it ends, and the next event after a long pause.
func TestPauseAfterTheEndOfAChunkBreaksNothingOff(t *testing.T) {
	g := gomega.NewWithT(t)
	chunked := event("1")
	data, end := chunked[:len(chunked)-2], chunked[len(chunked)-2:]
	w := newTestRouterWith(t, slowDocument(), func(*forwarder.Dependencies) {}, func(int) string { return "z" },
		newEndpoint(t, func(c net.Conn, r *http.Request, b string) bool {
			responds(streamHead, data)(c, r, b)
			time.Sleep(50 * time.Millisecond)
			responds(end)(c, r, b)
			time.Sleep(2800 * time.Millisecond)
			return responds(event("2")[:9], event("2")[9:], streamEnd)(c, r, b)
		}))
	a := w.send(t, "POST", "/resume/x", "b", "Rattanhoist-Deadline-Ms", "9000")
	g.Expect(a.err).NotTo(gomega.HaveOccurred())
	g.Expect(a.body).To(gomega.Equal(plainEvent1 + plainEvent2))
}

// slowDocument returns a document whose routes have longer timeouts than any part of an answer.
func slowDocument() *publisher.Document {
	d := document()
	for i := range d.Routes {
		d.Routes[i].Timeout = 9 * time.Second
	}
	return d
}
