package keeper

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

// rowsOf calls f for all rows of a copy or a vault, in a fixed order.
type rowsOf func(v storer.View, f func(*messenger.CopyRow) error) error

// vaultRows are the rows of the own vault.
func vaultRows(v storer.View, f func(*messenger.CopyRow) error) error {
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

// copiedRows are the rows of a copy that is held for another keeper. Their
// order differs from vaultRows only where bucket names do, so both are sent
// in the order of budgeter.Buckets.
func copiedRows(bucket string) rowsOf {
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

// sendRows sends a state and all its rows in parts, the digest in the last.
func sendRows(v storer.View, stateBucket, stateKey string, rows rowsOf, send func(*messenger.CopyPart) error) error {
	state := &messenger.CopyState{}
	if err := proto.Unmarshal(v.Get(stateBucket, stateKey), state); err != nil {
		return budgeter.ErrCorrupt
	}
	digest := budgeter.NewRowDigest()
	part := &messenger.CopyPart{State: state}
	err := rows(v, func(r *messenger.CopyRow) error {
		digest.Add(r)
		part.Rows = append(part.Rows, r)
		if len(part.Rows) < partMost {
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

// takeRows receives the parts of a whole copy, stores each, and verifies the
// digest. It returns a nil state where the sender has none.
func takeRows(receive func() (*messenger.CopyPart, error), store func([]*messenger.CopyRow) error) (*messenger.CopyState, error) {
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
