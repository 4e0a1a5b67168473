package publisher

import (
	"bytes"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/flate"
)

const (
	// compressionLevel takes 4 ms for 400 kB of routes and compresses them to a tenth.
	compressionLevel = 5
	// maxDecompressedBytes bounds a decompressed document.
	maxDecompressedBytes = 64 << 20
)

// Compress compresses a document for storage and transfer: keepers store many documents,
// and 400 kB take a third of a second on a router's link of 10 Mbit/s.
func Compress(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, compressionLevel)
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

// Decompress returns the document that was passed to Compress.
func Decompress(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	b, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
	if err != nil {
		return nil, merry.Errorf("%w: not packed properly: %s", ErrInvalid, err.Error())
	}
	return b, nil
}
