// Package dragonflyctlsettings reads the settings file of dragonflyctl.
package dragonflyctlsettings

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflykeyfile"
	"dragonflyrelay.example/library/common/dragonflysettings"
	"github.com/pkg/errors"
)

// DefaultTimeout is the default of Settings.Timeout. It leaves time for the election
// of a new leader, which takes up to 2 s, and for a few attempts after it.
const DefaultTimeout = 8 * dragonflyduration.Second

// Settings holds the settings of dragonflyctl.
type Settings struct {
	// Control lists the IP and port of the control instances.
	Control []string
	// Key is the internal key that authenticates calls to control.
	Key string
	// Operator is recorded with changes unless the command line names another operator.
	Operator string
	// Timeout bounds each read of the state and each proposal, with its attempts.
	Timeout dragonflyduration.Duration
}

type file struct {
	Control  []string `json:"control"`
	Key      string   `json:"key"`
	KeyFile  string   `json:"key-file"`
	Operator string   `json:"operator"`
	Timeout  string   `json:"timeout"`
}

// Load reads the settings file at path. The error lists every invalid setting.
func Load(path string) (s Settings, err error) {
	var f file
	if err := dragonflysettings.Load(path, &f); err != nil {
		return s, err
	}
	var faults dragonflysettings.Faults
	faults.Require(len(f.Control) > 0, "control", "must list at least one address")
	for _, addr := range f.Control {
		faults.Address("control", addr, false)
	}
	faults.Key(f.Key, f.KeyFile)
	s = Settings{Control: f.Control, Key: f.Key, Operator: f.Operator, Timeout: DefaultTimeout}
	if d := faults.Duration("timeout", f.Timeout); d > 0 {
		s.Timeout = d
	}
	if f.KeyFile != "" {
		s.Key = dragonflykeyfile.Source("", f.KeyFile)()
	}
	return s, errors.WithMessagef(faults.Err(), "check settings %s", path)
}
