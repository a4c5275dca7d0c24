package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyheartbeatack"
)

// MarshalAck returns the CBOR encoding of a.
func MarshalAck(a dragonflyheartbeatack.Ack) ([]byte, error) { return marshal("ack", ackToWire(a)) }

// UnmarshalAck decodes the output of MarshalAck. Unknown fields are ignored, so
// that newer processes can add fields; malformed input is an error.
func UnmarshalAck(raw []byte) (dragonflyheartbeatack.Ack, error) {
	return unmarshal("ack", raw, ackFromWire)
}

type wireAck struct {
	Group    uint64 `cbor:"1,keyasint,omitempty"`
	Fence    uint64 `cbor:"2,keyasint,omitempty"`
	Member   string `cbor:"3,keyasint,omitempty"`
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
	SentAt   int64  `cbor:"5,keyasint,omitempty"`
	State    uint8  `cbor:"6,keyasint,omitempty"`
	Zone     string `cbor:"7,keyasint,omitempty"`
}

func ackToWire(a dragonflyheartbeatack.Ack) wireAck {
	return wireAck{
		Group:    a.Group,
		Fence:    a.Fence,
		Member:   a.Member,
		Sequence: a.Sequence,
		SentAt:   int64(a.SentAt),
		State:    uint8(a.State),
		Zone:     a.Zone,
	}
}

func ackFromWire(w wireAck) dragonflyheartbeatack.Ack {
	a := dragonflyheartbeatack.Ack{
		Group:    w.Group,
		Fence:    w.Fence,
		Member:   w.Member,
		Sequence: w.Sequence,
		SentAt:   dragonflyinstant.Instant(w.SentAt),
		Zone:     w.Zone,
	}
	setEnum(&a.State, w.State)
	return a
}
