// Package storer keeps a keeper's durable rows in one file under its data
// folder. A write is acknowledged only after it is synced.
package storer

import (
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// ErrStore says that the disk failed; nothing that depends on the write may
// be answered.
var ErrStore = merry.Sentinel("durable store failed")

const (
	fileName    = "rattanhoist.db"
	fileMode    = 0o600
	dirMode     = 0o700
	lockTimeout = 5 * time.Second
)

// Row is one change of a bucket; a nil value deletes the key.
type Row struct {
	Bucket string
	Key    string
	Value  []byte
}

// Store is an embedded store of buckets of rows.
type Store struct {
	db *bbolt.DB
}

// Open opens the store under dir, creating it where missing. The returned
// function closes it.
func Open(dir string) (*Store, func() error, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, nil, merry.Errorf("%w: %s", ErrStore, err.Error())
	}
	db, err := bbolt.Open(filepath.Join(dir, fileName), fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, nil, merry.Errorf("%w: %s", ErrStore, err.Error())
	}
	return &Store{db: db}, db.Close, nil
}

// Apply writes the rows in one transaction and returns after the sync.
func (s *Store) Apply(rows []Row) error {
	if len(rows) == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, r := range rows {
			if err := applyRow(tx, r); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return merry.Errorf("%w: %s", ErrStore, err.Error())
	}
	return nil
}

func applyRow(tx *bbolt.Tx, r Row) error {
	b, err := tx.CreateBucketIfNotExists([]byte(r.Bucket))
	if err != nil {
		return err
	}
	if r.Value == nil {
		return b.Delete([]byte(r.Key))
	}
	return b.Put([]byte(r.Key), r.Value)
}

// Each calls f for every row of a bucket in key order. The value is valid
// only during the call.
func (s *Store) Each(bucket string, f func(key string, value []byte) error) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte(bucket))
		if b == nil {
			return nil
		}
		return b.ForEach(func(k, v []byte) error { return f(string(k), v) })
	})
}

// Get returns a copy of the value of a key, or nil.
func (s *Store) Get(bucket, key string) ([]byte, error) {
	var out []byte
	err := s.db.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket([]byte(bucket)); b != nil {
			out = append(out, b.Get([]byte(key))...)
		}
		return nil
	})
	return out, err
}
