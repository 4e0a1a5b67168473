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
	// ErrReused says that the identity belongs to another request.
	ErrReused = merry.Sentinel("the request id was used for another request")
	// ErrAbsent says that nothing is remembered under the identity.
	ErrAbsent = merry.Sentinel("no run and no answer is remembered")
)

// shards is how many locks the identities are spread over, so that no lock is
// shared by all requests.
const shards = 64

var counters = expvar.NewMap("joiner")

type shard struct {
	mu   sync.Mutex
	core *Core
	// Runs holds a run for every entry of the core.
	runs map[rattanhoist.RequestKey]*Run
}

// Joiner holds the runs and kept answers of a router. Safe for concurrent
// use.
type Joiner struct {
	shards [shards]*shard
}

// New returns a joiner; the limit of bytes is shared out over its shards.
func New(l Limits) *Joiner {
	l.MaxBytes /= shards
	j := &Joiner{}
	for i := range j.shards {
		j.shards[i] = &shard{core: NewCore(l), runs: map[rattanhoist.RequestKey]*Run{}}
	}
	return j
}

func (j *Joiner) shard(k rattanhoist.RequestKey) *shard {
	return j.shards[xxhash.Sum64String(k.String())%shards]
}

// Arrive returns the run of a request. Where it is new, begun reports true
// and the caller must run it and End it. Every arrival without an error must
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
			s.runs[a.Key].proven = a.First && !x.Again
			return s.runs[a.Key], true, nil
		case Join:
			counters.Add("arrivals_joined", 1)
			return s.runs[a.Key], false, nil
		case Reused:
			counters.Add("ids_reused", 1)
			return nil, false, ErrReused
		}
	}
	return nil, false, ErrAbsent
}

// Leave says that a waiter of a run has its answer or has gone. A waiter of
// an earlier run under the same identity does not count for the one now.
func (j *Joiner) Leave(now time.Time, k rattanhoist.RequestKey, run *Run) {
	s := j.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[k] == run {
		s.core.Step(now, Leave{Key: k})
	}
}

// Stop keeps the run of a waiter from being dispatched, unless others wait
// for it too. It reports whether the request provably did not run.
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

// End ends a run. An answer is kept for retries; of a failure, that it may
// have run.
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
		s.apply(s.core.Step(now, End{Key: k, Size: run.Length(), How: how}))
	}
	s.mu.Unlock()
	run.end(a, err)
}

// Tick gives up runs that nobody waits for and forgets what has expired.
func (j *Joiner) Tick(now time.Time) {
	for _, s := range j.shards {
		s.mu.Lock()
		s.apply(s.core.Step(now, Tick{}))
		s.mu.Unlock()
	}
}

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

// Len returns how many requests are remembered, and the bytes of their kept
// answers.
func (j *Joiner) Len() (requests int, bytes int64) {
	for _, s := range j.shards {
		s.mu.Lock()
		requests += s.core.Len()
		bytes += s.core.Bytes()
		s.mu.Unlock()
	}
	return requests, bytes
}
