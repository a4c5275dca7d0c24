package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflywatch"
)

// MarshalWatch returns the CBOR encoding of w.
func MarshalWatch(w dragonflywatch.Watch) ([]byte, error) { return marshal("watch", watchToWire(w)) }

// UnmarshalWatch decodes the output of MarshalWatch. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalWatch(raw []byte) (dragonflywatch.Watch, error) {
	return unmarshal("watch", raw, watchFromWire)
}

type wireWatch struct {
	Entry         string `cbor:"1,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"2,keyasint,omitempty"`
	Term          uint64 `cbor:"3,keyasint,omitempty"`
	Revision      uint64 `cbor:"4,keyasint,omitempty"`
}

func watchToWire(w dragonflywatch.Watch) wireWatch {
	return wireWatch{
		Entry:         w.Entry,
		ConfigVersion: w.ConfigVersion,
		Term:          w.Term,
		Revision:      w.Revision,
	}
}

func watchFromWire(w wireWatch) dragonflywatch.Watch {
	return dragonflywatch.Watch{
		Entry:         w.Entry,
		ConfigVersion: w.ConfigVersion,
		Term:          w.Term,
		Revision:      w.Revision,
	}
}
