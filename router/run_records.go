package router

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
)

// maxRunRecords bounds the stored records of siblings, about 300 bytes each.
const maxRunRecords = 100_000

// runRecord describes a run in progress at a sibling.
type runRecord struct {
	owner   string
	digest  joiner.Digest
	stream  joiner.Stream
	expires time.Time
}

// runRecordStore holds the run records of siblings, so that this router can
// take over a run when its owner fails.
type runRecordStore struct {
	// byKey maps a rattanhoist.RequestKey to a runRecord.
	byKey sync.Map
	// count is the number of keys. It can exceed maxRunRecords by the number of
	// concurrent put calls.
	count atomic.Int64
}

// put stores a record, or drops it if the store is full and the key is new.
func (r *runRecordStore) put(k rattanhoist.RequestKey, x runRecord) {
	if _, had := r.byKey.Load(k); !had && r.count.Load() >= maxRunRecords {
		peerCounters.Add("records_refused", 1)
		return
	}
	if _, had := r.byKey.Swap(k, x); !had {
		r.count.Add(1)
	}
}

// get returns the record of a key if it has not expired.
func (r *runRecordStore) get(k rattanhoist.RequestKey, now time.Time) (runRecord, bool) {
	v, ok := r.byKey.Load(k)
	if !ok || !now.Before(v.(runRecord).expires) {
		return runRecord{}, false
	}
	return v.(runRecord), true
}

// expire deletes expired records, except for those that are replaced meanwhile.
func (r *runRecordStore) expire(now time.Time) {
	r.byKey.Range(func(k, v any) bool {
		if !now.Before(v.(runRecord).expires) && r.byKey.CompareAndDelete(k, v) {
			r.count.Add(-1)
		}
		return true
	})
}
