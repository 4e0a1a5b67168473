package storer

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
)

// ErrTorn is returned for a file that was only partly written. Compare with
// errors.Is.
var ErrTorn = merry.Sentinel("note is torn")

// checksumSize is the length of the CRC-32 at the start of the file, in bytes.
const checksumSize = 4

// AtomicFile is a small file that is always replaced as a whole. Its directory
// is not synced, so after a loss of power the file may have its previous content
// or be missing; use it only for data that its owner can do without.
type AtomicFile struct{ path string }

// NewAtomicFile returns the file with a name in dir, without creating it.
func NewAtomicFile(dir, name string) *AtomicFile { return &AtomicFile{path: filepath.Join(dir, name)} }

// Write replaces the content of the file. The new file is synced before it
// replaces the old one, so that either the old or the new content survives a
// loss of power.
func (n *AtomicFile) Write(content []byte) error {
	b := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(content))
	next := n.path + ".new"
	f, err := os.OpenFile(next, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return merry.Wrap(err)
	}
	_, err = f.Write(append(b, content...))
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(os.Rename(next, n.path))
}

// Read returns the content of the file, nil if the file does not exist, or
// ErrTorn if its checksum does not match.
func (n *AtomicFile) Read() ([]byte, error) {
	b, err := os.ReadFile(n.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if len(b) < checksumSize || binary.BigEndian.Uint32(b) != crc32.ChecksumIEEE(b[checksumSize:]) {
		return nil, ErrTorn
	}
	return b[checksumSize:], nil
}
