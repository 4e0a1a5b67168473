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
	err := os.Mkdir(dir, dirMode)
	switch {
	case err == nil:
		return sync(filepath.Dir(dir))
	case errors.Is(err, fs.ErrNotExist):
		if err := makeFolder(filepath.Dir(dir), sync); err != nil {
			return err
		}
		return makeFolder(dir, sync)
	}
	// The folder is there, or can't be made; MkdirAll tells which.
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	return sync(filepath.Dir(dir))
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
