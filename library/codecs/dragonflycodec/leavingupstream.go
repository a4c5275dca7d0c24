package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyleavingupstream"
)

type wireLeavingUpstream struct {
	ID   string `cbor:"1,keyasint,omitempty"`
	Boot int64  `cbor:"2,keyasint,omitempty"`
	Age  int64  `cbor:"3,keyasint,omitempty"`
}

func leavingUpstreamToWire(u dragonflyleavingupstream.Upstream) wireLeavingUpstream {
	return wireLeavingUpstream{ID: u.ID, Boot: u.Boot, Age: int64(u.Age)}
}

func leavingUpstreamFromWire(w wireLeavingUpstream) dragonflyleavingupstream.Upstream {
	return dragonflyleavingupstream.Upstream{ID: w.ID, Boot: w.Boot, Age: dragonflyduration.Duration(w.Age)}
}
