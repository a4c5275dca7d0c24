package dragonflyboundedlistener

import (
	"bytes"

	"github.com/pkg/errors"
)

// maxChunkLine bounds the line with the length of a chunk, and a line of the trailer.
const maxChunkLine = 4 << 10

var errChunk = errors.New("a chunk is malformed")

// chunkReader decodes a chunked body piece by piece. The zero value is at its start.
type chunkReader struct {
	line    []byte // the part of a line that has arrived
	left    int64  // bytes of the chunk that are still to come
	ending  bool   // the line break after a chunk is next
	trailer bool   // the last chunk has been read
	read    int    // bytes of the trailer
	done    bool
}

// next returns the data at the start of b, which may be empty, and the number of bytes used.
func (c *chunkReader) next(b []byte) (data []byte, n int, err error) {
	if c.left > 0 {
		n = int(min(c.left, int64(len(b))))
		c.skip(n)
		return b[:n], n, nil
	}
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		i = len(b) - 1
	}
	c.line = append(c.line, b[:i+1]...)
	if len(c.line) > maxChunkLine {
		return nil, 0, errChunk
	}
	if b[i] == '\n' {
		err = c.endLine(bytes.TrimRight(c.line, "\r\n"))
		c.line = c.line[:0]
	}
	return nil, i + 1, err
}

// skip records that n bytes of the chunk, of which some are left, have been read elsewhere.
func (c *chunkReader) skip(n int) {
	c.left -= int64(n)
	c.ending = c.left == 0
}

func (c *chunkReader) endLine(line []byte) error {
	switch {
	case c.trailer:
		c.read += len(line)
		if c.done = len(line) == 0; c.read > maxChunkLine {
			return errChunk
		}
		return nil
	case c.ending:
		c.ending = false
		if len(line) > 0 {
			return errChunk
		}
		return nil
	}
	size, err := chunkSize(line)
	c.left, c.trailer = size, err == nil && size == 0
	return err
}

// chunkSize returns the number at the start of the line before a chunk.
func chunkSize(line []byte) (n int64, err error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > 15 {
		return 0, errChunk
	}
	for _, d := range digits {
		switch {
		case d >= '0' && d <= '9':
			n = n<<4 | int64(d-'0')
		case d|0x20 >= 'a' && d|0x20 <= 'f':
			n = n<<4 | int64(d|0x20-'a'+10)
		default:
			return 0, errChunk
		}
	}
	return n, nil
}
