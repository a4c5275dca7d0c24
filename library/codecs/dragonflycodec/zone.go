package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyzone"
)

type wireZone struct {
	Name   string `cbor:"1,keyasint,omitempty"`
	Out    bool   `cbor:"2,keyasint,omitempty"`
	Notice int64  `cbor:"3,keyasint,omitempty"`
}

func zoneToWire(z dragonflyzone.Zone) wireZone {
	return wireZone{
		Name:   z.Name(),
		Out:    z.Out(),
		Notice: int64(z.Notice()),
	}
}

func zoneFromWire(w wireZone) dragonflyzone.Zone {
	return dragonflyzone.Zone{}.
		WithName(w.Name).
		WithOut(w.Out).
		WithNotice(dragonflyduration.Duration(w.Notice))
}
