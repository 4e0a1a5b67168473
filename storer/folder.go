package storer

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// makeFolder creates dir and its missing parents, and syncs the folder that
// names each one: without that a power cut can take the whole data folder
// although the file in it was synced. It syncs for a dir that is there too,
// since a process may have ended between the two.
func makeFolder(dir string, sync func(folder string) error) error {
	// Of "data/" alone Dir would return "data", which does not name it.
	parent := filepath.Dir(filepath.Clean(dir))
	err := os.Mkdir(dir, dirMode)
	if errors.Is(err, fs.ErrNotExist) && parent != dir {
		if err := makeFolder(parent, sync); err != nil {
			return err
		}
		err = os.Mkdir(dir, dirMode)
	}
	if err != nil {
		// The folder is there, or can't be made; MkdirAll tells which.
		err = os.MkdirAll(dir, dirMode)
	}
	if err != nil {
		return err
	}
	return sync(parent)
}

// syncFolder makes the names in a folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
