package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflyrelay"
)

// MarshalRelay returns the CBOR encoding of r.
func MarshalRelay(r dragonflyrelay.Relay) ([]byte, error) {
	return marshal("relay", relayToWire(r))
}

// UnmarshalRelay decodes the output of MarshalRelay. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalRelay(raw []byte) (dragonflyrelay.Relay, error) {
	return unmarshal("relay", raw, relayFromWire)
}

type wireRelay struct {
	From    string       `cbor:"1,keyasint,omitempty"`
	Reports []wireReport `cbor:"2,keyasint,omitempty"`
	Watch   wireWatch    `cbor:"3,keyasint,omitempty"`
}

func relayToWire(r dragonflyrelay.Relay) wireRelay {
	return wireRelay{
		From:    r.From,
		Reports: mapSlice(r.Reports, reportToWire),
		Watch:   watchToWire(r.Watch),
	}
}

func relayFromWire(w wireRelay) dragonflyrelay.Relay {
	return dragonflyrelay.Relay{
		From:    w.From,
		Reports: mapSlice(w.Reports, reportFromWire),
		Watch:   watchFromWire(w.Watch),
	}
}
