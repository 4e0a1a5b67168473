package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// ended reports how the run of a request ended: "end", "broken" or "".
func (f *fleet) ended(endpoint, id string) string {
	for _, r := range f.Runs(endpoint) {
		if r.RequestID == workspace+"/"+id && r.Event != "begin" {
			return r.Event
		}
	}
	return ""
}

// TestCallerGone
// Symptom: an engine goes on for callers that have gone, or a caller that
// comes back at once starts over.
// Sequence: a caller leaves in the middle and comes back through the other
// router; another leaves for good.
// Cause it guards against: a run that belongs to the connection that began it,
// or to nobody.
func TestCallerGone(t *testing.T) {
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
	f.Eventually("the engine is free again", func() bool { return f.ended("llm-1", "gone") == "broken" })
	f.g.Expect(f.billed("gone")).To(gomega.BeZero())
}

// TestDeadlineIsAnsweredAtOnce
// Symptom: a caller waits past its deadline, or is told "not run" of a request
// that an engine has.
// Sequence: the engine stalls in the middle; the deadline passes; a request
// for which there is no room is refused without a run.
// Cause it guards against: waits that are bounded by something else.
func TestDeadlineIsAnsweredAtOnce(t *testing.T) {
	f := startZone(t, 82, "5ms")
	for _, stream := range []bool{true, false} {
		f.EndpointCommand(1, "/faults", `{"kind":"stall","count":4}`)
		c := f.model(osu[0], map[bool]string{true: "streamed", false: "whole"}[stream], 60)
		c.Stream, c.Timeout = stream, 1500*time.Millisecond
		began := time.Now()
		_, err := c.Do(context.Background())
		f.g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
		r := refused(err)
		f.g.Expect(r).NotTo(gomega.BeNil(), "%v", err)
		f.g.Expect(r.Outcome).To(gomega.Equal("unknown"), "%v", err)
		f.g.Expect(f.runs("llm-1")[c.RequestID]).To(gomega.BeNumerically(">=", 1))
		f.g.Expect(f.billed(c.RequestID)).To(gomega.BeZero())
		f.clearFaults(1)
	}
}
