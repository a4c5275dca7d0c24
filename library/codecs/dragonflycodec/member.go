package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflymember"
)

type wireMember struct {
	Instance      string `cbor:"1,keyasint,omitempty"`
	AgentAddress  string `cbor:"2,keyasint,omitempty"`
	EngineAddress string `cbor:"3,keyasint,omitempty"`
}

func memberToWire(m dragonflymember.Member) wireMember {
	return wireMember{
		Instance:      m.Instance,
		AgentAddress:  m.AgentAddress,
		EngineAddress: m.EngineAddress,
	}
}

func memberFromWire(w wireMember) dragonflymember.Member {
	return dragonflymember.Member{
		Instance:      w.Instance,
		AgentAddress:  w.AgentAddress,
		EngineAddress: w.EngineAddress,
	}
}
