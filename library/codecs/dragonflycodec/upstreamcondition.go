package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyupstreamcondition"
	"dragonflyrelay.example/library/values/dragonflyupstreampause"
)

type wireUpstreamPause struct {
	ID   string `cbor:"1,keyasint,omitempty"`
	Boot int64  `cbor:"2,keyasint,omitempty"`
	Age  int64  `cbor:"3,keyasint,omitempty"`
	Left int64  `cbor:"4,keyasint,omitempty"`
}

func upstreamPauseToWire(p dragonflyupstreampause.Pause) wireUpstreamPause {
	return wireUpstreamPause{ID: p.ID, Boot: p.Boot, Age: int64(p.Age), Left: int64(p.Left)}
}

func upstreamPauseFromWire(w wireUpstreamPause) dragonflyupstreampause.Pause {
	return dragonflyupstreampause.Pause{ID: w.ID, Boot: w.Boot, Age: dragonflyduration.Duration(w.Age), Left: dragonflyduration.Duration(w.Left)}
}

type wireUpstreamCondition struct {
	Kind     uint8  `cbor:"1,keyasint,omitempty"`
	Upstream string `cbor:"2,keyasint,omitempty"`
	Service  string `cbor:"3,keyasint,omitempty"`
	Since    int64  `cbor:"4,keyasint,omitempty"`
	Reason   string `cbor:"5,keyasint,omitempty"`
}

func upstreamConditionToWire(c dragonflyupstreamcondition.Condition) wireUpstreamCondition {
	return wireUpstreamCondition{Kind: uint8(c.Kind), Upstream: c.Upstream, Service: c.Service, Since: int64(c.Since), Reason: c.Reason}
}

func upstreamConditionFromWire(w wireUpstreamCondition) dragonflyupstreamcondition.Condition {
	c := dragonflyupstreamcondition.Condition{Upstream: w.Upstream, Service: w.Service, Since: dragonflyduration.Duration(w.Since), Reason: w.Reason}
	setEnum(&c.Kind, w.Kind)
	return c
}
