package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflyload"
)

type wireLoad struct {
	InFlight int `cbor:"1,keyasint,omitempty"`
	Limit    int `cbor:"2,keyasint,omitempty"`
	Queued   int `cbor:"3,keyasint,omitempty"`
}

func loadToWire(l dragonflyload.Load) wireLoad {
	return wireLoad{
		InFlight: l.InFlight,
		Limit:    l.Limit,
		Queued:   l.Queued,
	}
}

func loadFromWire(w wireLoad) dragonflyload.Load {
	return dragonflyload.Load{
		InFlight: w.InFlight,
		Limit:    w.Limit,
		Queued:   w.Queued,
	}
}
