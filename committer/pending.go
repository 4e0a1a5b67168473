package committer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

// Errors of calls to the log. Compare with errors.Is.
var (
	// ErrNotLeader says that nothing was proposed because this keeper does not lead.
	ErrNotLeader = merry.Sentinel("this keeper does not lead")
	// ErrOutcomeUnknown says that the keeper stopped leading while the call was in
	// progress.
	ErrOutcomeUnknown = merry.Sentinel("the leader's role was lost before the outcome was known")
)

// Store stores rows durably: Apply returns after the sync.
type Store interface {
	Apply([]storer.Row) error
	Each(bucket string, f func(key string, value []byte) error) error
}

// Outcome is the outcome of a call to the core.
type Outcome struct {
	// Result is what the state machine returned for a proposal.
	Result any
	// Index covers everything acknowledged before a read.
	Index uint64
	Err   error
}

// RestoreCore loads the rows of a store into a core and returns the core's first actions.
func RestoreCore(core *replicator.Core, store Store) ([]replicator.Action, error) {
	restorer := core.NewRestorer()
	for _, b := range replicator.Buckets {
		if err := store.Each(b, func(key string, value []byte) error {
			restorer.AddRow(b, key, append([]byte(nil), value...))
			return nil
		}); err != nil {
			return nil, err
		}
	}
	return restorer.Start(time.Now())
}

// PendingCalls holds the calls that wait for a core, and executes the core's actions. Only
// the goroutine that steps the core uses it.
type PendingCalls[A any] struct {
	// answer converts an outcome to what the caller receives.
	answer  func(Outcome) A
	ticket  replicator.Ticket
	waiting map[replicator.Ticket]chan A
}

// NewPendingCalls returns an empty PendingCalls; answer converts an outcome to what
// callers receive.
func NewPendingCalls[A any](answer func(Outcome) A) PendingCalls[A] {
	return PendingCalls[A]{answer: answer, waiting: map[replicator.Ticket]chan A{}}
}

// Add registers a call and returns its ticket. The outcome is sent to done, which must not
// block.
func (d *PendingCalls[A]) Add(done chan A) replicator.Ticket {
	d.ticket++
	d.waiting[d.ticket] = done
	return d.ticket
}

// AppliedFunc returns the last applied index, and a channel that is closed once further
// entries are applied.
type AppliedFunc func() (index uint64, changed <-chan struct{})

// WaitApplied waits until a log is applied up to an index. It returns gone if the log ends
// first.
func WaitApplied(ctx context.Context, applied AppliedFunc, index uint64, ended <-chan struct{}, gone error) error {
	for {
		at, changed := applied()
		if at >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
			return gone
		}
	}
}

// ActionHandlers are the functions that execute a core's actions.
type ActionHandlers struct {
	// Persist returns once the rows are durable.
	Persist func([]storer.Row) error
	// PublishState updates the visible state after its rows are durable.
	PublishState func()
	// Send sends a message; it must not block.
	Send func(*messenger.LogMessage)
}

// Execute syncs all rows before it sends any message or answer: if a vote or an answer
// left the process and a power failure lost its rows, it could be given again with
// different content.
func (d *PendingCalls[A]) Execute(actions []replicator.Action, p ActionHandlers) error {
	var rows []storer.Row
	for _, a := range actions {
		if w, ok := a.(replicator.Write); ok {
			rows = append(rows, storer.Row(w))
		}
	}
	if err := p.Persist(rows); err != nil {
		return err
	}
	p.PublishState()
	for _, a := range actions {
		switch a := a.(type) {
		case replicator.Send:
			p.Send(a.Message)
		case replicator.ProposalCommitted:
			d.complete(a.Ticket, Outcome{Result: a.Result})
		case replicator.ReadConfirmed:
			d.complete(a.Ticket, Outcome{Index: a.Index})
		case replicator.OutcomeUnknown:
			d.complete(a.Ticket, Outcome{Err: ErrOutcomeUnknown})
		case replicator.Rejected:
			d.complete(a.Ticket, Outcome{Err: ErrNotLeader})
		case replicator.Halt:
			return a.Err
		}
	}
	return nil
}

// complete sends the outcome to the call with a ticket and removes the call.
func (d *PendingCalls[A]) complete(t replicator.Ticket, o Outcome) {
	if done := d.waiting[t]; done != nil {
		delete(d.waiting, t)
		done <- d.answer(o)
	}
}
