package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyconsensusmessage"
)

// MarshalMessage returns the CBOR encoding of m.
func MarshalMessage(m dragonflyconsensusmessage.Message) ([]byte, error) {
	return marshal("consensus message", messageToWire(m))
}

// UnmarshalMessage decodes the output of MarshalMessage. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalMessage(raw []byte) (dragonflyconsensusmessage.Message, error) {
	return unmarshal("consensus message", raw, messageFromWire)
}

// MarshalMessages returns the CBOR encoding of a batch of messages.
func MarshalMessages(ms []dragonflyconsensusmessage.Message) ([]byte, error) {
	return marshal("consensus messages", mapSlice(ms, messageToWire))
}

// UnmarshalMessages decodes the output of MarshalMessages.
func UnmarshalMessages(raw []byte) ([]dragonflyconsensusmessage.Message, error) {
	return unmarshal("consensus messages", raw, func(w []wireMessage) []dragonflyconsensusmessage.Message {
		return mapSlice(w, messageFromWire)
	})
}

type wireMessage struct {
	Kind     uint8        `cbor:"1,keyasint,omitempty"`
	From     string       `cbor:"2,keyasint,omitempty"`
	To       string       `cbor:"3,keyasint,omitempty"`
	Term     uint64       `cbor:"4,keyasint,omitempty"`
	Index    uint64       `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64       `cbor:"6,keyasint,omitempty"`
	Granted  bool         `cbor:"7,keyasint,omitempty"`
	Commit   uint64       `cbor:"8,keyasint,omitempty"`
	SentAt   int64        `cbor:"9,keyasint,omitempty"`
	Entries  []wireEntry  `cbor:"10,keyasint,omitempty"`
	Snapshot wireSnapshot `cbor:"11,keyasint,omitempty"`
	Refusal  uint8        `cbor:"12,keyasint,omitempty"`
	Zone     string       `cbor:"13,keyasint,omitempty"`
}

func messageToWire(m dragonflyconsensusmessage.Message) wireMessage {
	return wireMessage{
		Kind:     uint8(m.Kind),
		From:     m.From,
		To:       m.To,
		Term:     m.Term,
		Index:    m.Index,
		LogTerm:  m.LogTerm,
		Granted:  m.Granted,
		Commit:   m.Commit,
		SentAt:   int64(m.SentAt),
		Entries:  mapSlice(m.Entries, entryToWire),
		Snapshot: snapshotToWire(m.Snapshot),
		Refusal:  uint8(m.Refusal),
		Zone:     m.Zone,
	}
}

func messageFromWire(w wireMessage) dragonflyconsensusmessage.Message {
	m := dragonflyconsensusmessage.Message{
		From:     w.From,
		To:       w.To,
		Term:     w.Term,
		Index:    w.Index,
		LogTerm:  w.LogTerm,
		Granted:  w.Granted,
		Commit:   w.Commit,
		SentAt:   dragonflyinstant.Instant(w.SentAt),
		Entries:  mapSlice(w.Entries, entryFromWire),
		Snapshot: snapshotFromWire(w.Snapshot),
		Zone:     w.Zone,
	}
	setEnum(&m.Kind, w.Kind)
	setEnum(&m.Refusal, w.Refusal)
	return m
}
