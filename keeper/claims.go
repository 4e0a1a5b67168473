package keeper

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/claimer"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	// copyAfter is longer than any attempt to claim, also by a clock that
	// runs at half the speed.
	copyAfter = 2 * claimer.ClaimTime
	copyEvery = 500 * time.Millisecond
	// forgetEvery is how often claims past their horizon are dropped.
	forgetEvery = time.Minute
	// rowsPart is how many rows travel in one message.
	rowsPart = 1000
)

type claimReply struct{ message proto.Message }

// claimCall is one event with the place for its answer, or a read.
type claimCall struct {
	event claimer.Event
	read  func(*claimer.Core)
	done  chan claimReply
}

// claimServer decides claims: one goroutine steps the core, syncs the rows of
// every waiting call in one commit, and only then answers.
type claimServer struct {
	messenger.UnimplementedClaimKeeperServer
	callQueue[claimCall]
	keeper *Keeper
	core   *claimer.Core
}

func newClaimServer(k *Keeper) (*claimServer, error) {
	s := &claimServer{keeper: k, core: claimer.NewCore(), callQueue: newCallQueue[claimCall](commitMost)}
	for _, b := range []string{claimer.BucketStore, claimer.BucketClaims} {
		err := k.store.Each(b, func(key string, value []byte) error { return s.core.Restore(b, key, value) })
		if err != nil {
			return nil, err
		}
	}
	if err := s.moveNamed(); err != nil {
		return nil, err
	}
	if s.core.Store() != "" {
		return s, nil
	}
	name, err := uuid.NewV7()
	if err != nil {
		return nil, err
	}
	_, rows := split(s.core.Name(name.String()))
	return s, k.store.Apply(rows)
}

// moveNamed takes over the rows of a version that stored them by name.
func (s *claimServer) moveNamed() error {
	var rows []storer.Row
	err := s.keeper.store.Each(claimer.BucketNamed, func(name string, value []byte) error {
		actions, err := s.core.Move(name, value)
		_, moved := split(actions)
		rows = append(rows, moved...)
		return err
	})
	if err != nil {
		return err
	}
	return s.keeper.store.Apply(rows)
}

func split(actions []claimer.Action) (claimReply, []storer.Row) {
	var reply claimReply
	var rows []storer.Row
	for _, a := range actions {
		switch a := a.(type) {
		case claimer.Write:
			rows = append(rows, storer.Row(a))
		case claimer.Reply:
			reply.message = a.Message
		}
	}
	return reply, rows
}

// run steps the core until ctx ends or the store fails; the memory is then
// ahead of the disk and the process must not go on.
func (s *claimServer) run(ctx context.Context) error {
	defer close(s.ended)
	go s.copyOthers(ctx)
	forget := time.NewTicker(forgetEvery)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-forget.C:
			if err := s.commit([]claimCall{{event: claimer.Tick{}, done: make(chan claimReply, 1)}}); err != nil {
				return err
			}
		case c := <-s.calls:
			if err := s.commit(s.batch(c)); err != nil {
				return err
			}
		}
	}
}

func (s *claimServer) commit(batch []claimCall) error {
	var rows []storer.Row
	written := map[string][]byte{}
	replies := make([]claimReply, len(batch))
	for i, c := range batch {
		if c.read != nil {
			c.read(s.core)
			continue
		}
		event, err := s.withStored(c.event, written)
		if err != nil {
			return err
		}
		reply, r := split(s.core.Step(time.Now(), event))
		replies[i], rows = reply, append(rows, r...)
		for _, x := range r {
			written[x.Key] = x.Value
		}
	}
	if err := s.keeper.store.Apply(rows); err != nil {
		return err
	}
	for i, c := range batch {
		c.done <- replies[i]
	}
	return nil
}

// withStored gives an event the row that it needs: as written before in the
// same batch, which is not on disk yet, or from the disk.
func (s *claimServer) withStored(event claimer.Event, written map[string][]byte) (claimer.Event, error) {
	var err error
	switch e := event.(type) {
	case claimer.Claim:
		e.Stored, err = s.stored(claimer.KeyOf(e.Request.Workspace, e.Request.RequestId), written)
		return e, err
	case claimer.Settle:
		e.Stored, err = s.stored(claimer.KeyOf(e.Request.Workspace, e.Request.RequestId), written)
		return e, err
	}
	return event, nil
}

// stored stops the keeper where the disk does not give back what was written:
// after a restart it decides by what the disk has then.
func (s *claimServer) stored(k claimer.Key, written map[string][]byte) ([]byte, error) {
	if !s.core.Knows(k) {
		return nil, nil
	}
	value, ok := written[k.Row()]
	if !ok {
		var err error
		if value, err = s.keeper.store.Get(claimer.BucketClaims, k.Row()); err != nil {
			return nil, err
		}
	}
	if !s.core.Matches(k, value) {
		return nil, merry.Errorf("%w: the row of a claim is not the one that was written", storer.ErrStore)
	}
	return value, nil
}

func (s *claimServer) do(ctx context.Context, c claimCall) (proto.Message, error) {
	c.done = make(chan claimReply, 1)
	if err := s.put(ctx, c); err != nil {
		return nil, err
	}
	r, err := await(ctx, s.callQueue, c.done)
	if err != nil {
		return nil, err
	}
	return r.message, nil
}

// Claim grants a request to one attempt.
func (s *claimServer) Claim(ctx context.Context, r *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	return answer[*messenger.ClaimReply](s.do(ctx, claimCall{event: claimer.Claim{Request: r}}))
}

// Settle ends or releases a claim.
func (s *claimServer) Settle(ctx context.Context, r *messenger.SettleRequest) (*messenger.SettleReply, error) {
	return answer[*messenger.SettleReply](s.do(ctx, claimCall{event: claimer.Settle{Request: r}}))
}

// Store names the disk, for tickets.
func (s *claimServer) Store(ctx context.Context, _ *messenger.StoreRequest) (*messenger.StoreReply, error) {
	var out messenger.StoreReply
	_, err := s.do(ctx, claimCall{read: func(c *claimer.Core) { out.Store = c.Store() }})
	return &out, err
}

// Rows sends all rows to a keeper whose disk is new.
func (s *claimServer) Rows(r *messenger.RowsRequest, out messenger.ClaimKeeper_RowsServer) error {
	head := &messenger.RowsReply{}
	_, err := s.do(out.Context(), claimCall{read: func(c *claimer.Core) {
		head.Fresh, head.Store, head.Founded = !c.IsOpen(), c.Store(), c.Founded(r.Store)
	}})
	if err != nil {
		return err
	}
	if err := out.Send(head); err != nil {
		return err
	}
	for next, more := "", true; more; more = next != "" {
		part := &messenger.RowsReply{}
		if next, err = s.rowsFrom(next, part); err != nil {
			return err
		}
		if err := out.Send(part); err != nil {
			return err
		}
	}
	return nil
}

// rowsFrom reads the rows from a key on, as many as go into a part, and returns
// the key of the next one, "" after the last. Each part is a reading of its own:
// one held open while a slow keeper takes the rows would hold up the store's
// commits. Rows that are written meanwhile may be left out: they are of attempts
// that the new disk could not have voted for before it was lost.
func (s *claimServer) rowsFrom(first string, part *messenger.RowsReply) (next string, err error) {
	err = s.keeper.store.View(func(v storer.View) error {
		return v.From(claimer.BucketClaims, first, func(key string, value []byte) error {
			if len(part.Rows) >= rowsPart {
				next = key
				return errEnough
			}
			row := &messenger.ClaimRow{}
			part.Rows = append(part.Rows, row)
			return proto.Unmarshal(value, row)
		})
	})
	if errors.Is(err, errEnough) {
		err = nil
	}
	return next, err
}

// copyOthers lets a keeper with a new disk decide once it knows what its lost
// disk may have voted for. Without it a request granted by this keeper and
// one other could be granted again by this keeper and the third.
func (s *claimServer) copyOthers(ctx context.Context) {
	var store string
	var open bool
	_, err := s.do(ctx, claimCall{read: func(c *claimer.Core) { store, open = c.Store(), c.IsOpen() }})
	if err != nil || open {
		return
	}
	wait := copyAfter
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = copyEvery
		o, ok := s.gatherRows(ctx, store)
		if !ok {
			continue
		}
		if _, err := s.do(ctx, claimCall{event: o}); err == nil {
			s.keeper.log.Info("new disk decides claims", zap.Int("rows_copied", len(o.Rows)))
			return
		}
	}
}

// gatherRows asks the other keepers and reports whether enough have answered.
func (s *claimServer) gatherRows(ctx context.Context, store string) (claimer.Open, bool) {
	var o claimer.Open
	old, founded := 0, false
	for _, p := range s.keeper.peers.list {
		head, rows, err := claimRowsOf(ctx, p, store)
		switch {
		case err != nil:
		case head.Fresh:
			o.Founders = append(o.Founders, head.Store)
		default:
			old++
			founded = founded || head.Founded
			o.Rows = append(o.Rows, rows...)
		}
	}
	if pastHorizon(store) {
		return claimer.Open{}, true
	}
	if len(o.Founders) == len(s.keeper.peers.list) {
		return o, true
	}
	o.Founders = nil
	return o, founded || old >= claimer.OpenAfter(len(s.keeper.peers.list)+1)
}

// pastHorizon reports whether every vote of a lost disk would be forgotten by
// now anyway; the name of a disk holds the time at which it was new.
func pastHorizon(store string) bool {
	u, err := uuid.Parse(store)
	if err != nil {
		return false
	}
	sec, ns := u.Time().UnixTime()
	return time.Since(time.Unix(sec, ns)) > claimer.Horizon
}

func claimRowsOf(ctx context.Context, p peer, store string) (*messenger.RowsReply, []*messenger.ClaimRow, error) {
	ctx, cancel := context.WithTimeout(ctx, copyAfter)
	defer cancel()
	in, err := messenger.NewClaimKeeperClient(p.conn).Rows(ctx, &messenger.RowsRequest{Store: store})
	if err != nil {
		return nil, nil, err
	}
	head, err := in.Recv()
	if err != nil {
		return nil, nil, err
	}
	var rows []*messenger.ClaimRow
	for {
		part, err := in.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return head, rows, err
		}
		rows = append(rows, part.Rows...)
	}
}
