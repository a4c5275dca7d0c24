package dragonflylogstore

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// headerSize is the size of a record's header in bytes. A record consists of the
// length of the payload and a CRC-32C checksum, both of 4 bytes in big-endian
// order, and the payload. The checksum covers length and payload.
const headerSize = 8

// MaxPayload is the maximum size of a payload in bytes.
const MaxPayload = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeRecord(payload []byte) (raw []byte, err error) {
	if len(payload) == 0 || len(payload) > MaxPayload {
		return nil, errors.Errorf("payload has %d bytes, but must have 1 to %d", len(payload), MaxPayload)
	}
	raw = make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(raw, uint32(len(payload)))
	binary.BigEndian.PutUint32(raw[4:], checksum(raw[:4], payload))
	return append(raw, payload...), nil
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// parseRecord returns the payload and the size in bytes of the record at the start
// of raw, or false if raw doesn't start with a complete and valid record.
func parseRecord(raw []byte) (payload []byte, size int, ok bool) {
	if len(raw) < headerSize {
		return nil, 0, false
	}
	n := int(binary.BigEndian.Uint32(raw))
	if n == 0 || n > MaxPayload || n > len(raw)-headerSize {
		return nil, 0, false
	}
	payload = raw[headerSize : headerSize+n]
	if checksum(raw[:4], payload) != binary.BigEndian.Uint32(raw[4:]) {
		return nil, 0, false
	}
	return payload, headerSize + n, true
}

// readLog returns the payloads of the log and the size in bytes of its valid part. It
// truncates a torn last record, and syncs the log: a process that was killed may have
// written the last records without syncing them.
func (s *Store) readLog() (payloads [][]byte, size int64, err error) {
	raw, err := io.ReadAll(s.log)
	if err != nil {
		return nil, 0, err
	}
	offset := 0
	for offset < len(raw) {
		payload, n, ok := parseRecord(raw[offset:])
		if !ok {
			break
		}
		payloads = append(payloads, payload)
		offset += n
	}
	if offset == len(raw) {
		return payloads, int64(offset), s.sync(s.log)
	}
	// A record is only written after the previous one is synced. So a valid record
	// after a damaged one shows that the damaged one had been acknowledged.
	for next := offset + 1; next < len(raw); next++ {
		if _, _, ok := parseRecord(raw[next:]); ok {
			return nil, 0, errors.WithMessagef(ErrCorrupt, "%s at offset %d", LogFile, offset)
		}
	}
	truncated.Add(int64(len(raw) - offset))
	if err := s.truncateLog(int64(offset)); err != nil {
		return nil, 0, err
	}
	return payloads, int64(offset), s.sync(s.log)
}

func (s *Store) readSnapshot() (payload []byte, err error) {
	raw, err := os.ReadFile(s.path(SnapshotFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	payload, n, ok := parseRecord(raw)
	if !ok || n != len(raw) {
		return nil, errors.WithMessagef(ErrCorrupt, "%s at offset 0", SnapshotFile)
	}
	return payload, nil
}

// lock acquires an exclusive file lock, so that two processes never share a folder.
// The operating system releases it when the process ends.
func lock(path string) (f *os.File, err error) {
	defer func() { err = errors.WithMessage(err, "lock folder (is another instance running?)") }()
	f, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}
