package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// withParts returns the header of a request with shared prompt parts and one of its own.
func withParts(parts string, header ...string) []string {
	return append([]string{"Rattanhoist-Token-Usage", "10,20", "Rattanhoist-Prompt-Prefix", parts + ",e4:1"}, header...)
}

// Guards against a request with a held prompt part that is sent to an endpoint or charged, and
// against an answer that does not tell the part from the whole request.
func TestRequestWithHeldPartIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newTestRouter(t, e)
	w.quarantine.heldFor, w.quarantine.heldPart = 40*time.Second, 0x5c
	for _, parts := range []string{"5c:5", "91:1,005C:800,77:1", "91:1,5c:2,5c:2"} {
		a := w.send(t, "POST", "/read/x", "b", withParts(parts)...)
		g.Expect(a.status).To(gomega.Equal(503), parts)
		g.Expect(a.body).To(gomega.Equal("held back: endpoints ended under requests with its prompt part 5c\n"))
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(after).To(gomega.BeNumerically(">=", 40))
	}
	a := w.send(t, "POST", "/read/x", "b", "Rattanhoist-Prompt-Prefix", "5c:5,e4:1")
	g.Expect(a.status).To(gomega.Equal(503), "without token counts")
	g.Expect(e.requests()).To(gomega.BeEmpty())
	g.Expect(w.rights.settled()).To(gomega.BeEmpty(), "no tokens are reserved for it")
	for _, parts := range []string{"91:1", "5d:1", "91:1,5c"} {
		g.Expect(w.send(t, "POST", "/read/x", "b", withParts(parts)...).status).To(gomega.Equal(200), parts)
	}
	g.Expect(w.send(t, "POST", "/read/x", "b", "Rattanhoist-Token-Usage", "1,1", "Rattanhoist-Prompt-Prefix", "91:1,5c:1").status).To(gomega.Equal(200), "its own last part")
	held := w.logged.FilterFieldKey("held_part").All()
	g.Expect(held).To(gomega.HaveLen(4))
	g.Expect(held[0].ContextMap()["parts"]).To(gomega.Equal([]any{"5c"}))
}

// Guards against a request that crashes an endpoint after it was held back, because it was already
// waiting for a connection then.
func TestPartIsHeldBackWhileTheConnectionOpens(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newTestRouter(t, e)
	w.pool.UseDialer(func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(100 * time.Millisecond)
		return pooler.DialDirect(ctx, address)
	})
	go func() {
		time.Sleep(30 * time.Millisecond)
		w.quarantine.hold(0x5c, time.Minute)
	}()
	a := w.send(t, "POST", "/once/x", "b", withParts("5c:5")...)
	g.Expect(a.status).To(gomega.Equal(503), a.body)
	g.Expect(a.body).To(gomega.ContainSubstring("held back"))
	g.Expect(e.requests()).To(gomega.BeEmpty())
	for _, charged := range w.rights.settled() {
		g.Expect(charged).To(gomega.BeZero())
	}
}

// Guards against requests that wait for their time although it is known that they will be refused.
func TestPartIsHeldBackWhileRequestsWait(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newAdmissionRouter(t, unchanged, e)
	w.keepReporting(t, func() int { return 8 })
	go func() {
		time.Sleep(100 * time.Millisecond)
		w.quarantine.hold(0x5c, time.Minute)
	}()
	begun := time.Now()
	a := w.send(t, "POST", "/once/x", "b", withParts("5c:5", "Rattanhoist-Deadline-Ms", "8000")...)
	g.Expect(a.status).To(gomega.Equal(503))
	g.Expect(a.body).To(gomega.ContainSubstring("held back"))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
	g.Expect(e.requests()).To(gomega.BeEmpty())
}

// Guards against a stream with a held part that is resumed at one endpoint after the other.
func TestStreamWithHeldPartIsNotResumed(t *testing.T) {
	g := gomega.NewWithT(t)
	var w *testRouter
	crash := func(c net.Conn, r *http.Request, b string) bool {
		w.quarantine.hold(0x5c, time.Minute)
		return responds(streamHead, event("1"), "reset")(c, r, b)
	}
	one, two := newEndpoint(t, crash), newEndpoint(t, crash)
	w = newTestRouter(t, one, two)
	a := w.send(t, "POST", "/resume/x", "b", withParts("5c:5")...)
	g.Expect(a.err).To(gomega.HaveOccurred(), "it is broken off")
	g.Expect(len(one.requests()) + len(two.requests())).To(gomega.Equal(1))
	g.Expect(w.send(t, "POST", "/resume/x", "b", withParts("5c:5", "Last-Event-Id", "1")...).status).To(gomega.Equal(503), "taken up by its caller")
}

// Guards against a trial that is repeated at a second endpoint, or that lets more than one request
// through.
func TestTrialIsOneAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newEndpoint(t, responds("reset")), newEndpoint(t, responds("reset"))
	w := newTestRouter(t, one, two)
	w.quarantine.hold(0x5c, time.Minute)
	w.quarantine.trials = 1
	statuses := map[int]int{}
	for n := range 3 {
		statuses[w.send(t, "GET", "/read/x", fmt.Sprint("b", n), withParts("5c:5")...).status]++
	}
	g.Expect(statuses).To(gomega.Equal(map[int]int{502: 1, 503: 2}))
	g.Expect(len(one.requests()) + len(two.requests())).To(gomega.Equal(1))
	g.Eventually(w.quarantine.brokenCount, time.Second).Should(gomega.Equal(1), "its end is reported")
	g.Expect(w.quarantine.broken[0].Parts).To(gomega.Equal([]quarantiner.Part{0x5c}))
}

// Guards against parts that are learned of failures but not of answers.
func TestPartsOfAnswersAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(streamHead, event("1"), streamEnd)))
	w.send(t, "POST", "/stream/x", "b", withParts("5c:5,91:2")...)
	g.Eventually(w.quarantine.answeredCount, time.Second).Should(gomega.Equal(1))
	g.Expect(w.quarantine.answered[0].Parts).To(gomega.Equal([]quarantiner.Part{0x5c, 0x91}))
}

// A request with a thousand parts costs no more than its first ones.
func TestRequestWithThousandsOfParts(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(answerOK)))
	parts := "1:1"
	for n := 2; n < 10_000; n++ {
		parts += fmt.Sprintf(",%x:1", n)
	}
	g.Expect(w.send(t, "POST", "/once/x", "b", withParts(parts)...).status).To(gomega.Equal(200))
	g.Eventually(w.quarantine.answeredCount, time.Second).Should(gomega.Equal(1))
	g.Expect(w.quarantine.answered[0].Parts).To(gomega.HaveLen(64))
}
