package router

import (
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist"
)

// TestConcurrentRecordsOfOneKeyCountOnce stores records of the same request
// from two siblings concurrently, as happens when its home changes. put looked
// up the key and stored it in two steps, so that both calls counted it, and
// only one was ever subtracted. After days of this a router refused its
// siblings' records although it held few.
func TestConcurrentRecordsOfOneKeyCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	const writers, rounds = 8, 2000
	var r runRecordStore
	now := time.Now()
	for range rounds {
		k := rattanhoist.NewRequestKey("w", "id")
		var wg sync.WaitGroup
		for range writers {
			wg.Go(func() { r.put(k, runRecord{owner: "osu-hall-1", expires: now}) })
		}
		wg.Wait()
		r.expire(now)
	}
	g.Expect(r.count.Load()).To(gomega.BeZero())
}

// TestExpiryKeepsRenewedRecords renews a record by a heartbeat between the
// moment when expiry finds it too old and its deletion. Expiry deleted whatever
// was stored under the key, so a retry after the loss of a router ran again
// although this router had been told of the run.
func TestExpiryKeepsRenewedRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	const rounds = 20_000
	var r runRecordStore
	k := rattanhoist.NewRequestKey("w", "id")
	now := time.Now()
	for range rounds {
		r.put(k, runRecord{owner: "old", expires: now})
		var wg sync.WaitGroup
		wg.Go(func() { r.expire(now) })
		wg.Go(func() { r.put(k, runRecord{owner: "new", expires: now.Add(time.Hour)}) })
		wg.Wait()
		x, ok := r.get(k, now)
		g.Expect(ok && x.owner == "new").To(gomega.BeTrue())
		r.expire(now.Add(2 * time.Hour))
	}
	g.Expect(r.count.Load()).To(gomega.BeZero())
}
