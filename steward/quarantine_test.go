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

func crashAt(endpoint string) []*messenger.Crash {
	return []*messenger.Crash{{Request: request(7).Content(), Endpoint: endpoint}}
}

// Ends that different keepers were told of count together, each once, and are passed on
// by the one that was told.
func TestEndsToldToSeveralKeepersCountTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantine(time.Hour)
	q.tell(now, crashAt("a"), nil)
	q.take(now, &messenger.Sightings{Crashes: crashAt("b")})
	q.take(now, &messenger.Sightings{Crashes: crashAt("a")})
	news := &messenger.Sightings{}
	g.Expect(q.news(now.Add(200*time.Millisecond), news)).To(gomega.BeTrue())
	g.Expect(news.Crashes).To(gomega.HaveLen(1))
	g.Expect(news.Crashes[0].AgoMs).To(gomega.Equal(int64(200)), "what it waited here is added")
	g.Expect(q.news(now, &messenger.Sightings{})).To(gomega.BeFalse())
	g.Expect(q.due(now.Add(time.Second))).To(gomega.BeEmpty())
	q.take(now, &messenger.Sightings{Crashes: crashAt("c")})
	g.Expect(q.due(now.Add(time.Second))).To(gomega.Equal([]quarantiner.Fingerprint{request(7)}))
	q.hold([]governor.Quarantine{{Request: request(7)}})
	g.Expect(q.due(now.Add(time.Second))).To(gomega.BeEmpty())
}

// Symptom: a harmless request is refused for an hour.
// Sequence: it is held back by bad luck, and one that had been sent before is answered
// whole.
// Cause: no way back from a quarantine but its end.
func TestAnsweredRequestIsLetGo(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantine(time.Hour)
	for _, e := range []string{"a", "b", "c"} {
		q.tell(now, crashAt(e), nil)
	}
	list := []governor.Quarantine{{Request: request(7)}, {Request: request(8)}}
	g.Expect(q.hold(list)).To(gomega.BeEmpty())
	other := newQuarantine(time.Hour)
	q.tell(now, nil, []*messenger.Content{request(7).Content(), request(9).Content()})
	news := &messenger.Sightings{}
	q.news(now, news)
	other.take(now, news)
	g.Expect(other.hold(list)).To(gomega.Equal([]quarantiner.Fingerprint{request(7)}), "as the leader, by word of another keeper")
	g.Expect(other.hold(list)).To(gomega.HaveLen(1), "until it is let go")
	g.Expect(other.hold(list[1:])).To(gomega.BeEmpty())
	g.Expect(other.hold(list)).To(gomega.BeEmpty(), "held back anew, it is another matter")
	g.Expect(q.due(now.Add(time.Hour-time.Second))).To(gomega.BeEmpty(), "its ends are forgotten")
}

func TestRoutersAreToldWhatTheyDoNotKnow(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.UnixMilli(10_000)
	list := []governor.Quarantine{
		{Request: request(1), Number: 1, UntilMS: 10_000}, {Request: request(2), Number: 2, UntilMS: 12_000}, {Request: request(3), Number: 3, UntilMS: 13_000},
	}
	all := quarantinedSince(list, 0, now)
	g.Expect(all).To(gomega.HaveLen(3))
	g.Expect(all[0].LeftMs).To(gomega.BeZero(), "it has ended")
	g.Expect(all[1].LeftMs).To(gomega.Equal(int64(2_000)))
	g.Expect(quarantinedSince(list, 2, now)).To(gomega.HaveLen(1))
	g.Expect(quarantinedSince(list, 3, now)).To(gomega.BeEmpty())
}
