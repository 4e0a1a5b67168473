package keeper

import (
	"context"
	"sync"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

// Buckets and keys of the stored copies: the state and current generation of
// each zone's copy, and the rows of each generation.
const (
	bucketCopies    = "copies"
	keyGeneration   = "/generation"
	rowSeparator    = "\x00"
	firstGeneration = "a"
	otherGeneration = "b"
)

// copyStore stores the copies of other keepers' vaults. It writes to the
// store directly instead of through the vault's loop: a vault that waits for
// its own mirror must not delay the copies it stores, or a ring of keepers
// could deadlock.
type copyStore struct {
	store *storer.Store
	log   *zap.Logger
	// mu serializes changes to the copies.
	mu sync.Mutex
}

func rowsBucket(zone, generation string) string { return "copy/" + zone + "/" + generation }

// readState returns how far the copy of a zone reaches, nil if there is none,
// and the generation of its rows.
func (h *copyStore) readState(zone string) (*messenger.CopyState, string, error) {
	b, err := h.store.Get(bucketCopies, zone)
	if err != nil || b == nil {
		return nil, otherGeneration, err
	}
	state := &messenger.CopyState{}
	if err := proto.Unmarshal(b, state); err != nil {
		return nil, "", budgeter.ErrCorrupt
	}
	generation, err := h.store.Get(bucketCopies, zone+keyGeneration)
	return state, string(generation), err
}

// applyCommit adds one commit to a copy. A request without a commit number
// only returns how far the copy reaches.
func (h *copyStore) applyCommit(r *messenger.CopyRequest) (*messenger.CopyReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	have, generation, err := h.readState(r.State.GetZone())
	if err != nil {
		return nil, err
	}
	if r.State.GetNumber() == 0 || proto.Equal(have, r.State) {
		return &messenger.CopyReply{State: have}, nil
	}
	if !budgeter.FollowsCopy(have, r) {
		return nil, status.Errorf(codes.FailedPrecondition, "commit %d does not follow the copy at %d", r.State.Number, have.GetNumber())
	}
	rows := append(copyStoreRows(r.State.Zone, generation, r.Rows), stateRow(r.State))
	if err := h.store.Apply(rows); err != nil {
		return nil, err
	}
	return &messenger.CopyReply{State: r.State}, nil
}

func copyStoreRows(zone, generation string, rows []*messenger.CopyRow) []storer.Row {
	out := make([]storer.Row, 0, len(rows)+1)
	for _, x := range rows {
		out = append(out, storer.Row{Bucket: rowsBucket(zone, generation), Key: x.Bucket + rowSeparator + x.Key, Value: x.Value})
	}
	return out
}

func stateRow(s *messenger.CopyState) storer.Row {
	return storer.Row{Bucket: bucketCopies, Key: s.Zone, Value: marshal(s)}
}

// replace stores a full copy next to the old one and switches over at the
// end, so that the old copy stays intact if the sender fails midway.
func (h *copyStore) replace(s grpc.ClientStreamingServer[messenger.CopyPart, messenger.CopyReply]) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	first, err := s.Recv()
	if err != nil {
		return err
	}
	zone := first.State.GetZone()
	if zone == "" {
		return status.Error(codes.InvalidArgument, "state: missing in the first part")
	}
	_, old, err := h.readState(zone)
	if err != nil {
		return err
	}
	fresh := firstGeneration
	if old == firstGeneration {
		fresh = otherGeneration
	}
	if err := h.store.Clear(rowsBucket(zone, fresh)); err != nil {
		return err
	}
	state, err := receiveRows(replay(first, s.Recv), func(rows []*messenger.CopyRow) error {
		return h.store.Apply(copyStoreRows(zone, fresh, rows))
	})
	if err != nil {
		return err
	}
	if err := h.store.Apply([]storer.Row{stateRow(state), {Bucket: bucketCopies, Key: zone + keyGeneration, Value: []byte(fresh)}}); err != nil {
		return err
	}
	h.log.Info("whole copy taken", zap.String("of_zone", zone), zap.Uint64("commit", state.Number))
	if err := h.store.Clear(rowsBucket(zone, old)); err != nil {
		return err
	}
	return s.SendAndClose(&messenger.CopyReply{State: state})
}

// replay returns a receiver that yields first and then the parts from next.
func replay(first *messenger.CopyPart, next func() (*messenger.CopyPart, error)) func() (*messenger.CopyPart, error) {
	return func() (*messenger.CopyPart, error) {
		if first != nil {
			p := first
			first = nil
			return p, nil
		}
		return next()
	}
}

// sendCopy sends the copy of a zone, or a single part without a state if
// there is none.
func (h *copyStore) sendCopy(zone string, send func(*messenger.CopyPart) error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	state, generation, err := h.readState(zone)
	if err != nil {
		return err
	}
	if state == nil {
		return send(&messenger.CopyPart{Last: true})
	}
	return h.store.View(func(v storer.View) error {
		return sendRows(v, bucketCopies, zone, eachCopiedRow(rowsBucket(zone, generation)), send)
	})
}

// Copy stores one commit of another keeper's vault.
func (s *budgetServer) Copy(_ context.Context, r *messenger.CopyRequest) (*messenger.CopyReply, error) {
	out, err := s.copies.applyCommit(r)
	if err == nil {
		out.MirrorIncarnation = s.loop.incarnation.Load()
	}
	return out, err
}

// Replace stores a full copy of another keeper's vault.
func (s *budgetServer) Replace(r grpc.ClientStreamingServer[messenger.CopyPart, messenger.CopyReply]) error {
	return s.copies.replace(r)
}

// Fetch sends the copy of a zone's vault to its keeper, which has lost its
// disk.
func (s *budgetServer) Fetch(r *messenger.FetchRequest, w grpc.ServerStreamingServer[messenger.CopyPart]) error {
	return s.copies.sendCopy(r.Zone, w.Send)
}
