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

// ErrTorn says that a note was not written whole. Compare with errors.Is.
var ErrTorn = merry.Sentinel("note is torn")

// checksumSize is in bytes, at the head of a note.
const checksumSize = 4

// Note is a small file that is replaced as a whole and that its owner can do
// without: after a loss of power it may be the one before, or gone.
type Note struct{ file string }

// NewNote returns the note with a name in a folder.
func NewNote(dir, name string) *Note { return &Note{file: filepath.Join(dir, name)} }

// Write replaces the note. It is synced before the old one goes, so that a loss of
// power leaves one of the two.
func (n *Note) Write(content []byte) error {
	b := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(content))
	next := n.file + ".new"
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
	return merry.Wrap(os.Rename(next, n.file))
}

// Read returns the note, nil where there is none, or ErrTorn.
func (n *Note) Read() ([]byte, error) {
	b, err := os.ReadFile(n.file)
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
