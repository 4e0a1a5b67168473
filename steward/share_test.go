package steward

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
)

// Guards against a router that takes an earlier version for the only one of a service because its keeper hears
// late of a release, while routers that sync with another keeper begin streams at the new version.
func TestKeepersShareANewVersionAtOnce(t *testing.T) {
	runQuorum(t, func(q *quorum) {
		for n := range 8 {
			// At any moment between two messages of the keeper.
			time.Sleep(shareInterval + time.Duration(n)*40*time.Millisecond)
			b := heartbeatFor(fmt.Sprint("i-", n), 1, "s")
			b.Address, b.Version = fmt.Sprintf("10.0.0.%d:1", n+1), enroller.Version(fmt.Sprint("v", n))
			q.g.Expect(q.running[1].registry.observeHeartbeat(time.Now(), b)).To(gomega.Succeed())
			time.Sleep(2 * minShareInterval)
			for _, k := range q.others(1) {
				r := q.running[k].registry
				r.mu.Lock()
				known := r.table.Versions().Knows("s", b.Version)
				r.mu.Unlock()
				q.g.Expect(known).To(gomega.BeTrue(), "keeper %d, version %d", k, n)
			}
		}
	})
}
