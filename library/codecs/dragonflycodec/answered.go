package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflyanswered"
)

type wireAnswered struct {
	ID     string     `cbor:"1,keyasint,omitempty"`
	Claim  string     `cbor:"2,keyasint,omitempty"`
	Result wireResult `cbor:"3,keyasint,omitempty"`
}

func answeredToWire(a dragonflyanswered.Answered) wireAnswered {
	return wireAnswered{
		ID:     a.ID,
		Claim:  a.Claim,
		Result: resultToWire(a.Result),
	}
}

func answeredFromWire(w wireAnswered) dragonflyanswered.Answered {
	return dragonflyanswered.Answered{
		ID:     w.ID,
		Claim:  w.Claim,
		Result: resultFromWire(w.Result),
	}
}
