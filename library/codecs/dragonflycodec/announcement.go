package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflyannouncement"
)

// MarshalAnnouncement returns the CBOR encoding of a.
func MarshalAnnouncement(a dragonflyannouncement.Announcement) ([]byte, error) {
	return marshal("announcement", announcementToWire(a))
}

// UnmarshalAnnouncement decodes the output of MarshalAnnouncement. Unknown
// fields are ignored, so that newer processes can add fields; malformed input
// is an error.
func UnmarshalAnnouncement(raw []byte) (dragonflyannouncement.Announcement, error) {
	return unmarshal("announcement", raw, announcementFromWire)
}

type wireAnnouncement struct {
	Instance      string   `cbor:"1,keyasint,omitempty"`
	Kind          uint8    `cbor:"2,keyasint,omitempty"`
	Address       string   `cbor:"3,keyasint,omitempty"`
	Region        string   `cbor:"4,keyasint,omitempty"`
	Zone          string   `cbor:"5,keyasint,omitempty"`
	Domain        string   `cbor:"6,keyasint,omitempty"`
	Accelerators  int      `cbor:"7,keyasint,omitempty"`
	Model         string   `cbor:"8,keyasint,omitempty"`
	Service       string   `cbor:"9,keyasint,omitempty"`
	State         uint8    `cbor:"10,keyasint,omitempty"`
	ChecksFencing bool     `cbor:"11,keyasint,omitempty"`
	ColdLimit     int      `cbor:"12,keyasint,omitempty"`
	Group         uint64   `cbor:"13,keyasint,omitempty"`
	Fence         uint64   `cbor:"14,keyasint,omitempty"`
	Load          wireLoad `cbor:"15,keyasint,omitempty"`
}

func announcementToWire(a dragonflyannouncement.Announcement) wireAnnouncement {
	return wireAnnouncement{
		Instance:      a.Instance,
		Kind:          uint8(a.Kind),
		Address:       a.Address,
		Region:        a.Region,
		Zone:          a.Zone,
		Domain:        a.Domain,
		Accelerators:  a.Accelerators,
		Model:         a.Model,
		Service:       a.Service,
		State:         uint8(a.State),
		ChecksFencing: a.ChecksFencing,
		ColdLimit:     a.ColdLimit,
		Group:         a.Group,
		Fence:         a.Fence,
		Load:          loadToWire(a.Load),
	}
}

func announcementFromWire(w wireAnnouncement) dragonflyannouncement.Announcement {
	a := dragonflyannouncement.Announcement{
		Instance:      w.Instance,
		Address:       w.Address,
		Region:        w.Region,
		Zone:          w.Zone,
		Domain:        w.Domain,
		Accelerators:  w.Accelerators,
		Model:         w.Model,
		Service:       w.Service,
		ChecksFencing: w.ChecksFencing,
		ColdLimit:     w.ColdLimit,
		Group:         w.Group,
		Fence:         w.Fence,
		Load:          loadFromWire(w.Load),
	}
	setEnum(&a.Kind, w.Kind)
	setEnum(&a.State, w.State)
	return a
}
