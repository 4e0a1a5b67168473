package keeper

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

// rowIterator calls f for every row of a vault or of a copy, in a fixed
// order.
type rowIterator func(v storer.View, f func(*messenger.CopyRow) error) error

// eachVaultRow iterates over the rows of the keeper's own vault.
func eachVaultRow(v storer.View, f func(*messenger.CopyRow) error) error {
	for _, b := range budgeter.Buckets {
		err := v.Each(b, "", func(key string, value []byte) error {
			return f(&messenger.CopyRow{Bucket: b, Key: key, Value: append([]byte{}, value...)})
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// eachCopiedRow returns an iterator over the rows of a copy held for another
// keeper. It goes through budgeter.Buckets in order, as eachVaultRow does:
// the keys of a copy start with the bucket name, so their own order could
// differ.
func eachCopiedRow(bucket string) rowIterator {
	return func(v storer.View, f func(*messenger.CopyRow) error) error {
		for _, b := range budgeter.Buckets {
			err := v.Each(bucket, b+rowSeparator, func(key string, value []byte) error {
				_, key, _ = strings.Cut(key, rowSeparator)
				return f(&messenger.CopyRow{Bucket: b, Key: key, Value: append([]byte{}, value...)})
			})
			if err != nil {
				return err
			}
		}
		return nil
	}
}

// sendRows sends a copy's state and all its rows in parts. The last part
// carries the digest of all rows.
func sendRows(v storer.View, stateBucket, stateKey string, rows rowIterator, send func(*messenger.CopyPart) error) error {
	state := &messenger.CopyState{}
	if err := proto.Unmarshal(v.Get(stateBucket, stateKey), state); err != nil {
		return budgeter.ErrCorrupt
	}
	digest := budgeter.NewRowDigest()
	part := &messenger.CopyPart{State: state}
	err := rows(v, func(r *messenger.CopyRow) error {
		digest.Add(r)
		part.Rows = append(part.Rows, r)
		if len(part.Rows) < maxRowsPerPart {
			return nil
		}
		full := part
		part = &messenger.CopyPart{}
		return send(full)
	})
	if err != nil {
		return err
	}
	part.Last, part.RowsDigest = true, digest.Sum()
	return send(part)
}

// receiveRows receives all parts of a full copy, stores the rows of each and
// verifies the digest. It returns a nil state if the sender has no copy.
func receiveRows(receive func() (*messenger.CopyPart, error), store func([]*messenger.CopyRow) error) (*messenger.CopyState, error) {
	digest := budgeter.NewRowDigest()
	var state *messenger.CopyState
	for {
		p, err := receive()
		if err != nil {
			return nil, err
		}
		if p.State != nil {
			state = p.State
		}
		for _, r := range p.Rows {
			digest.Add(r)
		}
		if err := store(p.Rows); err != nil {
			return nil, err
		}
		if !p.Last {
			continue
		}
		if state != nil && digest.Sum() != p.RowsDigest {
			return nil, budgeter.ErrCorrupt
		}
		return state, nil
	}
}
