package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyheartbeat"
)

// MarshalHeartbeat returns the CBOR encoding of h.
func MarshalHeartbeat(h dragonflyheartbeat.Heartbeat) ([]byte, error) {
	return marshal("heartbeat", heartbeatToWire(h))
}

// UnmarshalHeartbeat decodes the output of MarshalHeartbeat. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalHeartbeat(raw []byte) (dragonflyheartbeat.Heartbeat, error) {
	return unmarshal("heartbeat", raw, heartbeatFromWire)
}

type wireHeartbeat struct {
	Group      uint64 `cbor:"1,keyasint,omitempty"`
	Fence      uint64 `cbor:"2,keyasint,omitempty"`
	Head       string `cbor:"3,keyasint,omitempty"`
	Sequence   uint64 `cbor:"4,keyasint,omitempty"`
	EchoSentAt int64  `cbor:"5,keyasint,omitempty"`
	Remaining  int64  `cbor:"6,keyasint,omitempty"`
	Ready      bool   `cbor:"7,keyasint,omitempty"`
	Drained    bool   `cbor:"8,keyasint,omitempty"`
	Epoch      uint64 `cbor:"9,keyasint,omitempty"`
	Released   bool   `cbor:"10,keyasint,omitempty"`
}

func heartbeatToWire(h dragonflyheartbeat.Heartbeat) wireHeartbeat {
	return wireHeartbeat{
		Group:      h.Group,
		Fence:      h.Fence,
		Head:       h.Head,
		Sequence:   h.Sequence,
		EchoSentAt: int64(h.EchoSentAt),
		Remaining:  int64(h.Remaining),
		Ready:      h.Ready,
		Drained:    h.Drained,
		Epoch:      h.Epoch,
		Released:   h.Released,
	}
}

func heartbeatFromWire(w wireHeartbeat) dragonflyheartbeat.Heartbeat {
	return dragonflyheartbeat.Heartbeat{
		Group:      w.Group,
		Fence:      w.Fence,
		Head:       w.Head,
		Sequence:   w.Sequence,
		EchoSentAt: dragonflyinstant.Instant(w.EchoSentAt),
		Remaining:  dragonflyduration.Duration(w.Remaining),
		Ready:      w.Ready,
		Drained:    w.Drained,
		Epoch:      w.Epoch,
		Released:   w.Released,
	}
}
