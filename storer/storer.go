// Package storer stores a keeper's rows durably in one file in its data
// directory. A write is acknowledged only after it is synced.
package storer

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// ErrStore reports a disk failure. A caller must not send any answer that
// depends on the failed write.
var ErrStore = merry.Sentinel("durable store failed")

const (
	fileName    = "rattanhoist.db"
	fileMode    = 0o600
	dirMode     = 0o700
	lockTimeout = 5 * time.Second
)

// Row is a change of one key in a bucket; a nil value deletes the key.
type Row struct {
	Bucket string
	Key    string
	Value  []byte
}

// Store is an embedded key-value store whose rows are grouped into buckets.
type Store struct {
	db *bbolt.DB
	// mu serializes changes and protects suspect.
	mu sync.Mutex
	// suspect is set after a failed change, and at the start, because the last change of
	// the previous process may have failed. The page that selects the current version of
	// the rows may then be readable although it is not on the disk.
	suspect bool
}

// Open opens the store in dir and creates it if it does not exist. The returned
// function closes it.
func Open(dir string) (*Store, func() error, error) {
	return open(dir, fileOps{syncDir: syncDir, openFile: os.OpenFile, syncFile: (*os.File).Sync})
}

// fileOps holds the file operations that tests replace to simulate a loss of
// power.
type fileOps struct {
	syncDir  func(dir string) error
	openFile func(name string, flag int, mode os.FileMode) (*os.File, error)
	// syncFile syncs the file of a store when it is opened.
	syncFile func(*os.File) error
}

// open is Open with replaceable file operations.
func open(dir string, f fileOps) (*Store, func() error, error) {
	if err := createDirDurably(dir, f.syncDir); err != nil {
		return nil, nil, merry.Errorf("%w: %s", ErrStore, err.Error())
	}
	path := filepath.Join(dir, fileName)
	if err := createFile(path, f); err != nil {
		return nil, nil, merry.Errorf("%w: %s", ErrStore, err.Error())
	}
	if err := syncExisting(path, f); err != nil {
		return nil, nil, merry.Errorf("%w: %s", ErrStore, err.Error())
	}
	db, err := openFile(path, f)
	if err != nil {
		return nil, nil, merry.Errorf("%w: %s", ErrStore, err.Error())
	}
	// A synced file can still be missing after a loss of power if its directory
	// was not synced; the keeper would then start with an empty disk. So the
	// directory is synced before any row is written.
	if err := f.syncDir(dir); err != nil {
		_ = db.Close()
		return nil, nil, merry.Errorf("%w: %s", ErrStore, err.Error())
	}
	return &Store{db: db, suspect: true}, db.Close, nil
}

// createFile creates the file of a store if it does not exist. It gets its name once it
// is synced: a loss of power can't leave a file of that name that is only partly written.
func createFile(path string, f fileOps) error {
	if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	next := path + ".new"
	if err := os.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := openFile(next, f)
	if err != nil {
		return err
	}
	if err := db.Close(); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// syncExisting syncs a file before it is read: a process that was killed between a write
// and its sync leaves rows that are readable and would be lost with the power.
func syncExisting(path string, f fileOps) error {
	x, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	return errors.Join(f.syncFile(x), x.Close())
}

func openFile(path string, f fileOps) (*bbolt.DB, error) {
	return bbolt.Open(path, fileMode, &bbolt.Options{
		Timeout: lockTimeout,
		// The list of free pages is rebuilt when the file is opened. Writing it
		// with every commit would cost more as the file grows.
		NoFreelistSync: true, FreelistType: bbolt.FreelistMapType,
		OpenFile: f.openFile,
	})
}

// Apply writes the rows in one transaction and returns after they are synced.
func (s *Store) Apply(rows []Row) error {
	if len(rows) == 0 {
		return nil
	}
	err := s.update(func(tx *bbolt.Tx) error {
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

// update makes a change and returns after it is synced. After a failed one, the system may
// report later syncs of the same pages as successful without writing them. A change without
// rows writes the selecting page again and reuses no page of the durable version.
func (s *Store) update(change func(*bbolt.Tx) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspect {
		if err := s.db.Update(func(*bbolt.Tx) error { return nil }); err != nil {
			return err
		}
	}
	err := s.db.Update(change)
	s.suspect = err != nil
	return err
}

// applyRow writes or deletes one row and creates its bucket if needed.
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

// Clear deletes all rows of the buckets in one transaction.
func (s *Store) Clear(buckets ...string) error {
	err := s.update(func(tx *bbolt.Tx) error {
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

// Each calls f for every row of a bucket in key order. The value is valid only
// during the call of f.
func (s *Store) Each(bucket string, f func(key string, value []byte) error) error {
	return s.View(func(v View) error { return v.Each(bucket, "", f) })
}

// Get returns a copy of the value of a key, or nil if the key does not exist.
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

// View is a consistent, read-only snapshot of the store. It is valid only during
// the call of the function that receives it.
type View struct{ tx *bbolt.Tx }

// View calls f with a snapshot of the latest state. It does not block writers.
func (s *Store) View(f func(View) error) error {
	return s.db.View(func(tx *bbolt.Tx) error { return f(View{tx: tx}) })
}

// Get returns the value of a key, or nil if the key does not exist. The value is
// valid as long as the view.
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

// EachFrom calls f for every row whose key is not less than first, in key order.
func (v View) EachFrom(bucket, first string, f func(key string, value []byte) error) error {
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

// UsedBytes returns the size of the file without its free pages, in bytes.
func (s *Store) UsedBytes() int64 {
	var size int64
	_ = s.View(func(v View) error {
		size = v.tx.Size()
		return nil
	})
	free := s.db.Stats()
	return size - int64(free.FreePageN+free.PendingPageN)*int64(s.db.Info().PageSize)
}
