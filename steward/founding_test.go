package steward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// runFirstStart runs a test with a quorum of which no keeper has been started.
func runFirstStart(t *testing.T, name string, test func(q *quorum)) {
	t.Run(name, func(t *testing.T) {
		dir := t.TempDir()
		synctest.Test(t, func(t *testing.T) {
			q := newQuorum(t, dir, false)
			defer q.stopAll()
			test(q)
		})
	})
}

// Guards against a fleet that serves nothing because a seed is lost for good during the first start.
func TestDeploymentIsFoundedThoughASeedIsLost(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		runFirstStart(t, fmt.Sprint(lost), func(q *quorum) {
			q.start(lost, true, 1, 2, 3)
			time.Sleep(200 * time.Millisecond)
			for n := 1; n <= 5; n++ {
				if n != lost {
					q.start(n, true, 1, 2, 3)
				}
			}
			q.stop(lost)
			left := q.others()
			time.Sleep(time.Second)
			q.start(6, false, left[0], left[1], 6)
			q.publish(left[0], 7)
			for _, n := range q.others() {
				q.awaitDocument(n, 7)
				q.awaitVoter(n, rejoinTimeout)
			}
		})
	}
}

// Guards against the same where processes of seeds end during the first start: they are started again with
// their disks, as no part of the first start, and with seeds of which some are others.
func TestDeploymentIsFoundedThoughSeedsAreStartedAgain(t *testing.T) {
	for _, ended := range [][]int{{1}, {2}, {3}, {1, 2}, {2, 3}, {1, 2, 3}} {
		runFirstStart(t, fmt.Sprint(ended), func(q *quorum) {
			for n := 1; n <= 3; n++ {
				q.start(n, true, 1, 2, 3)
			}
			for _, n := range ended {
				q.halts[n]()
			}
			for _, n := range ended {
				q.cleanUps[n]()
				q.start(n, false, 4, 5, n)
			}
			q.start(4, true, 1, 2, 3)
			q.start(5, true, 1, 2, 3)
			q.publish(3, 7)
			for n := 1; n <= 5; n++ {
				q.awaitDocument(n, 7)
				q.awaitVoter(n, rejoinTimeout)
			}
		})
	}
}
