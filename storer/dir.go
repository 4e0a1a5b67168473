package storer

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// createDirDurably creates dir and its missing parents and syncs the parent of
// each. Without these syncs, a loss of power can remove the whole data directory
// even if the file in it was synced. It also syncs the parent of an existing
// dir, because an earlier process may have ended between creating and syncing.
func createDirDurably(dir string, sync func(dir string) error) error {
	// Without Clean, Dir("data/") returns "data" instead of its parent.
	parent := filepath.Dir(filepath.Clean(dir))
	err := os.Mkdir(dir, dirMode)
	if errors.Is(err, fs.ErrNotExist) && parent != dir {
		if err := createDirDurably(parent, sync); err != nil {
			return err
		}
		err = os.Mkdir(dir, dirMode)
	}
	if err != nil {
		// Either dir exists already or it can't be created. MkdirAll returns an
		// error only in the second case.
		err = os.MkdirAll(dir, dirMode)
	}
	if err != nil {
		return err
	}
	return sync(parent)
}

// syncDir syncs a directory, which makes its entries durable.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
