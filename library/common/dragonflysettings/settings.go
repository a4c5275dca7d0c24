// Package dragonflysettings reads settings files: JSON with comments and
// trailing commas, checked whole.
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

// Faults collects what is wrong with a settings file, each fault with its
// place, so that an operator sees all of them at once. The zero value is empty.
type Faults struct {
	list []string
}

// Add records a fault at place, a path of kebab-case names such as "lease.period".
func (f *Faults) Add(place, what string) { f.list = append(f.list, place+": "+what) }

// Require records a fault at place unless ok.
func (f *Faults) Require(ok bool, place, what string) {
	if !ok {
		f.Add(place, what)
	}
}

// Err returns nil or one error that lists all faults in order of place.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	sort.Strings(f.list)
	return errors.New(strings.Join(f.list, "; "))
}

// Load reads the file at path into v, a pointer to a struct with JSON tags.
// Unknown names are errors. Syntax errors name line and column.
func Load(path string, v any) (err error) {
	defer func() { err = errors.WithMessagef(err, "read settings %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(raw, v)
}

// Parse reads raw, JSON with comments, into v.
func Parse(raw []byte, v any) (err error) {
	std, err := hujson.Standardize(raw)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}
