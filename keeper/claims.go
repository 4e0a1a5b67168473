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
	// newDiskWait is how long a keeper with a new disk waits before it copies
	// the others' claims. It exceeds the duration of any claim attempt, even
	// if a clock runs at half speed.
	newDiskWait       = 2 * claimer.ClaimTimeout
	copyRetryInterval = 500 * time.Millisecond
	// expiryInterval is how often claims past their horizon are dropped.
	expiryInterval = time.Minute
	// maxRowsPerMessage bounds the rows in one message of Rows.
	maxRowsPerMessage = 1000
)

type claimReply struct{ message proto.Message }

// claimCall is an event with the channel for its reply, or a read of the
// core.
type claimCall struct {
	event claimer.Event
	read  func(*claimer.Core)
	done  chan claimReply
}

// claimServer decides claims. One goroutine steps the core, syncs the rows of
// all queued calls in one commit, and only then replies.
type claimServer struct {
	messenger.UnimplementedClaimKeeperServer
	callQueue[claimCall]
	keeper *Keeper
	core   *claimer.Core
}

func newClaimServer(k *Keeper) (*claimServer, error) {
	s := &claimServer{keeper: k, core: claimer.NewCore(), callQueue: newCallQueue[claimCall](maxBatchEvents)}
	for _, b := range []string{claimer.BucketStore, claimer.BucketClaims} {
		err := k.store.Each(b, func(key string, value []byte) error { return s.core.Restore(b, key, value) })
		if err != nil {
			return nil, err
		}
	}
	if err := s.migrateNamedRows(); err != nil {
		return nil, err
	}
	if s.core.Store() != "" {
		return s, nil
	}
	name, err := uuid.NewV7()
	if err != nil {
		return nil, err
	}
	_, rows := splitActions(s.core.SetStore(name.String()))
	return s, k.store.Apply(rows)
}

// migrateNamedRows moves rows that an older version stored by name to their
// present keys.
func (s *claimServer) migrateNamedRows() error {
	var rows []storer.Row
	err := s.keeper.store.Each(claimer.BucketLegacy, func(name string, value []byte) error {
		actions, err := s.core.MigrateRow(name, value)
		_, moved := splitActions(actions)
		rows = append(rows, moved...)
		return err
	})
	if err != nil {
		return err
	}
	return s.keeper.store.Apply(rows)
}

// splitActions separates the core's reply from the rows to write.
func splitActions(actions []claimer.Action) (claimReply, []storer.Row) {
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

// run steps the core until ctx ends or the store fails. After a failed write
// memory is ahead of the disk, so the process must not continue.
func (s *claimServer) run(ctx context.Context) error {
	defer close(s.stopped)
	go s.openNewDisk(ctx)
	forget := time.NewTicker(expiryInterval)
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

// commit steps the core with a batch of calls, syncs the rows in one write
// and then replies to all of them.
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
		reply, r := splitActions(s.core.Step(time.Now(), event))
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

// withStored adds to an event the stored row that it needs. A row written
// earlier in the same batch is not on disk yet and comes from written.
func (s *claimServer) withStored(event claimer.Event, written map[string][]byte) (claimer.Event, error) {
	var err error
	switch e := event.(type) {
	case claimer.Claim:
		e.Stored, err = s.storedRow(claimer.KeyOf(e.Request.Workspace, e.Request.RequestId), written)
		return e, err
	case claimer.Settle:
		e.Stored, err = s.storedRow(claimer.KeyOf(e.Request.Workspace, e.Request.RequestId), written)
		return e, err
	}
	return event, nil
}

// storedRow returns the current row of a claim. It fails, which stops the
// keeper, if the disk returns other content than was written: after a restart
// the keeper decides by what is on the disk then.
func (s *claimServer) storedRow(k claimer.Key, written map[string][]byte) ([]byte, error) {
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

// submit enqueues a call and waits for its reply.
func (s *claimServer) submit(ctx context.Context, c claimCall) (proto.Message, error) {
	c.done = make(chan claimReply, 1)
	if err := s.enqueue(ctx, c); err != nil {
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
	return grpcReply[*messenger.ClaimReply](s.submit(ctx, claimCall{event: claimer.Claim{Request: r}}))
}

// Settle ends or releases a claim.
func (s *claimServer) Settle(ctx context.Context, r *messenger.SettleRequest) (*messenger.SettleReply, error) {
	return grpcReply[*messenger.SettleReply](s.submit(ctx, claimCall{event: claimer.Settle{Request: r}}))
}

// Store returns the name of this keeper's disk, which tickets refer to.
func (s *claimServer) Store(ctx context.Context, _ *messenger.StoreRequest) (*messenger.StoreReply, error) {
	var out messenger.StoreReply
	_, err := s.submit(ctx, claimCall{read: func(c *claimer.Core) { out.Store = c.Store() }})
	return &out, err
}

// Rows sends all claims to a keeper whose disk is new.
func (s *claimServer) Rows(r *messenger.RowsRequest, out messenger.ClaimKeeper_RowsServer) error {
	head := &messenger.RowsReply{}
	_, err := s.submit(out.Context(), claimCall{read: func(c *claimer.Core) {
		head.Fresh, head.Store, head.Founded = !c.IsOpen(), c.Store(), c.IsFounder(r.Store)
	}})
	if err != nil {
		return err
	}
	if err := out.Send(head); err != nil {
		return err
	}
	for next, more := "", true; more; more = next != "" {
		part := &messenger.RowsReply{}
		if next, err = s.readRowsFrom(next, part); err != nil {
			return err
		}
		if err := out.Send(part); err != nil {
			return err
		}
	}
	return nil
}

// readRowsFrom reads up to maxRowsPerMessage rows, starting at key first, and
// returns the key of the following row, or "" after the last. Each part uses
// its own read transaction: one held open for a slow receiver would block the
// store's commits. Rows written between two parts may be missed. They belong
// to attempts that the new disk could not have voted for before it was lost.
func (s *claimServer) readRowsFrom(first string, part *messenger.RowsReply) (next string, err error) {
	err = s.keeper.store.View(func(v storer.View) error {
		return v.EachFrom(claimer.BucketClaims, first, func(key string, value []byte) error {
			if len(part.Rows) >= maxRowsPerMessage {
				next = key
				return errStopIteration
			}
			row := &messenger.ClaimRow{}
			part.Rows = append(part.Rows, row)
			return proto.Unmarshal(value, row)
		})
	})
	if errors.Is(err, errStopIteration) {
		err = nil
	}
	return next, err
}

// openNewDisk lets a keeper with a new disk decide claims once it has copied
// what its lost disk may have voted for. Otherwise a request granted by this
// keeper and a second one could be granted again by this keeper and a third.
func (s *claimServer) openNewDisk(ctx context.Context) {
	var store string
	var open bool
	_, err := s.submit(ctx, claimCall{read: func(c *claimer.Core) { store, open = c.Store(), c.IsOpen() }})
	if err != nil || open {
		return
	}
	wait := newDiskWait
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = copyRetryInterval
		o, ok := s.collectClaimRows(ctx, store)
		if !ok {
			continue
		}
		if _, err := s.submit(ctx, claimCall{event: o}); err == nil {
			s.keeper.log.Info("new disk decides claims", zap.Int("rows_copied", len(o.Rows)))
			return
		}
	}
}

// collectClaimRows asks the other keepers for their claims and reports
// whether enough have answered.
func (s *claimServer) collectClaimRows(ctx context.Context, store string) (claimer.Open, bool) {
	var o claimer.Open
	old, founded := 0, false
	for _, p := range s.keeper.peers.keepers {
		head, rows, err := fetchClaimRows(ctx, p, store)
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
	if olderThanHorizon(store) {
		return claimer.Open{}, true
	}
	if len(o.Founders) == len(s.keeper.peers.keepers) {
		return o, true
	}
	o.Founders = nil
	return o, founded || old >= claimer.CopiesToOpen(len(s.keeper.peers.keepers)+1)
}

// olderThanHorizon reports whether a disk is so old that every vote of its
// lost predecessor would have expired by now. The disk's name holds its
// creation time.
func olderThanHorizon(store string) bool {
	u, err := uuid.Parse(store)
	if err != nil {
		return false
	}
	sec, ns := u.Time().UnixTime()
	return time.Since(time.Unix(sec, ns)) > claimer.Retention
}

// fetchClaimRows reads all claims of one keeper.
func fetchClaimRows(ctx context.Context, p peer, store string) (*messenger.RowsReply, []*messenger.ClaimRow, error) {
	ctx, cancel := context.WithTimeout(ctx, newDiskWait)
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
