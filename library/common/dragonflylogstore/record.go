package dragonflylogstore

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// A record is the length of the payload and a CRC-32C, both of 4 bytes in
// big-endian order, and the payload. The checksum covers length and payload.
const headerSize = 8

// MaxPayload bounds a payload in bytes.
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

// parseRecord returns the payload of the record at the start of raw and its size, or
// false if no whole record stands there.
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

// readLog returns the payloads of the log and the size of its sound part, and
// cuts off a torn last record.
func (s *Store) readLog() (payloads [][]byte, size int64, err error) {
	raw, err := io.ReadAll(s.log)
	if err != nil {
		return nil, 0, err
	}
	at := 0
	for at < len(raw) {
		payload, n, ok := parseRecord(raw[at:])
		if !ok {
			break
		}
		payloads = append(payloads, payload)
		at += n
	}
	if at == len(raw) {
		return payloads, int64(at), nil
	}
	// A record is only written after the one before is synced. So a whole record
	// after a damaged one tells that the damaged one had been acknowledged.
	for next := at + 1; next < len(raw); next++ {
		if _, _, ok := parseRecord(raw[next:]); ok {
			return nil, 0, errors.WithMessagef(ErrCorrupt, "%s at offset %d", LogFile, at)
		}
	}
	truncated.Add(int64(len(raw) - at))
	if err := s.log.Truncate(int64(at)); err != nil {
		return nil, 0, err
	}
	if _, err := s.log.Seek(int64(at), io.SeekStart); err != nil {
		return nil, 0, err
	}
	return payloads, int64(at), s.sync(s.log)
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

// lock takes an exclusive lock, so that two processes never share a folder. The
// operating system gives it back when the process ends.
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
