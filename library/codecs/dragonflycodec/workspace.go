package dragonflycodec

import (
	"dragonflyrelay.example/library/values/dragonflyworkspace"
)

type wireWorkspace struct {
	Name        string `cbor:"1,keyasint,omitempty"`
	KeyHash     string `cbor:"2,keyasint,omitempty"`
	Class       string `cbor:"3,keyasint,omitempty"`
	MaxInFlight int    `cbor:"4,keyasint,omitempty"`
}

func workspaceToWire(w dragonflyworkspace.Workspace) wireWorkspace {
	return wireWorkspace{
		Name:        w.Name(),
		KeyHash:     w.KeyHash(),
		Class:       w.Class(),
		MaxInFlight: w.MaxInFlight(),
	}
}

func workspaceFromWire(w wireWorkspace) dragonflyworkspace.Workspace {
	return dragonflyworkspace.Workspace{}.
		WithName(w.Name).
		WithKeyHash(w.KeyHash).
		WithClass(w.Class).
		WithMaxInFlight(w.MaxInFlight)
}
