package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflyreport"
)

// MarshalReport returns the CBOR encoding of r.
func MarshalReport(r dragonflyreport.Report) ([]byte, error) {
	return marshal("report", reportToWire(r))
}

// UnmarshalReport decodes the output of MarshalReport. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalReport(raw []byte) (dragonflyreport.Report, error) {
	return unmarshal("report", raw, reportFromWire)
}

type wireReport struct {
	Incarnation      uint64           `cbor:"1,keyasint,omitempty"`
	AgentAddress     string           `cbor:"2,keyasint,omitempty"`
	Announcement     wireAnnouncement `cbor:"3,keyasint,omitempty"`
	Alive            bool             `cbor:"4,keyasint,omitempty"`
	Membership       uint8            `cbor:"5,keyasint,omitempty"`
	Group            uint64           `cbor:"6,keyasint,omitempty"`
	Fence            uint64           `cbor:"7,keyasint,omitempty"`
	GroupReady       bool             `cbor:"8,keyasint,omitempty"`
	LostMembers      []string         `cbor:"9,keyasint,omitempty"`
	Load             wireLoad         `cbor:"10,keyasint,omitempty"`
	ConfigVersion    uint64           `cbor:"11,keyasint,omitempty"`
	GroupLeaseLapsed bool             `cbor:"12,keyasint,omitempty"`
	Sequence         uint64           `cbor:"13,keyasint,omitempty"`
}

func reportToWire(r dragonflyreport.Report) wireReport {
	return wireReport{
		Incarnation:      r.Incarnation,
		Sequence:         r.Sequence,
		AgentAddress:     r.AgentAddress,
		Announcement:     announcementToWire(r.Announcement),
		Alive:            r.Alive,
		Membership:       uint8(r.Membership),
		Group:            r.Group,
		Fence:            r.Fence,
		GroupReady:       r.GroupReady,
		LostMembers:      r.LostMembers,
		Load:             loadToWire(r.Load),
		ConfigVersion:    r.ConfigVersion,
		GroupLeaseLapsed: r.GroupLeaseLapsed,
	}
}

func reportFromWire(w wireReport) dragonflyreport.Report {
	r := dragonflyreport.Report{
		Incarnation:      w.Incarnation,
		Sequence:         w.Sequence,
		AgentAddress:     w.AgentAddress,
		Announcement:     announcementFromWire(w.Announcement),
		Alive:            w.Alive,
		Group:            w.Group,
		Fence:            w.Fence,
		GroupReady:       w.GroupReady,
		LostMembers:      w.LostMembers,
		Load:             loadFromWire(w.Load),
		ConfigVersion:    w.ConfigVersion,
		GroupLeaseLapsed: w.GroupLeaseLapsed,
	}
	setEnum(&r.Membership, w.Membership)
	return r
}
