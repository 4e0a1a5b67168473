package router

import (
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist"
)

// TestRecordsOfOneKeyCountOnce
// Symptom: a router refuses its siblings' records although it holds few.
// Sequence: two siblings tell a run of the same request at the same time, as
// happens when its home changes; this repeats for days.
// Cause: put looked for the key and stored it in two steps, so that both
// counted it, and only one is ever taken off the count.
func TestRecordsOfOneKeyCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	const tellers, rounds = 8, 2000
	var r records
	now := time.Now()
	for range rounds {
		k := rattanhoist.NewRequestKey("w", "id")
		var wg sync.WaitGroup
		for range tellers {
			wg.Go(func() { r.put(k, record{owner: "osu-hall-1", expires: now}) })
		}
		wg.Wait()
		r.expire(now)
	}
	g.Expect(r.count.Load()).To(gomega.BeZero())
}

// TestExpiryKeepsRecordsThatAreRenewed
// Symptom: a retry after the loss of a router runs anew, although the run had
// been told to this router.
// Sequence: expiry finds a record too old; a beat renews the record; expiry
// deletes it.
// Cause: expiry deleted whatever stood under the key.
func TestExpiryKeepsRecordsThatAreRenewed(t *testing.T) {
	g := gomega.NewWithT(t)
	const rounds = 20_000
	var r records
	k := rattanhoist.NewRequestKey("w", "id")
	now := time.Now()
	for range rounds {
		r.put(k, record{owner: "old", expires: now})
		var wg sync.WaitGroup
		wg.Go(func() { r.expire(now) })
		wg.Go(func() { r.put(k, record{owner: "new", expires: now.Add(time.Hour)}) })
		wg.Wait()
		x, ok := r.get(k, now)
		g.Expect(ok && x.owner == "new").To(gomega.BeTrue())
		r.expire(now.Add(2 * time.Hour))
	}
	g.Expect(r.count.Load()).To(gomega.BeZero())
}
