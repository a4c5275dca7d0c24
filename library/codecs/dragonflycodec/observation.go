package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

type wireObservation struct {
	ID         string   `cbor:"1,keyasint,omitempty"`
	Boot       int64    `cbor:"2,keyasint,omitempty"`
	Sequence   uint64   `cbor:"3,keyasint,omitempty"`
	Service    string   `cbor:"4,keyasint,omitempty"`
	Address    string   `cbor:"5,keyasint,omitempty"`
	Zone       string   `cbor:"6,keyasint,omitempty"`
	Domain     string   `cbor:"7,keyasint,omitempty"`
	State      uint8    `cbor:"8,keyasint,omitempty"`
	ColdLeft   int64    `cbor:"9,keyasint,omitempty"`
	Slots      int      `cbor:"10,keyasint,omitempty"`
	Staged     []string `cbor:"11,keyasint,omitempty"`
	Model      string   `cbor:"12,keyasint,omitempty"`
	Group      string   `cbor:"13,keyasint,omitempty"`
	Epoch      uint64   `cbor:"14,keyasint,omitempty"`
	Rank       int      `cbor:"15,keyasint,omitempty"`
	GroupState uint8    `cbor:"16,keyasint,omitempty"`
	Busy       bool     `cbor:"17,keyasint,omitempty"`
	Orders     uint64   `cbor:"18,keyasint,omitempty"`
	Running    int      `cbor:"19,keyasint,omitempty"`
	Queued     int      `cbor:"20,keyasint,omitempty"`
	Pace       float64  `cbor:"21,keyasint,omitempty"`
	Reporter   uint64   `cbor:"22,keyasint,omitempty"`
	Refused    bool     `cbor:"23,keyasint,omitempty"`
	// RefusedEpoch is left out by agents of earlier versions.
	RefusedEpoch uint64 `cbor:"24,keyasint,omitempty"`
}

func observationToWire(o dragonflyobservation.Observation) wireObservation {
	return wireObservation{
		ID: o.ID, Boot: o.Boot, Sequence: o.Sequence, Service: o.Service, Address: o.Address,
		Zone: o.Zone, Domain: o.Domain, State: uint8(o.State), ColdLeft: int64(o.ColdLeft), Slots: o.Slots,
		Staged: o.Staged, Model: o.Model, Group: o.Group.Name, Epoch: o.Group.Epoch, Rank: o.Group.Rank,
		GroupState: uint8(o.Group.State), Busy: o.Busy, Orders: o.Orders, Running: o.Running,
		Queued: o.Queued, Pace: o.Pace, Reporter: o.Reporter, Refused: o.Refused, RefusedEpoch: o.RefusedEpoch,
	}
}

func observationFromWire(w wireObservation) dragonflyobservation.Observation {
	o := dragonflyobservation.Observation{
		ID: w.ID, Boot: w.Boot, Sequence: w.Sequence, Service: w.Service, Address: w.Address,
		Zone: w.Zone, Domain: w.Domain, ColdLeft: dragonflyduration.Duration(w.ColdLeft), Slots: w.Slots,
		Staged: w.Staged, Model: w.Model, Busy: w.Busy, Orders: w.Orders, Running: w.Running,
		Queued: w.Queued, Pace: w.Pace, Reporter: w.Reporter, Refused: w.Refused, RefusedEpoch: w.RefusedEpoch,
		Group: dragonflyenginegroup.Group{Name: w.Group, Epoch: w.Epoch, Rank: w.Rank},
	}
	setEnum(&o.State, w.State)
	setEnum(&o.Group.State, w.GroupState)
	return o
}
