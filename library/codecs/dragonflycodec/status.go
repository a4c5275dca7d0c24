package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflystatus"
)

// MarshalStatus returns the CBOR encoding of s.
func MarshalStatus(s dragonflystatus.Status) ([]byte, error) {
	return marshal("status", statusToWire(s))
}

// UnmarshalStatus decodes the output of MarshalStatus. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalStatus(raw []byte) (dragonflystatus.Status, error) {
	return unmarshal("status", raw, statusFromWire)
}

type wireStatus struct {
	Instance        string        `cbor:"1,keyasint,omitempty"`
	Leader          string        `cbor:"2,keyasint,omitempty"`
	Term            uint64        `cbor:"3,keyasint,omitempty"`
	Commit          uint64        `cbor:"4,keyasint,omitempty"`
	ConfirmationAge int64         `cbor:"5,keyasint,omitempty"`
	Config          wireConfig    `cbor:"6,keyasint,omitempty"`
	Groups          []wireGroup   `cbor:"7,keyasint,omitempty"`
	Routes          []wireRoute   `cbor:"8,keyasint,omitempty"`
	Reports         []wireReport  `cbor:"9,keyasint,omitempty"`
	History         []wireHistory `cbor:"10,keyasint,omitempty"`

	Conditions []wireUpstreamCondition `cbor:"20,keyasint,omitempty"`
}

func statusToWire(s dragonflystatus.Status) wireStatus {
	return wireStatus{
		Instance:        s.Instance,
		Leader:          s.Leader,
		Term:            s.Term,
		Commit:          s.Commit,
		ConfirmationAge: int64(s.ConfirmationAge),
		Config:          configToWire(s.Config),
		Groups:          mapSlice(s.Groups, groupToWire),
		Routes:          mapSlice(s.Routes, routeToWire),
		Reports:         mapSlice(s.Reports, reportToWire),
		History:         mapSlice(s.History, historyToWire),
		Conditions:      mapSlice(s.Conditions, upstreamConditionToWire),
	}
}

func statusFromWire(w wireStatus) dragonflystatus.Status {
	return dragonflystatus.Status{
		Instance:        w.Instance,
		Leader:          w.Leader,
		Term:            w.Term,
		Commit:          w.Commit,
		ConfirmationAge: dragonflyduration.Duration(w.ConfirmationAge),
		Config:          configFromWire(w.Config),
		Groups:          mapSlice(w.Groups, groupFromWire),
		Routes:          mapSlice(w.Routes, routeFromWire),
		Reports:         mapSlice(w.Reports, reportFromWire),
		History:         mapSlice(w.History, historyFromWire),
		Conditions:      mapSlice(w.Conditions, upstreamConditionFromWire),
	}
}
