package courier

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/quarantiner"
)

func content(n uint64) quarantiner.Fingerprint {
	return quarantiner.Fingerprint{Workspace: "w", Sum: n}
}

func input(n uint64) quarantiner.Input { return quarantiner.Input{Fingerprint: content(n)} }

func crash(request uint64, endpoint int) quarantiner.Crash {
	return quarantiner.Crash{Request: content(request), Endpoint: enroller.Incarnation{ID: fmt.Sprint("e", endpoint)}, At: time.Now().Add(time.Duration(endpoint) * time.Second)}
}

// pendingReport returns the requests in the next sync request's crashes, and its report.
func pendingReport(q *quarantine) (out []uint64, t crashReport) {
	r := &messenger.SyncRequest{}
	t = q.fillRequest(r)
	for _, c := range r.Crashes {
		out = append(out, c.Request.Sum)
	}
	return out, t
}

// Guards against ends of endpoints whose log lines do not show that the requests had a prompt part
// in common which no endpoint has answered.
func TestCrashLineNamesPromptParts(t *testing.T) {
	g := gomega.NewWithT(t)
	stopped, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stopped.Close()).To(gomega.Succeed())
	core, lines := observer.New(zap.InfoLevel)
	q := newQuarantine(zap.New(core), true)
	with := func(n uint64, parts ...quarantiner.Part) quarantiner.Input {
		return quarantiner.Input{Fingerprint: content(n), Parts: parts}
	}
	q.RecordSuccess(with(1, 0xa1))
	e := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "e1"}, Address: stopped.Addr().String()})
	q.RecordBrokenOff(e, with(2, 0xa1, 0xb2), time.Second)
	q.RecordBrokenOff(e, with(3, 0xa1), time.Second)
	g.Eventually(lines.Len, 2*time.Second).Should(gomega.Equal(1))
	fields := lines.All()[0].ContextMap()
	g.Expect(fields["parts_unanswered"]).To(gomega.Equal([]any{"b2:1"}))
	g.Expect(fields["parts_answered"]).To(gomega.Equal([]any{"a1:2"}))
}

// Guards against treating a harmless request as one that crashes endpoints. The endpoints
// reset connections under it and keep running, so a broken connection is no crash.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	alive, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer alive.Close()
	stopped, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stopped.Close()).To(gomega.Succeed())
	q := newQuarantine(zap.NewNop(), true)
	for n, l := range []net.Listener{alive, stopped} {
		e := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: fmt.Sprint("e", n)}, Address: l.Addr().String()})
		q.RecordBrokenOff(e, input(uint64(10+n)), time.Second)
		q.RecordBrokenOff(e, input(uint64(20+n)), time.Second)
	}
	g.Eventually(func() []uint64 { out, _ := pendingReport(q); return out }, 2*time.Second).Should(gomega.ConsistOf(uint64(11), uint64(21)))
	g.Consistently(func() []uint64 { out, _ := pendingReport(q); return out }, 200*time.Millisecond).Should(gomega.HaveLen(2))
}

// Guards against refusing a popular page for an hour because all copies of a service went
// down at once while it was requested. Crashes don't count for a request that endpoints
// have answered.
func TestAnsweredRequestIsNoSuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQuarantine(zap.NewNop(), true)
	q.RecordSuccess(input(1))
	for e := range 5 {
		q.recordCrashes([]quarantiner.Crash{crash(1, e), crash(uint64(100+e), e)})
	}
	list, _ := pendingReport(q)
	g.Expect(list).To(gomega.Equal([]uint64{100, 101, 102, 103, 104}))
	q.holdLocal(time.Now().Add(time.Second))
	g.Expect(q.HeldBack(input(1)).Remaining).To(gomega.BeZero())
}

// Guards against crash reports that are lost when all keepers restart, since they hold them
// in memory. A request that had crashed two endpoints then crashed three more before it was
// held back, because routers did not report the earlier crashes again.
func TestRestartedKeepersGetCrashReportsAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantine(zap.NewNop(), true)
	q.reportAccepted(now, now.Add(-time.Minute), crashReport{})
	q.recordCrashes([]quarantiner.Crash{crash(1, 1), crash(2, 1)})
	list, upTo := pendingReport(q)
	g.Expect(list).To(gomega.HaveLen(2))
	again, _ := pendingReport(q)
	g.Expect(again).To(gomega.HaveLen(2), "no keeper has confirmed the report")
	q.reportAccepted(now.Add(time.Second), now.Add(-time.Minute), upTo)
	list, upTo = pendingReport(q)
	g.Expect(list).To(gomega.BeEmpty())
	q.reportAccepted(now.Add(3*time.Second), now.Add(2*time.Second), upTo)
	list, _ = pendingReport(q)
	g.Expect(list).To(gomega.HaveLen(2), "this keeper has started since")
}

// Guards against a disconnected router that sends a request which crashes endpoints to one
// endpoint after the other, because only keepers decide which requests are held back.
func TestDisconnectedRouterHoldsBackCrashingRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQuarantine(zap.NewNop(), true)
	for e := range 3 {
		q.recordCrashes([]quarantiner.Crash{crash(1, e), crash(uint64(100+e), e)})
	}
	q.holdLocal(time.Now())
	g.Expect(q.HeldBack(input(1)).Remaining).To(gomega.BeZero(), "other requests may still fail there")
	q.holdLocal(time.Now().Add(time.Second))
	g.Expect(q.HeldBack(input(1)).Remaining).To(gomega.BeNumerically(">", 30*time.Second))
	g.Expect(q.HeldBack(input(100)).Remaining).To(gomega.BeZero())
	q.update(time.Now(), []*messenger.QuarantineTold{{Request: content(1).Message(), Number: 4, LeftMs: 3_600_000}})
	g.Expect(q.HeldBack(input(1)).Remaining).To(gomega.BeNumerically(">", 30*time.Minute))
	r := &messenger.SyncRequest{}
	q.fillRequest(r)
	g.Expect(r.Quarantine).To(gomega.Equal(uint64(4)))
	q.holdLocal(time.Now().Add(2 * time.Hour))
	g.Expect(q.held.Load().until).To(gomega.BeEmpty(), "expired entries are removed")
}

// Guards against refusing a harmless request for an hour. It is held back by coincidence
// while a copy of it is in progress, which an endpoint then answers completely; keepers
// have to be told.
func TestAnsweredRequestIsReportedAndReleased(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantine(zap.NewNop(), true)
	q.update(now, []*messenger.QuarantineTold{{Request: content(1).Message(), Number: 1, LeftMs: 3_600_000}})
	q.RecordSuccess(input(2))
	q.RecordSuccess(input(1))
	q.RecordSuccess(input(1))
	r := &messenger.SyncRequest{}
	report := q.fillRequest(r)
	g.Expect(r.Answered).To(gomega.HaveLen(1))
	g.Expect(r.Answered[0].Sum).To(gomega.Equal(uint64(1)))
	g.Expect(q.HeldBack(input(1)).Remaining).NotTo(gomega.BeZero(), "keepers decide")
	q.reportAccepted(now, now.Add(-time.Hour), report)
	r = &messenger.SyncRequest{}
	q.fillRequest(r)
	g.Expect(r.Answered).To(gomega.BeEmpty())
	q.update(now, []*messenger.QuarantineTold{{Request: content(1).Message(), Number: 2}, {Request: content(3).Message(), Number: 3}})
	g.Expect(q.HeldBack(input(1)).Remaining).To(gomega.BeZero())
	g.Expect(q.held.Load().newest).To(gomega.Equal(uint64(3)))
}

// Guards against unbounded memory use by crashes while no keeper can be reached.
func TestUnreportedCrashesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQuarantine(zap.NewNop(), true)
	for n := range 3_000 {
		q.recordCrashes([]quarantiner.Crash{crash(uint64(n), n)})
	}
	g.Expect(q.recent).To(gomega.HaveLen(maxRecentCrashes))
	list, upTo := pendingReport(q)
	g.Expect(list).To(gomega.HaveLen(maxReported))
	g.Expect(list[0]).To(gomega.Equal(uint64(3_000 - maxRecentCrashes)))
	q.reportAccepted(time.Now(), time.Now().Add(-time.Hour), upTo)
	q.reportAccepted(time.Now(), time.Now().Add(-time.Hour), upTo)
	list, _ = pendingReport(q)
	g.Expect(list[0]).To(gomega.Equal(uint64(3_000 - maxRecentCrashes + maxReported)))
}

func partInput(request uint64, parts ...quarantiner.Part) quarantiner.Input {
	return quarantiner.Input{Fingerprint: content(request), Parts: parts}
}

func partCrash(request uint64, endpoint int, parts ...quarantiner.Part) quarantiner.Crash {
	c := crash(request, endpoint)
	c.Parts = parts
	return c
}

// answersIn returns the answered parts in the next sync request, and its report.
func answersIn(q *quarantine) (out []uint64, t crashReport) {
	r := &messenger.SyncRequest{}
	t = q.fillRequest(r)
	for _, a := range r.AnsweredParts {
		out = append(out, a.Part)
	}
	return out, t
}

// Guards against a common part that keepers take for the cause of crashes, because no router tells
// them that requests with it are answered; and against reports about every part there is.
func TestAnswersToSuspectedPartsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantine(zap.NewNop(), true)
	q.reportAccepted(now, now.Add(-time.Hour), crashReport{})
	accept := func() {
		_, report := answersIn(q)
		q.reportAccepted(now, now.Add(-time.Hour), report)
	}
	q.RecordSuccess(partInput(1, 5, 6, 7))
	answers, _ := answersIn(q)
	g.Expect(answers).To(gomega.BeEmpty(), "nothing has crashed")
	q.recordCrashes([]quarantiner.Crash{partCrash(2, 1, 5, 8)})
	answers, _ = answersIn(q)
	g.Expect(answers).To(gomega.Equal([]uint64{5}), "of a crash")
	accept()
	q.setSuspects([]*messenger.Content{{Workspace: "w", Sum: 6, Kind: messenger.ContentKind_CONTENT_KIND_PART}, {Workspace: "w", Sum: 9, Kind: messenger.ContentKind_CONTENT_KIND_PART}})
	answers, _ = answersIn(q)
	g.Expect(answers).To(gomega.Equal([]uint64{6}), "keepers suspect it")
	accept()
	answers, _ = answersIn(q)
	g.Expect(answers).To(gomega.BeEmpty(), "they know")
	q.setSuspects([]*messenger.Content{{Workspace: "other", Sum: 7, Kind: messenger.ContentKind_CONTENT_KIND_PART}})
	r := &messenger.SyncRequest{}
	q.fillRequest(r)
	g.Expect(r.AnsweredParts).To(gomega.HaveLen(1))
	g.Expect(r.AnsweredParts[0].OfAny).To(gomega.BeTrue(), "an answer to another workspace")
	q.update(now, []*messenger.QuarantineTold{{Request: &messenger.Content{Workspace: "w", Sum: 7, Kind: messenger.ContentKind_CONTENT_KIND_PART}, Number: 1, LeftMs: 3_600_000}})
	answers, _ = answersIn(q)
	g.Expect(answers).To(gomega.ContainElement(uint64(7)), "it is held back")
}

// Guards against keepers that restart and take a common part for the cause of the crashes that
// routers report again, since they do not know of the answers any more.
func TestRestartedKeepersGetAnswersAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantine(zap.NewNop(), true)
	q.reportAccepted(now, now.Add(-time.Minute), crashReport{})
	q.RecordSuccess(partInput(1, 5))
	q.recordCrashes([]quarantiner.Crash{partCrash(2, 1, 5)})
	_, report := answersIn(q)
	q.reportAccepted(now.Add(time.Second), now.Add(-time.Minute), report)
	q.reportAccepted(now.Add(3*time.Second), now.Add(2*time.Second), crashReport{})
	answers, _ := answersIn(q)
	g.Expect(answers).To(gomega.Equal([]uint64{5}))
}

// Guards against a router without keepers that sends requests with a crashing part to one endpoint
// after the other.
func TestDisconnectedRouterHoldsBackCrashingPart(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQuarantine(zap.NewNop(), true)
	q.RecordSuccess(partInput(99, 5))
	for e := range 3 {
		q.recordCrashes([]quarantiner.Crash{partCrash(uint64(e), e, 5, 8), partCrash(uint64(100+e), e, 5)})
		time.Sleep(2 * time.Millisecond)
		q.RecordSuccess(partInput(uint64(200+e), 5))
	}
	q.holdLocal(time.Now().Add(time.Second))
	g.Expect(q.HeldBack(partInput(300, 5, 8)).Remaining).To(gomega.BeNumerically(">", 30*time.Second))
	g.Expect(q.HeldBack(partInput(300, 5)).Remaining).To(gomega.BeZero(), "the other part")
	other := partInput(300, 8)
	other.Fingerprint.Workspace = "other"
	g.Expect(q.HeldBack(other).Remaining).To(gomega.BeZero(), "another workspace")
}

// Guards against refusing requests that have only some of the parts that are held back together.
func TestPartsAreHeldBackTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQuarantine(zap.NewNop(), true)
	hold := func(number uint64, with ...uint64) {
		q.update(time.Now(), []*messenger.QuarantineTold{{
			Request: &messenger.Content{Workspace: "w", Sum: 5, Kind: messenger.ContentKind_CONTENT_KIND_PART, With: with}, Number: number, LeftMs: 3_600_000,
		}})
	}
	hold(1, 6, 7)
	g.Expect(q.HeldBack(partInput(1, 5, 6)).Remaining).To(gomega.BeZero())
	g.Expect(q.HeldBack(partInput(1, 6, 7)).Remaining).To(gomega.BeZero())
	g.Expect(q.HeldBack(partInput(1, 7, 8, 6, 5)).Remaining).NotTo(gomega.BeZero())
	hold(2, 6)
	g.Expect(q.HeldBack(partInput(1, 5, 6)).Remaining).NotTo(gomega.BeZero())
	g.Expect(q.HeldBack(partInput(1, 5, 7)).Remaining).To(gomega.BeZero())
	hold(3)
	g.Expect(q.HeldBack(partInput(1, 5)).Remaining).NotTo(gomega.BeZero())
}

// Guards against a trial that lets several requests through, or one that is told twice.
func TestTrialLetsOneRequestThrough(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQuarantine(zap.NewNop(), true)
	part := &messenger.Content{Workspace: "w", Sum: 5, Kind: messenger.ContentKind_CONTENT_KIND_PART}
	s := quarantiner.SubjectFromMessage(part)
	q.update(time.Now(), []*messenger.QuarantineTold{{Request: part, Number: 1, LeftMs: 3_600_000}})
	g.Expect(q.TakeTrial(s)).To(gomega.BeFalse())
	r := &messenger.SyncRequest{}
	report := q.fillRequest(r)
	g.Expect(r.Refused).To(gomega.HaveLen(1), "keepers are told that requests are refused")
	q.reportAccepted(time.Now(), time.Now().Add(-time.Hour), report)
	q.update(time.Now(), []*messenger.QuarantineTold{{Request: part, Number: 2, LeftMs: 3_500_000, Trial: true}})
	g.Expect(q.TakeTrial(s)).To(gomega.BeTrue())
	g.Expect(q.TakeTrial(s)).To(gomega.BeFalse())
	g.Expect(q.HeldBack(partInput(1, 5)).Remaining).NotTo(gomega.BeZero())
	q.RecordSuccess(partInput(1, 5))
	answers, _ := answersIn(q)
	g.Expect(answers).To(gomega.Equal([]uint64{5}))
}

// Guards against a router that holds parts back although the operator has switched that off.
func TestPartsAreNotHeldBackWhenSwitchedOff(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQuarantine(zap.NewNop(), false)
	part := &messenger.Content{Workspace: "w", Sum: 5, Kind: messenger.ContentKind_CONTENT_KIND_PART}
	q.update(time.Now(), []*messenger.QuarantineTold{{Request: part, Number: 1, LeftMs: 3_600_000}, {Request: content(7).Message(), Number: 2, LeftMs: 3_600_000}})
	g.Expect(q.HeldBack(partInput(1, 5)).Remaining).To(gomega.BeZero())
	g.Expect(q.HeldBack(partInput(7)).Remaining).NotTo(gomega.BeZero(), "whole requests are")
	g.Expect(q.held.Load().newest).To(gomega.Equal(uint64(2)))
	q.RecordSuccess(partInput(2, 6))
	g.Expect(q.answeredLately(quarantiner.SharedPart{Workspace: "w", Part: 6})).To(gomega.BeFalse())
}

// Guards against ends that go unseen while many endpoints end at once: other routers are asked at most
// a few times a second whether they reach an endpoint, and paths count as lost meanwhile.
func TestEndIsConfirmedOnceOtherRoutersCanBeAsked(t *testing.T) {
	g := gomega.NewWithT(t)
	stopped, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stopped.Close()).To(gomega.Succeed())
	q := newQuarantine(zap.NewNop(), true)
	asked := 0
	q.confirmEnded = func(enroller.Heartbeat) bool {
		asked++
		return asked > 2
	}
	e := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "e1"}, Address: stopped.Addr().String()})
	q.RecordBrokenOff(e, input(1), time.Second)
	g.Eventually(func() []uint64 { out, _ := pendingReport(q); return out }, 2*time.Second).Should(gomega.Equal([]uint64{1}))
}
