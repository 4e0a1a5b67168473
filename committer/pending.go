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
	// ErrNotLeader says that nothing was proposed.
	ErrNotLeader = merry.Sentinel("this keeper does not lead")
	// ErrOutcomeLost says that the leader's role was lost with the call under
	// way.
	ErrOutcomeLost = merry.Sentinel("the leader's role was lost before the outcome was known")
)

// Store keeps rows durably: Apply returns after the sync.
type Store interface {
	Apply([]storer.Row) error
	Each(bucket string, f func(key string, value []byte) error) error
}

// Outcome is what became of a call to the core.
type Outcome struct {
	// Result is what the machine made of a proposal.
	Result any
	// Index covers all that was acknowledged before a read.
	Index uint64
	Err   error
}

// Restore gives a core the rows of its store and returns its first actions.
func Restore(core *replicator.Core, store Store) ([]replicator.Action, error) {
	disk := core.NewRestorer()
	for _, b := range replicator.Buckets {
		if err := store.Each(b, func(key string, value []byte) error {
			disk.Row(b, key, append([]byte(nil), value...))
			return nil
		}); err != nil {
			return nil, err
		}
	}
	return disk.Start(time.Now())
}

// Desk holds the calls that wait for a core, and carries its actions out. It
// belongs to the goroutine that steps the core.
type Desk[A any] struct {
	// Answer makes a caller's answer of an outcome.
	answer  func(Outcome) A
	ticket  replicator.Ticket
	waiting map[replicator.Ticket]chan A
}

// NewDesk returns a desk whose callers get what answer makes of an outcome.
func NewDesk[A any](answer func(Outcome) A) Desk[A] {
	return Desk[A]{answer: answer, waiting: map[replicator.Ticket]chan A{}}
}

// Wait returns a ticket whose outcome goes to done, which must not block.
func (d *Desk[A]) Wait(done chan A) replicator.Ticket {
	d.ticket++
	d.waiting[d.ticket] = done
	return d.ticket
}

// Applied is how far a log is applied, with a channel that is closed once it is
// applied further.
type Applied func() (index uint64, changed <-chan struct{})

// Reached waits until a log is applied up to an index. It returns gone if the log
// ends first.
func Reached(ctx context.Context, applied Applied, index uint64, ended <-chan struct{}, gone error) error {
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

// Ports are what a core's actions need.
type Ports struct {
	// Sync returns once the rows are durable.
	Sync func([]storer.Row) error
	// Show publishes the state that the rows make durable.
	Show func()
	// Send passes a message on; it must not block.
	Send func(*messenger.LogMessage)
}

// CarryOut syncs all rows before anything leaves the process: a vote or an
// answer whose rows are lost with the power would be given again, differently.
func (d *Desk[A]) CarryOut(actions []replicator.Action, p Ports) error {
	var rows []storer.Row
	for _, a := range actions {
		if w, ok := a.(replicator.Write); ok {
			rows = append(rows, storer.Row(w))
		}
	}
	if err := p.Sync(rows); err != nil {
		return err
	}
	p.Show()
	for _, a := range actions {
		switch a := a.(type) {
		case replicator.Send:
			p.Send(a.Message)
		case replicator.Answered:
			d.settle(a.Ticket, Outcome{Result: a.Result})
		case replicator.Confirmed:
			d.settle(a.Ticket, Outcome{Index: a.Index})
		case replicator.Lost:
			d.settle(a.Ticket, Outcome{Err: ErrOutcomeLost})
		case replicator.Rejected:
			d.settle(a.Ticket, Outcome{Err: ErrNotLeader})
		case replicator.Halt:
			return a.Err
		}
	}
	return nil
}

func (d *Desk[A]) settle(t replicator.Ticket, o Outcome) {
	if done := d.waiting[t]; done != nil {
		delete(d.waiting, t)
		done <- d.answer(o)
	}
}
