package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflystoredresult"
)

type wireStoredResult struct {
	ID     string     `cbor:"1,keyasint,omitempty"`
	Claim  string     `cbor:"2,keyasint,omitempty"`
	Result wireResult `cbor:"3,keyasint,omitempty"`
}

func storedResultToWire(r dragonflystoredresult.StoredResult) wireStoredResult {
	return wireStoredResult{
		ID:     r.ID,
		Claim:  r.Claim,
		Result: resultToWire(r.Result),
	}
}

func storedResultFromWire(w wireStoredResult) dragonflystoredresult.StoredResult {
	return dragonflystoredresult.StoredResult{
		ID:     w.ID,
		Claim:  w.Claim,
		Result: resultFromWire(w.Result),
	}
}
