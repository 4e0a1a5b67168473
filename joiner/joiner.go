package joiner

import (
	"expvar"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist"
)

// Errors of an arrival. Compare with errors.Is.
var (
	// ErrIDReused is returned if the id belongs to a different request.
	ErrIDReused = merry.Sentinel("the request id was used for another request")
	// ErrNotFound is returned if there is no run and no response for the id.
	ErrNotFound = merry.Sentinel("no run and no answer is remembered")
)

// shardCount is the number of shards, each with its own lock to reduce
// contention.
const shardCount = 64

var counters = expvar.NewMap("joiner")

type shard struct {
	mu   sync.Mutex
	core *Core
	// runs holds a run for every entry of the core.
	runs map[rattanhoist.RequestKey]*Run
}

// Joiner holds the runs and stored responses of a router. It is safe for
// concurrent use.
type Joiner struct {
	shards [shardCount]*shard
}

// New returns a joiner; MaxBytes is divided evenly among its shards.
func New(l Limits) *Joiner {
	l.MaxBytes /= shardCount
	j := &Joiner{}
	for i := range j.shards {
		j.shards[i] = &shard{core: NewCore(l), runs: map[rattanhoist.RequestKey]*Run{}}
	}
	return j
}

func (j *Joiner) shard(k rattanhoist.RequestKey) *shard {
	return j.shards[xxhash.Sum64String(k.String())%shardCount]
}

// Arrive returns the run of a request. If begun is true, the run is new, and the
// caller must execute it and call End. Every caller that gets no error must call
// Leave.
func (j *Joiner) Arrive(now time.Time, a Arrive) (run *Run, begun bool, err error) {
	s := j.shard(a.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.core.Step(now, a) {
		switch x := x.(type) {
		case Forget:
			delete(s.runs, a.Key)
		case Start:
			counters.Add("runs_begun", 1)
			s.runs[a.Key] = newRun()
			s.runs[a.Key].proven = a.FirstAttempt && !x.Rerun
			return s.runs[a.Key], true, nil
		case Join:
			counters.Add("arrivals_joined", 1)
			return s.runs[a.Key], false, nil
		case Reused:
			counters.Add("ids_reused", 1)
			return nil, false, ErrIDReused
		}
	}
	return nil, false, ErrNotFound
}

// Leave records that a waiter of a run has its response or has gone. It ignores
// waiters of an earlier run with the same id.
func (j *Joiner) Leave(now time.Time, k rattanhoist.RequestKey, run *Run) {
	s := j.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[k] == run {
		s.core.Step(now, Leave{Key: k})
	}
}

// Stop prevents the run of a waiter from being dispatched, unless others wait
// for it too. It reports whether the request certainly did not run.
func (j *Joiner) Stop(k rattanhoist.RequestKey, run *Run) bool {
	s := j.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[k] == run && s.core.Waiters(k) > 1 {
		return false
	}
	_, proven := run.Stop()
	return proven
}

// End ends a run with a response or an error. The response is stored for
// retries. After an error, the fact that the request may have run is stored,
// unless the run was stopped before its dispatch.
func (j *Joiner) End(now time.Time, k rattanhoist.RequestKey, run *Run, a *Answer, err error) {
	stopped, _ := run.Stop()
	how := Answered
	switch {
	case err != nil && stopped:
		how = NotRun
	case err != nil:
		how = Failed
	}
	s := j.shard(k)
	s.mu.Lock()
	if s.runs[k] == run {
		s.apply(s.core.Step(now, End{Key: k, Size: run.Length(), Outcome: how}))
	}
	s.mu.Unlock()
	run.end(a, err)
}

// Tick cancels runs without waiters or past their deadline and removes expired
// entries.
func (j *Joiner) Tick(now time.Time) {
	for _, s := range j.shards {
		s.mu.Lock()
		s.apply(s.core.Step(now, Tick{}))
		s.mu.Unlock()
	}
}

// apply carries out the actions of an End or Tick event.
func (s *shard) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Cancel:
			counters.Add("runs_given_up", 1)
			s.runs[a.Key].cancel()
		case Forget:
			if a.Evicted {
				counters.Add("answers_evicted", 1)
			}
			delete(s.runs, a.Key)
		}
	}
}

// Len returns the number of running and finished requests and the size of the
// stored responses.
func (j *Joiner) Len() (requests int, bytes int64) {
	for _, s := range j.shards {
		s.mu.Lock()
		requests += s.core.Len()
		bytes += s.core.Bytes()
		s.mu.Unlock()
	}
	return requests, bytes
}
