// Package dragonflytendsettings defines, reads and checks the settings of the
// agent that the tend command runs for the engine on the same machine.
package dragonflytendsettings

import (
	"dragonflyrelay.example/library/common/dragonflysettings"
	"github.com/pkg/errors"
)

// Settings are the settings of the agent of one engine.
type Settings struct {
	// Name identifies the agent to control and in logs.
	Name string
	// Engine is the IP and port of the engine on this machine.
	Engine string
	// MetricsListen is the IP and port that serve the metrics, "" for none.
	MetricsListen string
	// Control lists the addresses of control instances.
	Control []string
	// MemoryLimit is the memory of the instance in bytes, 0 if not limited.
	MemoryLimit int64
	// Path is the file that the settings were read from, "" if there was none.
	Path string
}

type file struct {
	Name          string   `json:"name"`
	Engine        string   `json:"engine"`
	MetricsListen string   `json:"metrics-listen"`
	Seeds         []string `json:"seeds"`
	PeerPort      int      `json:"peer-port"`
	MemoryMB      int64    `json:"memory-mb"`
}

// Seeds reads the settings file again and returns its addresses of control
// instances, or nil if the file cannot be read.
func (s Settings) Seeds() []string {
	current, err := Load(s.Path)
	if err != nil {
		return nil
	}
	return current.Control
}

// Load reads and checks the settings file at path, which is JSON with comments.
// The error lists all faults.
func Load(path string) (s Settings, err error) {
	defer func() { err = errors.WithMessagef(err, "settings %s", path) }()
	var f file
	if err := dragonflysettings.Load(path, &f); err != nil {
		return s, err
	}
	var faults dragonflysettings.Faults
	s = Settings{Name: f.Name, Engine: f.Engine, MetricsListen: f.MetricsListen, MemoryLimit: f.MemoryMB << 20}
	s.Path = path
	s.Control = faults.Peers(f.Seeds, f.PeerPort)
	faults.Require(s.Name != "", "name", "is missing")
	faults.Address("engine", s.Engine, false)
	if s.MetricsListen != "" {
		faults.Address("metrics-listen", s.MetricsListen, true)
	}
	faults.Require(s.MemoryLimit >= 0, "memory-mb", "must not be negative")
	return s, faults.Err()
}
