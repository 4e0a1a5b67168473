package keeper

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/storer"
)

// commitMost bounds how many events share one sync.
const commitMost = 512

// call is one event with the place for its answer, or a read.
type call struct {
	event budgeter.Event
	read  func(*budgeter.Vault)
	done  chan budgeter.Reply
}

// vaultLoop runs the vault: one goroutine steps it, syncs the rows of every
// waiting event in one commit, and only then answers.
type vaultLoop struct {
	vault *budgeter.Vault
	store *storer.Store
	calls chan call
	ended chan struct{}
}

func newVaultLoop(zone string, store *storer.Store) (*vaultLoop, error) {
	l := &vaultLoop{
		vault: budgeter.NewVault(zone), store: store,
		calls: make(chan call, commitMost), ended: make(chan struct{}),
	}
	for _, b := range budgeter.Buckets {
		err := store.Each(b, func(key string, value []byte) error { return l.vault.Restore(b, key, value) })
		if err != nil {
			return nil, err
		}
	}
	return l, nil
}

// run steps the vault until ctx ends or the store fails. After a failed
// write the memory is ahead of the disk, so the process must not go on: it
// would answer from rights that a restart forgets.
func (l *vaultLoop) run(ctx context.Context) error {
	defer close(l.ended)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-l.calls:
			if err := l.commit(l.gather(c)); err != nil {
				return err
			}
		}
	}
}

func (l *vaultLoop) gather(c call) []call {
	batch := []call{c}
	for len(batch) < commitMost {
		select {
		case c := <-l.calls:
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

func (l *vaultLoop) commit(batch []call) error {
	var rows []storer.Row
	replies := make([]budgeter.Reply, len(batch))
	for i, c := range batch {
		if c.read != nil {
			c.read(l.vault)
			continue
		}
		for _, a := range l.vault.Step(time.Now(), c.event) {
			switch a := a.(type) {
			case budgeter.Write:
				rows = append(rows, storer.Row(a))
			case budgeter.Reply:
				replies[i] = a
			}
		}
	}
	if err := l.store.Apply(rows); err != nil {
		return err
	}
	for i, c := range batch {
		c.done <- replies[i]
	}
	return nil
}

func (l *vaultLoop) do(ctx context.Context, c call) (proto.Message, error) {
	c.done = make(chan budgeter.Reply, 1)
	select {
	case l.calls <- c:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.ended:
		return nil, storer.ErrStore
	}
	select {
	case r := <-c.done:
		return r.Message, r.Err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.ended:
		return nil, storer.ErrStore
	}
}

// step has the vault handle an event and returns its durable answer.
func (l *vaultLoop) step(ctx context.Context, e budgeter.Event) (proto.Message, error) {
	return l.do(ctx, call{event: e})
}

// read runs f on the vault between two events.
func (l *vaultLoop) read(ctx context.Context, f func(*budgeter.Vault)) error {
	_, err := l.do(ctx, call{read: f})
	return err
}
