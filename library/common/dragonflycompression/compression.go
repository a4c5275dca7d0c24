// Package dragonflycompression compresses routing documents for the network, the
// log and memory. A document holds thousands of similar routes and shrinks to
// about a tenth of its size.
package dragonflycompression

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// maxDecompressedBytes bounds the size of decompressed data. It exceeds the size of
// the largest document that is accepted.
const maxDecompressedBytes = 64 << 20

// Compress returns raw as gzip data.
func Compress(raw []byte) (compressed []byte, err error) {
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

// Decompress returns the data that Compress was given. It fails if compressed isn't
// valid gzip data or holds more than maxDecompressedBytes.
func Decompress(compressed []byte) (raw []byte, err error) {
	defer func() { err = errors.WithMessage(err, "decompress") }()
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	raw, err = io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err == nil && len(raw) > maxDecompressedBytes {
		err = errors.Errorf("more than %d bytes", maxDecompressedBytes)
	}
	return raw, err
}
