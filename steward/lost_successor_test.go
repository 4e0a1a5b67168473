package steward

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against the loss of an acknowledged document because a machine that was removed still votes when its
// successor has had the time to catch up: before its replacement the leader changed, and the next one waits for
// the whole silence again.
func TestLossAfterTheSuccessorOfAMachineHadItsTime(t *testing.T) {
	for name, end := range map[string]func(q *quorum, leader int, seeds []int){
		"leader loses its disk": func(q *quorum, leader int, seeds []int) {
			q.wipe(leader)
			q.start(leader, false, seeds...)
		},
		"leader is killed": func(q *quorum, leader int, seeds []int) {
			q.stop(leader)
			q.start(leader, false, seeds...)
		},
		"all are killed": func(q *quorum, _ int, seeds []int) {
			all := q.others()
			for _, n := range all {
				q.halts[n]()
			}
			var ended sync.WaitGroup
			for _, n := range all {
				ended.Go(q.cleanUps[n])
			}
			ended.Wait()
			for _, n := range all {
				q.start(n, false, seeds...)
			}
		},
	} {
		for step := range 8 {
			t.Run(fmt.Sprint(name, " ", step), func(t *testing.T) {
				runQuorum(t, func(q *quorum) {
					leader := q.awaitLeader()
					removed := q.others(leader)[0]
					kept := q.others(leader, removed)
					q.wipe(removed)
					q.start(6, false, kept...)
					started := time.Now()
					time.Sleep(300*time.Millisecond + time.Duration(step)*200*time.Millisecond)
					end(q, leader, kept)
					time.Sleep(time.Until(started.Add(rejoinTimeout)))
					// The removed machine no longer counts as lost, so that two disks may be lost: those of a
					// machine that was just back, and of a further one.
					q.publish(kept[0], 1)
					q.t.Log(q.running[q.awaitLeader()].loop.State().Voters())
					q.stopAll()
					for _, n := range []int{leader, kept[2]} {
						q.g.Expect(os.RemoveAll(q.dataDir(n))).To(gomega.Succeed())
					}
					for _, n := range append([]int{leader, 6}, kept...) {
						q.start(n, false, kept...)
					}
					q.awaitDocument(kept[0], 1)
				})
			})
		}
	}
}
