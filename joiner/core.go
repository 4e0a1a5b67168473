// Package joiner gives each request identity one run at a router: a second
// arrival joins the run in progress or gets the kept answer, and an identity
// that comes back with another request is refused.
package joiner

import (
	"container/list"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Digest is the SHA-256 sum of what a request asks for.
type Digest [sha256.Size]byte

// Limits bound what a core remembers.
type Limits struct {
	// Grace is how long a run goes on after its last waiter has gone, so
	// that a retry can join it.
	Grace time.Duration
	// Keep is how long past its deadline a finished request is remembered.
	Keep time.Duration
	// MaxBytes bounds the kept answers, with entryBytes for each.
	MaxBytes int64
}

// entryBytes is what a remembered request takes besides its answer.
const entryBytes = 900

// Event is what happens to a core.
type Event interface{ isEvent() }

// Arrive is a request at the router.
type Arrive struct {
	Key      rattanhoist.RequestKey
	Digest   Digest
	Deadline time.Time
	// Pinned keeps the run going when its waiters have gone: a request that
	// may not be repeated must not be lost half-way.
	Pinned bool
	// JoinOnly never starts a run.
	JoinOnly bool
	// First says that no earlier attempt can have run elsewhere.
	First bool
}

// Leave is a waiter that has its answer or has gone.
type Leave struct{ Key rattanhoist.RequestKey }

// How says how a run ended.
type How int

// Ends of a run.
const (
	// Answered keeps the answer for retries.
	Answered How = iota
	// Failed remembers that the request may have run; a retry runs anew.
	Failed
	// NotRun remembers nothing.
	NotRun
)

// End is the end of a run.
type End struct {
	Key  rattanhoist.RequestKey
	Size int64
	How  How
}

// Tick lets time pass.
type Tick struct{}

func (Arrive) isEvent() {}
func (Leave) isEvent()  {}
func (End) isEvent()    {}
func (Tick) isEvent()   {}

// Action is what the shell must do.
type Action interface{ isAction() }

// Start begins a run; the arrival waits for it. Again says that an earlier run
// here may have been dispatched.
type Start struct {
	Key   rattanhoist.RequestKey
	Again bool
}

// Join has the arrival wait for the run in progress or take the kept answer.
type Join struct{ Key rattanhoist.RequestKey }

// Reused refuses the arrival: its identity belongs to another request.
type Reused struct{ Key rattanhoist.RequestKey }

// Absent answers an arrival that may only join: nothing is remembered.
type Absent struct{ Key rattanhoist.RequestKey }

// Cancel ends a run that nobody waits for, or whose time is up.
type Cancel struct{ Key rattanhoist.RequestKey }

// Forget drops an entry; Evicted says that it was for want of room.
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

// entry is one remembered request.
type entry struct {
	key    rattanhoist.RequestKey
	digest Digest
	pinned bool
	// Waiters counts arrivals that have not left.
	waiters int
	// Deadline is the latest of the arrivals'.
	deadline time.Time
	// Idle is when the last waiter left a run.
	idle time.Time
	// Cancelled says that Cancel was given out; the run will end.
	cancelled bool
	// Failed says that the run ended without an answer.
	failed bool
	size   int64
	// Kept is the place among the finished, oldest first; nil while running.
	kept *list.Element
}

// Core decides for the identities of one shard. It is not safe for concurrent
// use.
type Core struct {
	limits  Limits
	entries map[rattanhoist.RequestKey]*entry
	// Kept lists finished entries in the order in which they ended.
	kept  *list.List
	bytes int64
}

// NewCore returns an empty core.
func NewCore(l Limits) *Core {
	return &Core{limits: l, entries: map[rattanhoist.RequestKey]*entry{}, kept: list.New()}
}

// Bytes returns the size of the kept answers.
func (c *Core) Bytes() int64 { return c.bytes }

// Len returns the number of remembered requests.
func (c *Core) Len() int { return len(c.entries) }

// Waiters returns how many arrivals wait for a request.
func (c *Core) Waiters(k rattanhoist.RequestKey) int {
	if e := c.entries[k]; e != nil {
		return e.waiters
	}
	return 0
}

// Step handles an event.
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
	if e != nil && e.kept != nil && !now.Before(e.expiry(c.limits.Keep)) {
		c.forget(e)
		return append([]Action{Forget{Key: a.Key}}, c.arrive(now, a)...)
	}
	switch {
	case e == nil && a.JoinOnly:
		return []Action{Absent{Key: a.Key}}
	case e == nil:
		c.begin(a)
		return []Action{Start{Key: a.Key}}
	case e.digest != a.Digest:
		return []Action{Reused{Key: a.Key}}
	case e.failed && a.JoinOnly:
		return []Action{Absent{Key: a.Key}}
	case e.failed:
		c.forget(e)
		c.begin(a)
		return []Action{Start{Key: a.Key, Again: true}}
	}
	e.waiters++
	if a.Deadline.After(e.deadline) {
		e.deadline = a.Deadline
	}
	return []Action{Join{Key: a.Key}}
}

// begin remembers a request that starts to run.
func (c *Core) begin(a Arrive) {
	c.entries[a.Key] = &entry{key: a.Key, digest: a.Digest, pinned: a.Pinned, waiters: 1, deadline: a.Deadline}
}

func (c *Core) leave(now time.Time, l Leave) []Action {
	e := c.entries[l.Key]
	if e == nil || e.waiters == 0 {
		return nil
	}
	e.waiters--
	if e.waiters == 0 {
		e.idle = now
	}
	return nil
}

func (c *Core) end(d End) []Action {
	e := c.entries[d.Key]
	if e == nil || e.kept != nil {
		return nil
	}
	if d.How == NotRun {
		delete(c.entries, d.Key)
		return []Action{Forget{Key: d.Key}}
	}
	e.failed = d.How == Failed
	e.size = entryBytes
	if d.How == Answered {
		e.size += d.Size
	}
	e.kept = c.kept.PushBack(e)
	c.bytes += e.size
	var out []Action
	for c.bytes > c.limits.MaxBytes {
		oldest := c.kept.Front().Value.(*entry)
		c.forget(oldest)
		out = append(out, Forget{Key: oldest.key, Evicted: true})
	}
	return out
}

func (c *Core) tick(now time.Time) []Action {
	var out []Action
	for _, e := range c.entries {
		switch {
		case e.kept != nil && !now.Before(e.expiry(c.limits.Keep)):
			c.forget(e)
			out = append(out, Forget{Key: e.key})
		case e.kept == nil && !e.cancelled && c.over(now, e):
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

// over reports whether a run must end: past every deadline, or with nobody
// left to read its answer.
func (c *Core) over(now time.Time, e *entry) bool {
	if !now.Before(e.deadline) {
		return true
	}
	return !e.pinned && e.waiters == 0 && now.Sub(e.idle) >= c.limits.Grace
}

func (c *Core) forget(e *entry) {
	delete(c.entries, e.key)
	c.kept.Remove(e.kept)
	c.bytes -= e.size
}

func (e *entry) expiry(keep time.Duration) time.Time { return e.deadline.Add(keep) }
