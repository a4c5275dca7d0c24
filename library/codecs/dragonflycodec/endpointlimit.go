package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyendpointlimit"
)

type wireEndpointLimit struct {
	ID      string  `cbor:"1,keyasint,omitempty"`
	Boot    int64   `cbor:"2,keyasint,omitempty"`
	Limited bool    `cbor:"3,keyasint,omitempty"`
	Rate    float64 `cbor:"4,keyasint,omitempty"`
	Age     int64   `cbor:"5,keyasint,omitempty"`
}

func endpointLimitToWire(l dragonflyendpointlimit.Limit) wireEndpointLimit {
	return wireEndpointLimit{ID: l.ID, Boot: l.Boot, Limited: l.Limited, Rate: l.Rate, Age: int64(l.Age)}
}

func endpointLimitFromWire(w wireEndpointLimit) dragonflyendpointlimit.Limit {
	return dragonflyendpointlimit.Limit{ID: w.ID, Boot: w.Boot, Limited: w.Limited, Rate: w.Rate, Age: dragonflyduration.Duration(w.Age)}
}
