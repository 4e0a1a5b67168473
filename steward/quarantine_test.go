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
	g.Expect(q.due(now.Add(time.Second))).To(gomega.Equal([]quarantiner.Subject{subject(7)}))
	q.setHeld(now, []governor.Quarantine{{Subject: subject(7), UntilMS: now.Add(time.Hour).UnixMilli()}})
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
	list := []governor.Quarantine{{Subject: subject(7), UntilMS: later}, {Subject: subject(8), UntilMS: later}}
	g.Expect(q.setHeld(now, list)).To(gomega.BeEmpty())
	other := newQuarantineTracker(time.Hour, true)
	q.recordReports(now, &messenger.SyncRequest{Answered: []*messenger.Content{request(7).Message(), request(9).Message()}})
	news := &messenger.Sightings{}
	q.takeUnshared(now, news)
	other.merge(now, news)
	g.Expect(other.setHeld(now, list)).To(gomega.Equal([]quarantiner.Subject{subject(7)}), "reported by another keeper")
	g.Expect(other.setHeld(now, list)).To(gomega.HaveLen(1), "until it is released")
	g.Expect(other.setHeld(now, list[1:])).To(gomega.BeEmpty())
	g.Expect(other.setHeld(now, list)).To(gomega.BeEmpty(), "an earlier answer does not release a new quarantine")
	g.Expect(q.due(now.Add(time.Hour-time.Second))).To(gomega.BeEmpty(), "its crashes are forgotten")
}

func TestRoutersReceiveOnlyNewQuarantines(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.UnixMilli(10_000)
	list := []governor.Quarantine{
		{Subject: subject(1), Number: 1, UntilMS: 10_000}, {Subject: subject(2), Number: 2, UntilMS: 12_000}, {Subject: subject(3), Number: 3, UntilMS: 13_000},
	}
	all := quarantinesSince(list, 0, now, nil)
	g.Expect(all).To(gomega.HaveLen(3))
	g.Expect(all[0].LeftMs).To(gomega.BeZero(), "it has ended")
	g.Expect(all[1].LeftMs).To(gomega.Equal(int64(2_000)))
	g.Expect(quarantinesSince(list, 2, now, nil)).To(gomega.HaveLen(1))
	g.Expect(quarantinesSince(list, 3, now, nil)).To(gomega.BeEmpty())
}
