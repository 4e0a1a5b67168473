package steward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/quarantiner"
)

func request(sum uint64) quarantiner.Fingerprint {
	return quarantiner.Fingerprint{Workspace: "w", Sum: sum}
}

func subject(sum uint64) quarantiner.Subject { return quarantiner.RequestSubject(request(sum)) }

// releasedBy returns the subjects that a tracker releases.
func releasedBy(q *quarantineTracker, now time.Time, list []governor.Quarantine) []quarantiner.HeldSubject {
	released, _ := q.setHeld(now, list)
	return released
}

func crashesAt(endpoint string) []*messenger.Crash {
	return []*messenger.Crash{{Request: request(7).Message(), Endpoint: endpoint}}
}

// Crashes reported to different keepers add up, each counted once, and are shared by the
// keeper that received the report.
func TestCrashesReportedToSeveralKeepersAddUp(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantineTracker(time.Hour, true)
	q.recordReports(now, &messenger.SyncRequest{Crashes: crashesAt("a")})
	q.merge(now, &messenger.Sightings{Crashes: crashesAt("b")})
	q.merge(now, &messenger.Sightings{Crashes: crashesAt("a")})
	news := &messenger.Sightings{}
	g.Expect(q.takeUnshared(now.Add(200*time.Millisecond), news)).To(gomega.BeTrue())
	g.Expect(news.Crashes).To(gomega.HaveLen(1))
	g.Expect(news.Crashes[0].AgoMs).To(gomega.Equal(int64(200)), "the wait at this keeper is added")
	g.Expect(q.takeUnshared(now, &messenger.Sightings{})).To(gomega.BeFalse())
	g.Expect(q.due(now.Add(time.Second))).To(gomega.BeEmpty())
	q.merge(now, &messenger.Sightings{Crashes: crashesAt("c")})
	g.Expect(q.due(now.Add(time.Second))).To(gomega.Equal([]quarantiner.HeldSubject{{Subject: subject(7)}}))
	q.setHeld(now, []governor.Quarantine{{HeldSubject: quarantiner.HeldSubject{Subject: subject(7)}, UntilMS: now.Add(time.Hour).UnixMilli()}})
	g.Expect(q.due(now.Add(time.Second))).To(gomega.BeEmpty())
}

// Guards against a harmless request that is refused for an hour: it is quarantined by
// coincidence, while a copy sent earlier is answered completely. An answer must end a
// quarantine early.
func TestAnsweredRequestIsReleased(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantineTracker(time.Hour, true)
	for _, e := range []string{"a", "b", "c"} {
		q.recordReports(now, &messenger.SyncRequest{Crashes: crashesAt(e)})
	}
	later := now.Add(time.Hour).UnixMilli()
	list := []governor.Quarantine{{HeldSubject: quarantiner.HeldSubject{Subject: subject(7)}, UntilMS: later}, {HeldSubject: quarantiner.HeldSubject{Subject: subject(8)}, UntilMS: later}}
	g.Expect(releasedBy(q, now, list)).To(gomega.BeEmpty())
	other := newQuarantineTracker(time.Hour, true)
	q.recordReports(now, &messenger.SyncRequest{Answered: []*messenger.Content{request(7).Message(), request(9).Message()}})
	news := &messenger.Sightings{}
	q.takeUnshared(now, news)
	other.merge(now, news)
	g.Expect(releasedBy(other, now, list)).To(gomega.Equal([]quarantiner.HeldSubject{{Subject: subject(7)}}), "reported by another keeper")
	g.Expect(releasedBy(other, now, list)).To(gomega.HaveLen(1), "until it is released")
	g.Expect(releasedBy(other, now, list[1:])).To(gomega.BeEmpty())
	g.Expect(releasedBy(other, now, list)).To(gomega.BeEmpty(), "an earlier answer does not release a new quarantine")
	g.Expect(q.due(now.Add(time.Hour-time.Second))).To(gomega.BeEmpty(), "its crashes are forgotten")
}

func partCrashesAt(endpoint string, request uint64, parts ...uint64) []*messenger.Crash {
	return []*messenger.Crash{{Request: &messenger.Content{Workspace: "w", Sum: request}, Endpoint: endpoint, Parts: parts}}
}

func partSubject(part uint64) quarantiner.Subject {
	return quarantiner.PartSubject(quarantiner.SharedPart{Workspace: "w", Part: quarantiner.Part(part)})
}

// Guards against prompt parts that only the keeper suspects which got all reports, and against
// routers that are never asked about answers to requests with them.
func TestPartsReportedToSeveralKeepersAddUp(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	one, two := newQuarantineTracker(time.Hour, true), newQuarantineTracker(time.Hour, true)
	share := func() {
		for _, pair := range [][2]*quarantineTracker{{one, two}, {two, one}} {
			m := &messenger.Sightings{}
			pair[0].takeUnshared(now, m)
			pair[1].merge(now, m)
		}
	}
	for n, q := range []*quarantineTracker{one, two, one} {
		now = now.Add(time.Second)
		q.recordReports(now, &messenger.SyncRequest{Crashes: partCrashesAt(string(rune('a'+n)), uint64(n), 5, 6)})
		share()
	}
	g.Expect(one.suspectedParts(now)).To(gomega.HaveLen(2))
	answer := &messenger.AnsweredPart{Workspace: "w", Part: 6}
	two.recordReports(now, &messenger.SyncRequest{AnsweredParts: []*messenger.AnsweredPart{answer}})
	share()
	for _, q := range []*quarantineTracker{one, two} {
		g.Expect(q.due(now.Add(time.Second))).To(gomega.Equal([]quarantiner.HeldSubject{{Subject: partSubject(5)}}))
		g.Expect(q.suspectedParts(now.Add(time.Second))).To(gomega.HaveLen(1), "6 was answered")
	}
}

// Guards against a part whose quarantine ends because of an answer from before it crashed
// endpoints, which a router reports late, and against one that stays although it was answered.
func TestAnswerEndsTheQuarantineOfItsParts(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantineTracker(time.Hour, true)
	list := []governor.Quarantine{
		{HeldSubject: quarantiner.HeldSubject{Subject: partSubject(5)}, UntilMS: now.Add(time.Hour).UnixMilli()},
		{HeldSubject: quarantiner.HeldSubject{Subject: quarantiner.PartOfAnySubject(5)}, UntilMS: now.Add(time.Hour).UnixMilli()},
	}
	report := func(a *messenger.AnsweredPart) {
		q.recordReports(now, &messenger.SyncRequest{AnsweredParts: []*messenger.AnsweredPart{a}})
	}
	report(&messenger.AnsweredPart{Workspace: "w", Part: 5, AgoMs: 60_000})
	g.Expect(releasedBy(q, now, list)).To(gomega.BeEmpty())
	report(&messenger.AnsweredPart{Part: 5, OfAny: true})
	g.Expect(releasedBy(q, now, list)).To(gomega.Equal([]quarantiner.HeldSubject{{Subject: quarantiner.PartOfAnySubject(5)}}))
	report(&messenger.AnsweredPart{Workspace: "w", Part: 5})
	g.Expect(releasedBy(q, now, list)).To(gomega.ConsistOf(quarantiner.HeldSubject{Subject: partSubject(5)}, quarantiner.HeldSubject{Subject: quarantiner.PartOfAnySubject(5)}))
}

// Guards against a part that is held back only together with a part that turns out to be harmless, so
// that requests without that one crash further endpoints.
func TestPartIsHeldBackForMoreRequestsOnceItsCompanionsAreAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantineTracker(time.Hour, true)
	for n := range 3 {
		now = now.Add(time.Second)
		q.recordReports(now, &messenger.SyncRequest{Crashes: partCrashesAt(string(rune('a'+n)), uint64(n), 5, 6, 7)})
	}
	now = now.Add(time.Second)
	due := q.due(now)
	g.Expect(due).To(gomega.Equal([]quarantiner.HeldSubject{{Subject: partSubject(5), With: []quarantiner.Part{6, 7}}}))
	list := []governor.Quarantine{{HeldSubject: due[0], UntilMS: now.Add(time.Hour).UnixMilli()}}
	_, widened := q.setHeld(now, list)
	g.Expect(widened).To(gomega.BeEmpty())
	q.recordReports(now, &messenger.SyncRequest{AnsweredParts: []*messenger.AnsweredPart{{Workspace: "w", Part: 7}}})
	_, widened = q.setHeld(now, list)
	g.Expect(widened).To(gomega.Equal([]quarantiner.HeldSubject{{Subject: partSubject(5), With: []quarantiner.Part{6}}}))
	// A keeper that knows nothing of the crashes learns that another of the parts is to blame.
	restarted := newQuarantineTracker(time.Hour, true)
	restarted.recordReports(now, &messenger.SyncRequest{AnsweredParts: []*messenger.AnsweredPart{{Workspace: "w", Part: 5}}})
	released, widened := restarted.setHeld(now, list)
	g.Expect(released).To(gomega.HaveLen(1))
	g.Expect(widened).To(gomega.Equal([]quarantiner.HeldSubject{{Subject: partSubject(6), With: []quarantiner.Part{7}}}))
}

// Guards against parts that are held back although the operator has switched that off.
func TestPartQuarantineCanBeSwitchedOff(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantineTracker(time.Hour, false)
	for n := range 5 {
		q.recordReports(now.Add(time.Duration(n)*time.Second), &messenger.SyncRequest{Crashes: partCrashesAt(string(rune('a'+n)), uint64(n), 5)})
	}
	g.Expect(q.due(now.Add(time.Minute))).To(gomega.BeEmpty())
	g.Expect(q.suspectedParts(now.Add(time.Minute))).To(gomega.BeEmpty())
}

// Guards against a part that crashes endpoints for seconds more, because an assessment took long while
// its process waited for the processor.
func TestSlowAssessmentDelaysTheNextOneByLittle(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(pauseAfter(time.Millisecond)).To(gomega.Equal(30 * time.Millisecond))
	g.Expect(pauseAfter(time.Second)).To(gomega.BeNumerically("<=", 500*time.Millisecond))
}

// Guards against trials that come too early, too often, or for whole requests.
func TestTrialsAreDueOneAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.UnixMilli(10_000_000)
	due := func(s quarantiner.Subject, held time.Duration, trials uint32) bool {
		at := now.Add(-held).UnixMilli()
		return trialDue(&governor.Quarantine{HeldSubject: quarantiner.HeldSubject{Subject: s}, AtMS: at, UntilMS: at + time.Hour.Milliseconds(), Trial: governor.Trial{Number: trials}}, now)
	}
	g.Expect(due(partSubject(5), 59*time.Second, 0)).To(gomega.BeFalse())
	g.Expect(due(partSubject(5), time.Minute, 0)).To(gomega.BeTrue())
	g.Expect(due(partSubject(5), time.Minute, 1)).To(gomega.BeFalse())
	g.Expect(due(partSubject(5), 10*time.Minute, 1)).To(gomega.BeTrue())
	g.Expect(due(partSubject(5), 50*time.Minute, 2)).To(gomega.BeFalse())
	g.Expect(due(partSubject(5), 2*time.Hour, 0)).To(gomega.BeFalse(), "it has ended")
	g.Expect(due(subject(5), 50*time.Minute, 0)).To(gomega.BeFalse())
}

// Guards against a trial that two routers use, or one router twice after it has restarted.
func TestTrialIsForOneIncarnationOfOneRouter(t *testing.T) {
	g := gomega.NewWithT(t)
	router := &messenger.FleetMember{Address: "a:1", Incarnation: 7}
	list := []governor.Quarantine{
		{HeldSubject: quarantiner.HeldSubject{Subject: partSubject(5)}, Number: 3, UntilMS: 20_000, Trial: governor.Trial{Number: 1, Router: "a:1", IncarnationHash: incarnationHash(router)}},
		{HeldSubject: quarantiner.HeldSubject{Subject: partSubject(6)}, Number: 4, UntilMS: 20_000},
	}
	trials := func(m *messenger.FleetMember) (out []bool) {
		for _, x := range quarantinesSince(list, 0, time.UnixMilli(10_000), m) {
			out = append(out, x.Trial)
		}
		return out
	}
	g.Expect(trials(router)).To(gomega.Equal([]bool{true, false}))
	g.Expect(trials(&messenger.FleetMember{Address: "a:1", Incarnation: 8})).To(gomega.Equal([]bool{false, false}))
	g.Expect(trials(&messenger.FleetMember{Address: "b:1", Incarnation: 7})).To(gomega.Equal([]bool{false, false}))
	g.Expect(trials(nil)).To(gomega.Equal([]bool{false, false}))
}

func TestRoutersReceiveOnlyNewQuarantines(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.UnixMilli(10_000)
	list := []governor.Quarantine{
		{HeldSubject: quarantiner.HeldSubject{Subject: subject(1)}, Number: 1, UntilMS: 10_000}, {HeldSubject: quarantiner.HeldSubject{Subject: subject(2)}, Number: 2, UntilMS: 12_000}, {HeldSubject: quarantiner.HeldSubject{Subject: subject(3)}, Number: 3, UntilMS: 13_000},
	}
	all := quarantinesSince(list, 0, now, nil)
	g.Expect(all).To(gomega.HaveLen(3))
	g.Expect(all[0].LeftMs).To(gomega.BeZero(), "it has ended")
	g.Expect(all[1].LeftMs).To(gomega.Equal(int64(2_000)))
	g.Expect(quarantinesSince(list, 2, now, nil)).To(gomega.HaveLen(1))
	g.Expect(quarantinesSince(list, 3, now, nil)).To(gomega.BeEmpty())
}
