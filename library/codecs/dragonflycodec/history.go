package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflyhistory"
)

type wireHistory struct {
	Version  uint64 `cbor:"1,keyasint,omitempty"`
	ChangeID string `cbor:"2,keyasint,omitempty"`
	Operator string `cbor:"3,keyasint,omitempty"`
	At       int64  `cbor:"4,keyasint,omitempty"`
	Summary  string `cbor:"5,keyasint,omitempty"`
}

func historyToWire(h dragonflyhistory.Entry) wireHistory {
	return wireHistory{
		Version:  h.Version,
		ChangeID: h.ChangeID,
		Operator: h.Operator,
		At:       h.At,
		Summary:  h.Summary,
	}
}

func historyFromWire(w wireHistory) dragonflyhistory.Entry {
	return dragonflyhistory.Entry{
		Version:  w.Version,
		ChangeID: w.ChangeID,
		Operator: w.Operator,
		At:       w.At,
		Summary:  w.Summary,
	}
}
