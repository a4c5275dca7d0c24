package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflylogrecord"
)

// MarshalRecord returns the CBOR encoding of r.
func MarshalRecord(r dragonflylogrecord.Record) ([]byte, error) {
	return marshal("log record", recordToWire(r))
}

// UnmarshalRecord decodes the output of MarshalRecord. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalRecord(raw []byte) (dragonflylogrecord.Record, error) {
	return unmarshal("log record", raw, recordFromWire)
}

type wireRecord struct {
	Term    uint64      `cbor:"1,keyasint,omitempty"`
	Vote    string      `cbor:"2,keyasint,omitempty"`
	Entries []wireEntry `cbor:"3,keyasint,omitempty"`
}

func recordToWire(r dragonflylogrecord.Record) wireRecord {
	return wireRecord{
		Term:    r.Term,
		Vote:    r.Vote,
		Entries: mapSlice(r.Entries, entryToWire),
	}
}

func recordFromWire(w wireRecord) dragonflylogrecord.Record {
	return dragonflylogrecord.Record{
		Term:    w.Term,
		Vote:    w.Vote,
		Entries: mapSlice(w.Entries, entryFromWire),
	}
}
