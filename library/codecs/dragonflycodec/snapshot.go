package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflymemberset"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
)

// MarshalSnapshot returns the CBOR encoding of s.
func MarshalSnapshot(s dragonflysnapshot.Snapshot) ([]byte, error) {
	return marshal("snapshot", snapshotToWire(s))
}

// UnmarshalSnapshot decodes the output of MarshalSnapshot. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalSnapshot(raw []byte) (dragonflysnapshot.Snapshot, error) {
	return unmarshal("snapshot", raw, snapshotFromWire)
}

type wireSnapshot struct {
	Index    uint64    `cbor:"1,keyasint,omitempty"`
	Term     uint64    `cbor:"2,keyasint,omitempty"`
	State    wireState `cbor:"3,keyasint,omitempty"`
	Members  []string  `cbor:"4,keyasint,omitempty"`
	Outgoing []string  `cbor:"5,keyasint,omitempty"`
}

func snapshotToWire(s dragonflysnapshot.Snapshot) wireSnapshot {
	return wireSnapshot{
		Index:    s.Index,
		Term:     s.Term,
		State:    stateToWire(s.State),
		Members:  s.Members.Names(),
		Outgoing: s.Members.Outgoing(),
	}
}

func snapshotFromWire(w wireSnapshot) dragonflysnapshot.Snapshot {
	return dragonflysnapshot.Snapshot{
		Index:   w.Index,
		Term:    w.Term,
		State:   stateFromWire(w.State),
		Members: dragonflymemberset.New(w.Members...).WithOutgoing(w.Outgoing...),
	}
}
