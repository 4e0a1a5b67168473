package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// runEnd reports how the run of a request ended: "end", "broken", or "" if it
// has not ended.
func (f *fleet) runEnd(endpoint, id string) string {
	for _, r := range f.Runs(endpoint) {
		if r.RequestID == workspace+"/"+id && r.Event != "begin" {
			return r.Event
		}
	}
	return ""
}

// TestCallerDisconnects guards against runs that are tied to the connection that
// started them, or to nothing. A caller that disconnects and retries through
// the other router must get the same run; the run of a caller that stays away
// must be cancelled and not billed.
func TestCallerDisconnects(t *testing.T) {
	f := startZone(t, 81, "10ms")
	leave := func(id string) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = f.model(osu[0], id, 400).Do(ctx)
		}()
		f.Eventually("the run begins", func() bool { return f.runs("llm-1")[id] == 1 })
		cancel()
		<-done
	}
	leave("comes-back")
	_, err := f.model(osu[1], "comes-back", 400).Do(context.Background())
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Expect(f.runs("llm-1")["comes-back"]).To(gomega.Equal(1))
	leave("gone")
	f.Eventually("the engine is free again", func() bool { return f.runEnd("llm-1", "gone") == "broken" })
	f.g.Expect(f.billed("gone")).To(gomega.BeZero())
}

// TestDeadlineIsAnsweredAtOnce guards against waits that are not bounded by the
// caller's deadline, and against the outcome "not run" for a request that
// reached an engine. The engine stalls in the middle of an answer until the
// deadline passes.
func TestDeadlineIsAnsweredAtOnce(t *testing.T) {
	f := startZone(t, 82, "5ms")
	for _, stream := range []bool{true, false} {
		f.EndpointCommand(1, "/faults", `{"kind":"stall","count":4}`)
		c := f.model(osu[0], map[bool]string{true: "streamed", false: "whole"}[stream], 60)
		c.Stream, c.Timeout = stream, 1500*time.Millisecond
		began := time.Now()
		_, err := c.Do(context.Background())
		f.g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
		r := refusalOf(err)
		f.g.Expect(r).NotTo(gomega.BeNil(), "%v", err)
		f.g.Expect(r.Outcome).To(gomega.Equal("unknown"), "%v", err)
		f.g.Expect(f.runs("llm-1")[c.RequestID]).To(gomega.BeNumerically(">=", 1))
		f.g.Expect(f.billed(c.RequestID)).To(gomega.BeZero())
		f.clearFaults(1)
	}
}
