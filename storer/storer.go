// Package storer keeps a keeper's durable rows in one file under its data
// folder. A write is acknowledged only after it is synced.
package storer

import (
	"os"
	"path/filepath"
	"strings"
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
	return open(dir, files{syncFolder: syncFolder, openFile: os.OpenFile})
}

// files is what a store asks of the operating system beyond reads and writes;
// tests that lose power stand in here.
type files struct {
	syncFolder func(folder string) error
	openFile   func(name string, flag int, mode os.FileMode) (*os.File, error)
}

func open(dir string, f files) (*Store, func() error, error) {
	if err := makeFolder(dir, f.syncFolder); err != nil {
		return nil, nil, merry.Errorf("%w: %s", ErrStore, err.Error())
	}
	db, err := bbolt.Open(filepath.Join(dir, fileName), fileMode, &bbolt.Options{
		Timeout: lockTimeout,
		// The list of free pages is rebuilt at the start instead of written
		// with every commit: it grows with the file.
		NoFreelistSync: true, FreelistType: bbolt.FreelistMapType,
		OpenFile: f.openFile,
	})
	if err != nil {
		return nil, nil, merry.Errorf("%w: %s", ErrStore, err.Error())
	}
	// A file that is synced can still be missing after a power cut, with all
	// its rows, if the folder that names it was not synced: the keeper would
	// come back with an empty disk. So the name is durable before any row is.
	if err := f.syncFolder(dir); err != nil {
		_ = db.Close()
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

// Clear removes all rows of the buckets.
func (s *Store) Clear(buckets ...string) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, b := range buckets {
			if tx.Bucket([]byte(b)) == nil {
				continue
			}
			if err := tx.DeleteBucket([]byte(b)); err != nil {
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

// Each calls f for every row of a bucket in key order. The value is valid
// only during the call.
func (s *Store) Each(bucket string, f func(key string, value []byte) error) error {
	return s.View(func(v View) error { return v.Each(bucket, "", f) })
}

// Get returns a copy of the value of a key, or nil where there is none.
func (s *Store) Get(bucket, key string) ([]byte, error) {
	var out []byte
	err := s.View(func(v View) error {
		if b := v.Get(bucket, key); b != nil {
			out = append([]byte{}, b...)
		}
		return nil
	})
	return out, err
}

// View is one consistent state of the store. It is valid only in the call
// that it is given to.
type View struct{ tx *bbolt.Tx }

// View calls f with the latest state; writers go on meanwhile.
func (s *Store) View(f func(View) error) error {
	return s.db.View(func(tx *bbolt.Tx) error { return f(View{tx: tx}) })
}

// Get returns the value of a key, or nil where there is none.
func (v View) Get(bucket, key string) []byte {
	b := v.tx.Bucket([]byte(bucket))
	if b == nil {
		return nil
	}
	return b.Get([]byte(key))
}

// Each calls f for every row whose key begins with prefix, in key order.
func (v View) Each(bucket, prefix string, f func(key string, value []byte) error) error {
	b := v.tx.Bucket([]byte(bucket))
	if b == nil {
		return nil
	}
	c := b.Cursor()
	for k, value := c.Seek([]byte(prefix)); k != nil && strings.HasPrefix(string(k), prefix); k, value = c.Next() {
		if err := f(string(k), value); err != nil {
			return err
		}
	}
	return nil
}

// From calls f for every row from a key on, in key order.
func (v View) From(bucket, first string, f func(key string, value []byte) error) error {
	b := v.tx.Bucket([]byte(bucket))
	if b == nil {
		return nil
	}
	c := b.Cursor()
	for k, value := c.Seek([]byte(first)); k != nil; k, value = c.Next() {
		if err := f(string(k), value); err != nil {
			return err
		}
	}
	return nil
}

// Used returns the bytes of the file that hold rows; the rest is free for new
// ones.
func (s *Store) Used() int64 {
	var size int64
	_ = s.View(func(v View) error {
		size = v.tx.Size()
		return nil
	})
	free := s.db.Stats()
	return size - int64(free.FreePageN+free.PendingPageN)*int64(s.db.Info().PageSize)
}
