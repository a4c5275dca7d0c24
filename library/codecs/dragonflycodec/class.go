package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyclass"
)

type wireClass struct {
	Name        string `cbor:"1,keyasint,omitempty"`
	Priority    int    `cbor:"2,keyasint,omitempty"`
	Answered    int    `cbor:"3,keyasint,omitempty"`
	FirstToken  int64  `cbor:"4,keyasint,omitempty"`
	Gap         int64  `cbor:"5,keyasint,omitempty"`
	Complete    int    `cbor:"6,keyasint,omitempty"`
	Deadline    int64  `cbor:"7,keyasint,omitempty"`
	CrossDomain bool   `cbor:"8,keyasint,omitempty"`
}

func classToWire(c dragonflyclass.Class) wireClass {
	return wireClass{
		Name:        c.Name(),
		Priority:    c.Priority(),
		Answered:    c.Answered(),
		FirstToken:  int64(c.FirstToken()),
		Gap:         int64(c.Gap()),
		Complete:    c.Complete(),
		Deadline:    int64(c.Deadline()),
		CrossDomain: c.CrossDomain(),
	}
}

func classFromWire(w wireClass) dragonflyclass.Class {
	return dragonflyclass.Class{}.
		WithName(w.Name).
		WithPriority(w.Priority).
		WithAnswered(w.Answered).
		WithFirstToken(dragonflyduration.Duration(w.FirstToken)).
		WithGap(dragonflyduration.Duration(w.Gap)).
		WithComplete(w.Complete).
		WithDeadline(dragonflyduration.Duration(w.Deadline)).
		WithCrossDomain(w.CrossDomain)
}
