package forwarder_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// endlessEvents are bodies of streams that come to no end of an event.
var endlessEvents = map[string]endlessAnswer{
	"lines":                  {streamHead, "2\r\nx\n\r\n"},
	"empty lines":            {streamHead, "1\r\n\n\r\n"},
	"line":                   {streamHead, "1\r\nx\r\n"},
	"lines without length":   {unframedStream, "data: x\n"},
	"garbage without length": {unframedStream, "\x00"},
	"lines after an event":   {streamHead + event("1"), "2\r\nx\n\r\n"},
}

// Guards against a router that holds lines of an event without end until its process is ended for its
// memory, or spends its processor on them.
func TestEventWithoutEndIsBoundedAndBrokenOff(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		for name, x := range endlessEvents {
			t.Run(path+" "+name, func(t *testing.T) { expectBrokenOff(t, path, x) })
		}
	}
}

// Guards against a resumable stream that ends, although another endpoint could go on with it, because the
// first one sends lines without end after a whole event.
func TestStreamIsResumedAfterLinesWithoutEnd(t *testing.T) {
	x := endlessEvents["lines after an event"]
	for range 40 {
		g := gomega.NewWithT(t)
		bad, good := newEndpoint(t, endlessly(x.begin, x.part, 0)), newEndpoint(t, responds(streamHead, event("2"), streamEnd))
		w := newTestRouter(t, bad, good)
		a := w.send(t, "POST", "/resume/x", "b", "Rattanhoist-Token-Usage", "10,20")
		if len(bad.requests()) == 0 {
			continue
		}
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		g.Expect(a.body).To(gomega.Equal(plainEvent1 + plainEvent2))
		return
	}
	t.Fatal("the endpoint in trouble was never chosen")
}

// Guards against an event that is passed on, and counts as whole, before its end: one of its lines is as
// long as the buffer, so that the line's end looks like the empty line after an event.
func TestEventWithALineOfTheBufferSizeIsWhole(t *testing.T) {
	for _, length := range []int{4095, 4096, 4097, 8192} {
		g := gomega.NewWithT(t)
		line := "data: " + strings.Repeat("x", length-len("data: "))
		whole := "id: 1\n" + line + "\ndata: y\n\n"
		first := newEndpoint(t, responds(unframedStream, "id: 1\n"+line+"\n", "reset"))
		w := newTestRouter(t, first)
		a := w.send(t, "POST", "/resume/x", "b", "Rattanhoist-Token-Usage", "10,20")
		g.Expect(a.status).To(gomega.Equal(502), "%d: no event is whole", length)
		w = newTestRouter(t, newEndpoint(t, responds(unframedStream, whole, "close")))
		a = w.send(t, "POST", "/resume/x", "b", "Rattanhoist-Token-Usage", "10,20")
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		g.Expect(a.body).To(gomega.Equal(whole))
	}
}
