// Package dragonflysettings reads and checks settings files, which are JSON with
// comments and trailing commas.
package dragonflysettings

import (
	"bytes"
	"encoding/json"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Faults collects the faults of a settings file, so that an operator sees all of
// them at once. The zero value is empty.
type Faults struct {
	list []string
}

// Add records a fault. The setting is a path of kebab-case names such as
// "lease.period".
func (f *Faults) Add(setting, problem string) { f.list = append(f.list, setting+": "+problem) }

// Require records a fault unless ok is true.
func (f *Faults) Require(ok bool, setting, problem string) {
	if !ok {
		f.Add(setting, problem)
	}
}

// Err returns an error that lists all faults sorted by setting, or nil if there are
// none.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	sort.Strings(f.list)
	return errors.New(strings.Join(f.list, "; "))
}

// Load reads the file at path into v, a pointer to a struct with JSON tags.
// Unknown names are errors. Syntax errors contain the line and column.
func Load(path string, v any) (err error) {
	defer func() { err = errors.WithMessagef(err, "read settings %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(raw, v)
}

// Parse reads raw, which is JSON with comments, into v. Unknown names are errors.
func Parse(raw []byte, v any) (err error) {
	std, err := hujson.Standardize(raw)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}
