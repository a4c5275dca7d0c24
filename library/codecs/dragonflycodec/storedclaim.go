package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflystoredclaim"
)

type wireClaim struct {
	Key         string      `cbor:"1,keyasint,omitempty"`
	Fingerprint string      `cbor:"2,keyasint,omitempty"`
	Owner       string      `cbor:"3,keyasint,omitempty"`
	At          int64       `cbor:"4,keyasint,omitempty"`
	Outcome     string      `cbor:"5,keyasint,omitempty"`
	Status      int         `cbor:"6,keyasint,omitempty"`
	Headers     [][2]string `cbor:"7,keyasint,omitempty"`
	Body        []byte      `cbor:"8,keyasint,omitempty"`
}

func claimToWire(c dragonflystoredclaim.Claim) wireClaim {
	return wireClaim{
		Key:         c.Key,
		Fingerprint: c.Fingerprint,
		Owner:       c.Owner,
		At:          c.At,
		Outcome:     c.Outcome,
		Status:      c.Status,
		Headers:     c.Headers,
		Body:        c.Body,
	}
}

func claimFromWire(w wireClaim) dragonflystoredclaim.Claim {
	return dragonflystoredclaim.Claim{
		Key:         w.Key,
		Fingerprint: w.Fingerprint,
		Owner:       w.Owner,
		At:          w.At,
		Outcome:     w.Outcome,
		Status:      w.Status,
		Headers:     w.Headers,
		Body:        w.Body,
	}
}
