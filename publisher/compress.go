package publisher

import (
	"bytes"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/flate"
)

const (
	// packLevel takes 4 ms for 400 kB of routes and leaves a tenth of them.
	packLevel = 5
	// unpackMost bounds an unpacked document, in bytes.
	unpackMost = 64 << 20
)

// Pack makes a document smaller for disks and links: keepers hold many, and a
// router's link of 10 Mbit/s takes a third of a second for 400 kB.
func Pack(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, packLevel)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if _, err := w.Write(content); err != nil {
		return nil, merry.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, merry.Wrap(err)
	}
	return b.Bytes(), nil
}

// Unpack returns the document as it was before Pack.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	b, err := io.ReadAll(io.LimitReader(r, unpackMost))
	if err != nil {
		return nil, merry.Errorf("%w: not packed properly: %s", ErrInvalid, err.Error())
	}
	return b, nil
}
