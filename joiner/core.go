// Package joiner deduplicates requests by their id: a router executes at most
// one run per id at a time. A repeated request joins the run in progress or gets
// the cached response, and an id that is reused for a different request is
// rejected.
package joiner

import (
	"container/list"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Digest is the SHA-256 sum of the content of a request.
type Digest [sha256.Size]byte

// Limits bounds how long and how much a core stores.
type Limits struct {
	// Grace is how long a run continues after its last waiter has left, so
	// that a retry can join it.
	Grace time.Duration
	// Keep is how long after its deadline a finished request is stored.
	Keep time.Duration
	// MaxBytes is the maximum size of the stored responses, including
	// entryBytes for each.
	MaxBytes int64
}

// entryBytes is the size of a stored request without its response.
const entryBytes = 900

// Event is an input of a core.
type Event interface{ isEvent() }

// Arrive is the arrival of a request at the router.
type Arrive struct {
	Key      rattanhoist.RequestKey
	Digest   Digest
	Deadline time.Time
	// Pinned lets the run continue after its waiters have left, because a
	// request that must not be repeated must not be cancelled half-way.
	Pinned bool
	// JoinOnly prevents the arrival from starting a run.
	JoinOnly bool
	// FirstAttempt is set if no earlier attempt can have run elsewhere.
	FirstAttempt bool
}

// Leave is the departure of a waiter, with or without a response.
type Leave struct{ Key rattanhoist.RequestKey }

// Outcome is the outcome of a run.
type Outcome int

// Outcomes of a run.
const (
	// Answered means that the run succeeded; its response is stored for
	// retries.
	Answered Outcome = iota
	// Failed means that the request may have run; this fact is stored, and a
	// retry starts a new run.
	Failed
	// NotRun means that the request was not run; nothing is stored.
	NotRun
)

// End is the end of a run.
type End struct {
	Key     rattanhoist.RequestKey
	Size    int64
	Outcome Outcome
}

// Tick advances the time.
type Tick struct{}

func (Arrive) isEvent() {}
func (Leave) isEvent()  {}
func (End) isEvent()    {}
func (Tick) isEvent()   {}

// Action is an output of a core, to be carried out by its caller.
type Action interface{ isAction() }

// Start starts a run for which the arrival waits. Rerun is set if an earlier run
// at this router may have been dispatched.
type Start struct {
	Key   rattanhoist.RequestKey
	Rerun bool
}

// Join lets the arrival wait for the run in progress or get the stored response.
type Join struct{ Key rattanhoist.RequestKey }

// Reused rejects the arrival because its id belongs to a different request.
type Reused struct{ Key rattanhoist.RequestKey }

// Absent rejects an arrival that may only join because there is nothing to join.
type Absent struct{ Key rattanhoist.RequestKey }

// Cancel cancels a run without waiters or past its deadline.
type Cancel struct{ Key rattanhoist.RequestKey }

// Forget removes an entry; Evicted is set if MaxBytes was exceeded.
type Forget struct {
	Key     rattanhoist.RequestKey
	Evicted bool
}

func (Start) isAction()  {}
func (Join) isAction()   {}
func (Reused) isAction() {}
func (Absent) isAction() {}
func (Cancel) isAction() {}
func (Forget) isAction() {}

// entry is a running or finished request.
type entry struct {
	key    rattanhoist.RequestKey
	digest Digest
	pinned bool
	// waiters counts the arrivals that have not left.
	waiters int
	// deadline is the latest deadline of the arrivals.
	deadline time.Time
	// idleSince is when the last waiter left.
	idleSince time.Time
	// cancelled is set once Cancel was returned; the run is going to end.
	cancelled bool
	// failed is set if the run ended without a response.
	failed bool
	size   int64
	// element is the position in Core.finished; nil while the run is in
	// progress.
	element *list.Element
}

// Core is the state machine that deduplicates the requests of one shard. It is
// not safe for concurrent use.
type Core struct {
	limits  Limits
	entries map[rattanhoist.RequestKey]*entry
	// finished lists the finished entries in the order in which they ended.
	finished *list.List
	bytes    int64
}

// NewCore returns an empty core.
func NewCore(l Limits) *Core {
	return &Core{limits: l, entries: map[rattanhoist.RequestKey]*entry{}, finished: list.New()}
}

// Bytes returns the size of the stored responses.
func (c *Core) Bytes() int64 { return c.bytes }

// Len returns the number of running and finished requests.
func (c *Core) Len() int { return len(c.entries) }

// Waiters returns the number of arrivals that wait for a request.
func (c *Core) Waiters(k rattanhoist.RequestKey) int {
	if e := c.entries[k]; e != nil {
		return e.waiters
	}
	return 0
}

// Step applies an event and returns the actions to carry out.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Arrive:
		return c.arrive(now, e)
	case Leave:
		return c.leave(now, e)
	case End:
		return c.end(e)
	case Tick:
		return c.tick(now)
	}
	return nil
}

func (c *Core) arrive(now time.Time, a Arrive) []Action {
	e := c.entries[a.Key]
	if e != nil && e.element != nil && !now.Before(e.expiry(c.limits.Keep)) {
		c.forget(e)
		return append([]Action{Forget{Key: a.Key}}, c.arrive(now, a)...)
	}
	switch {
	case e == nil && a.JoinOnly:
		return []Action{Absent{Key: a.Key}}
	case e == nil:
		c.addEntry(a)
		return []Action{Start{Key: a.Key}}
	case e.digest != a.Digest:
		return []Action{Reused{Key: a.Key}}
	case e.failed && a.JoinOnly:
		return []Action{Absent{Key: a.Key}}
	case e.failed:
		c.forget(e)
		c.addEntry(a)
		return []Action{Start{Key: a.Key, Rerun: true}}
	}
	e.waiters++
	if a.Deadline.After(e.deadline) {
		e.deadline = a.Deadline
	}
	return []Action{Join{Key: a.Key}}
}

// addEntry adds the entry of a run that starts.
func (c *Core) addEntry(a Arrive) {
	c.entries[a.Key] = &entry{key: a.Key, digest: a.Digest, pinned: a.Pinned, waiters: 1, deadline: a.Deadline}
}

func (c *Core) leave(now time.Time, l Leave) []Action {
	e := c.entries[l.Key]
	if e == nil || e.waiters == 0 {
		return nil
	}
	e.waiters--
	if e.waiters == 0 {
		e.idleSince = now
	}
	return nil
}

func (c *Core) end(d End) []Action {
	e := c.entries[d.Key]
	if e == nil || e.element != nil {
		return nil
	}
	if d.Outcome == NotRun {
		delete(c.entries, d.Key)
		return []Action{Forget{Key: d.Key}}
	}
	e.failed = d.Outcome == Failed
	e.size = entryBytes
	if d.Outcome == Answered {
		e.size += d.Size
	}
	e.element = c.finished.PushBack(e)
	c.bytes += e.size
	var out []Action
	for c.bytes > c.limits.MaxBytes {
		oldest := c.finished.Front().Value.(*entry)
		c.forget(oldest)
		out = append(out, Forget{Key: oldest.key, Evicted: true})
	}
	return out
}

func (c *Core) tick(now time.Time) []Action {
	var out []Action
	for _, e := range c.entries {
		switch {
		case e.element != nil && !now.Before(e.expiry(c.limits.Keep)):
			c.forget(e)
			out = append(out, Forget{Key: e.key})
		case e.element == nil && !e.cancelled && c.mustCancel(now, e):
			e.cancelled = true
			out = append(out, Cancel{Key: e.key})
		}
	}
	slices.SortFunc(out, func(a, b Action) int { return strings.Compare(keyOf(a), keyOf(b)) })
	return out
}

func keyOf(a Action) string {
	switch a := a.(type) {
	case Cancel:
		return a.Key.String()
	case Forget:
		return a.Key.String()
	}
	return ""
}

// mustCancel reports whether a run must be cancelled: it is past the deadlines
// of all arrivals, or it isn't pinned and has had no waiters for the grace time.
func (c *Core) mustCancel(now time.Time, e *entry) bool {
	if !now.Before(e.deadline) {
		return true
	}
	return !e.pinned && e.waiters == 0 && now.Sub(e.idleSince) >= c.limits.Grace
}

func (c *Core) forget(e *entry) {
	delete(c.entries, e.key)
	c.finished.Remove(e.element)
	c.bytes -= e.size
}

func (e *entry) expiry(keep time.Duration) time.Time { return e.deadline.Add(keep) }
