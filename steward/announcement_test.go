package steward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"rattanhoist.example/rattanhoist/reporter"
)

// Guards against keepers that spend processor time for ever on lines about a spare, which announces itself as long
// as it does not vote.
func TestSpareIsNotLoggedForEver(t *testing.T) {
	runQuorum(t, func(q *quorum) {
		core, lines := observer.New(zap.InfoLevel)
		q.start(6, false, 1, 2, 3)
		k := q.running[q.awaitLeader()]
		time.Sleep(5 * time.Second)
		k.announcementLog = reporter.Sampled(zap.New(core), maxAnnouncementLogLines)
		time.Sleep(10 * time.Second)
		q.g.Expect(lines.FilterMessage("disk announced").Len()).To(gomega.BeNumerically("<=", 5))
	})
}
