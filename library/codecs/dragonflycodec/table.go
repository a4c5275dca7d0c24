package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflytable"
)

// MarshalTable returns the CBOR encoding of t.
func MarshalTable(t dragonflytable.Table) ([]byte, error) { return marshal("table", tableToWire(t)) }

// UnmarshalTable decodes the output of MarshalTable. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalTable(raw []byte) (dragonflytable.Table, error) {
	return unmarshal("table", raw, tableFromWire)
}

type wireTable struct {
	Config          wireConfig  `cbor:"1,keyasint,omitempty"`
	HasConfig       bool        `cbor:"2,keyasint,omitempty"`
	ConfirmationAge int64       `cbor:"3,keyasint,omitempty"`
	Term            uint64      `cbor:"4,keyasint,omitempty"`
	Revision        uint64      `cbor:"5,keyasint,omitempty"`
	Complete        bool        `cbor:"6,keyasint,omitempty"`
	Routes          []wireRoute `cbor:"7,keyasint,omitempty"`
	Removed         []string    `cbor:"8,keyasint,omitempty"`
}

func tableToWire(t dragonflytable.Table) wireTable {
	return wireTable{
		Config:          configToWire(t.Config),
		HasConfig:       t.HasConfig,
		ConfirmationAge: int64(t.ConfirmationAge),
		Term:            t.Term,
		Revision:        t.Revision,
		Complete:        t.Complete,
		Routes:          mapSlice(t.Routes, routeToWire),
		Removed:         t.Removed,
	}
}

func tableFromWire(w wireTable) dragonflytable.Table {
	return dragonflytable.Table{
		Config:          configFromWire(w.Config),
		HasConfig:       w.HasConfig,
		ConfirmationAge: dragonflyduration.Duration(w.ConfirmationAge),
		Term:            w.Term,
		Revision:        w.Revision,
		Complete:        w.Complete,
		Routes:          mapSlice(w.Routes, routeFromWire),
		Removed:         w.Removed,
	}
}
