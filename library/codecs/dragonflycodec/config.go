package dragonflycodec

import (
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflyconfig"
)

// MarshalConfig returns the CBOR encoding of c.
func MarshalConfig(c dragonflyconfig.Config) ([]byte, error) {
	return marshal("config", configToWire(c))
}

// UnmarshalConfig decodes the output of MarshalConfig.
func UnmarshalConfig(raw []byte) (dragonflyconfig.Config, error) {
	return unmarshal("config", raw, configFromWire)
}

type wireConfig struct {
	Version    uint64          `cbor:"1,keyasint,omitempty"`
	GroupSize  int             `cbor:"2,keyasint,omitempty"`
	Classes    []wireClass     `cbor:"3,keyasint,omitempty"`
	Workspaces []wireWorkspace `cbor:"4,keyasint,omitempty"`
	Services   []wireService   `cbor:"5,keyasint,omitempty"`
	Zones      []wireZone      `cbor:"6,keyasint,omitempty"`
}

func configToWire(c dragonflyconfig.Config) wireConfig {
	return wireConfig{
		Version:    c.Version(),
		GroupSize:  c.GroupSize(),
		Classes:    mapValues(c.Classes(), classToWire),
		Workspaces: mapValues(c.Workspaces(), workspaceToWire),
		Services:   mapValues(c.Services(), serviceToWire),
		Zones:      mapValues(c.Zones(), zoneToWire),
	}
}

func configFromWire(w wireConfig) dragonflyconfig.Config {
	c := dragonflyconfig.Config{}.WithVersion(w.Version).WithGroupSize(w.GroupSize)
	for _, v := range w.Classes {
		c = c.WithClass(classFromWire(v))
	}
	for _, v := range w.Workspaces {
		c = c.WithWorkspace(workspaceFromWire(v))
	}
	for _, v := range w.Services {
		c = c.WithService(serviceFromWire(v))
	}
	for _, v := range w.Zones {
		c = c.WithZone(zoneFromWire(v))
	}
	return c
}

func mapValues[A, B any](m dragonflymap.Map[string, A], f func(A) B) []B {
	var out []B
	for _, v := range m.All() {
		out = append(out, f(v))
	}
	return out
}
