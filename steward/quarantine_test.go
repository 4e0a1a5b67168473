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
	q.tell(now, crashAt("a"))
	q.take(now, crashAt("b"))
	q.take(now, crashAt("a"))
	g.Expect(q.news()).To(gomega.HaveLen(1))
	g.Expect(q.news()).To(gomega.BeEmpty())
	g.Expect(q.due(now.Add(time.Second))).To(gomega.BeEmpty())
	q.take(now, crashAt("c"))
	g.Expect(q.due(now.Add(time.Second))).To(gomega.Equal([]quarantiner.Fingerprint{request(7)}))
	q.hold([]governor.Quarantine{{Request: request(7)}})
	g.Expect(q.due(now.Add(time.Second))).To(gomega.BeEmpty())
}

func TestRoutersAreToldWhatTheyDoNotKnow(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.UnixMilli(10_000)
	list := []governor.Quarantine{
		{Request: request(1), Number: 1, UntilMS: 10_000}, {Request: request(2), Number: 2, UntilMS: 12_000}, {Request: request(3), Number: 3, UntilMS: 13_000},
	}
	all := quarantinedSince(list, 0, now)
	g.Expect(all).To(gomega.HaveLen(2), "the first one has ended")
	g.Expect(all[0].LeftMs).To(gomega.Equal(int64(2_000)))
	g.Expect(quarantinedSince(list, 2, now)).To(gomega.HaveLen(1))
	g.Expect(quarantinedSince(list, 3, now)).To(gomega.BeEmpty())
}
