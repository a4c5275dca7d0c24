// Package dragonflycompression makes routing documents small on the links, in the
// log and in memory. A document names thousands of routes in the same way, and
// shrinks to a tenth.
package dragonflycompression

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// maxDecompressedBytes bounds what is unpacked, in bytes. It is above the largest document that
// is accepted.
const maxDecompressedBytes = 64 << 20

// Compress returns raw in compressed form.
func Compress(raw []byte) (packed []byte, err error) {
	defer func() { err = errors.WithMessage(err, "compress") }()
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decompress returns what Pack was given. Anything else than the result of Pack is an
// error, also if it is damaged.
func Decompress(packed []byte) (raw []byte, err error) {
	defer func() { err = errors.WithMessage(err, "decompress") }()
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	raw, err = io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err == nil && len(raw) > maxDecompressedBytes {
		err = errors.Errorf("more than %d bytes", maxDecompressedBytes)
	}
	return raw, err
}
