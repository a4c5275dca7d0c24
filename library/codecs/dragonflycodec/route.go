package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflyroute"
)

// MarshalRoute returns the CBOR encoding of r.
func MarshalRoute(r dragonflyroute.Route) ([]byte, error) { return marshal("route", routeToWire(r)) }

// UnmarshalRoute decodes the output of MarshalRoute. Unknown fields are
// ignored, so that newer processes can add fields; malformed input is an error.
func UnmarshalRoute(raw []byte) (dragonflyroute.Route, error) {
	return unmarshal("route", raw, routeFromWire)
}

type wireRoute struct {
	Key         string   `cbor:"1,keyasint,omitempty"`
	Group       uint64   `cbor:"2,keyasint,omitempty"`
	Fence       uint64   `cbor:"3,keyasint,omitempty"`
	Model       string   `cbor:"4,keyasint,omitempty"`
	Service     string   `cbor:"5,keyasint,omitempty"`
	Instance    string   `cbor:"6,keyasint,omitempty"`
	Address     string   `cbor:"7,keyasint,omitempty"`
	Region      string   `cbor:"8,keyasint,omitempty"`
	Zone        string   `cbor:"9,keyasint,omitempty"`
	Zones       []string `cbor:"10,keyasint,omitempty"`
	Ready       bool     `cbor:"11,keyasint,omitempty"`
	Load        wireLoad `cbor:"12,keyasint,omitempty"`
	Silent      bool     `cbor:"13,keyasint,omitempty"`
	CrossDomain bool     `cbor:"14,keyasint,omitempty"`
}

func routeToWire(r dragonflyroute.Route) wireRoute {
	return wireRoute{
		Key:         r.Key,
		Group:       r.Group,
		Fence:       r.Fence,
		Model:       r.Model,
		Service:     r.Service,
		Instance:    r.Instance,
		Address:     r.Address,
		Region:      r.Region,
		Zone:        r.Zone,
		Zones:       r.Zones,
		Ready:       r.Ready,
		Load:        loadToWire(r.Load),
		Silent:      r.Silent,
		CrossDomain: r.CrossDomain,
	}
}

func routeFromWire(w wireRoute) dragonflyroute.Route {
	return dragonflyroute.Route{
		Key:         w.Key,
		Group:       w.Group,
		Fence:       w.Fence,
		Model:       w.Model,
		Service:     w.Service,
		Instance:    w.Instance,
		Address:     w.Address,
		Region:      w.Region,
		Zone:        w.Zone,
		Zones:       w.Zones,
		Ready:       w.Ready,
		Load:        loadFromWire(w.Load),
		Silent:      w.Silent,
		CrossDomain: w.CrossDomain,
	}
}
