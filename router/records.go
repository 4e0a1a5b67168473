package router

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
)

// maxRecords bounds the remembered records of siblings, about 300 bytes each.
const maxRecords = 100_000

// record is what a sibling has told of a run of its own.
type record struct {
	owner   string
	digest  joiner.Digest
	stream  joiner.Stream
	expires time.Time
}

// records remembers what siblings run, so that this router can go on with it.
type records struct {
	// ByKey maps a rattanhoist.RequestKey to a record.
	byKey sync.Map
	// Count is the number of keys; maxRecords may be passed by as many as are
	// put at once.
	count atomic.Int64
}

func (r *records) put(k rattanhoist.RequestKey, x record) {
	if _, had := r.byKey.Load(k); !had && r.count.Load() >= maxRecords {
		peerCounters.Add("records_refused", 1)
		return
	}
	if _, had := r.byKey.Swap(k, x); !had {
		r.count.Add(1)
	}
}

func (r *records) get(k rattanhoist.RequestKey, now time.Time) (record, bool) {
	v, ok := r.byKey.Load(k)
	if !ok || !now.Before(v.(record).expires) {
		return record{}, false
	}
	return v.(record), true
}

func (r *records) expire(now time.Time) {
	r.byKey.Range(func(k, v any) bool {
		if !now.Before(v.(record).expires) && r.byKey.CompareAndDelete(k, v) {
			r.count.Add(-1)
		}
		return true
	})
}
