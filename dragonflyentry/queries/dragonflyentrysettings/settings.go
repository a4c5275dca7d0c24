// Package dragonflyentrysettings reads and checks the settings of an entry.
package dragonflyentrysettings

import (
	"strconv"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflysettings"
	"github.com/pkg/errors"
)

// Defaults of settings that are 0 or missing.
const (
	DefaultStreamCap        = 1024
	DefaultMaxBody          = 4 << 20
	DefaultMaxTokens        = 4096
	DefaultCompletionTokens = 256
	DefaultWriteTimeout     = 10 * dragonflyduration.Second
	DefaultReadTimeout      = 10 * dragonflyduration.Second
	DefaultDrainTimeout     = 10 * dragonflyduration.Minute
)

// Settings are the settings of one entry. Listen, Zone, Control and exactly one of
// Key and KeyFile are required. Zero values of other fields mean the defaults above,
// if there are any.
type Settings struct {
	// Name identifies the entry in the time line and to control.
	Name string
	// Listen is the IP address and port for callers; with port 0 a free port is
	// assigned.
	Listen string
	// Region and Zone are the location of the entry.
	Region, Zone string
	// Control lists the IP address and port of each control instance.
	Control []string
	// Key is the internal key; "" means that KeyFile is set.
	Key string
	// KeyFile is the path of a file with the internal key; "" means that Key is set.
	// Changes of the file apply without a restart.
	KeyFile string
	// StreamCap bounds the requests in progress.
	StreamCap int
	// Timeline is the path of the time line file; "" means none.
	Timeline string
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int
	// BodyMB is the memory for all requests that arrive or wait for an answer, in MiB. The
	// default is six times MaxBody and a margin. Each body counts twice.
	BodyMB int
	// MaxTokens bounds the max_tokens of a request; CompletionTokens applies to a
	// request without max_tokens.
	MaxTokens, CompletionTokens int
	// RouteWait bounds the wait for a route; 0 means the default of the core.
	RouteWait dragonflyduration.Duration
	// ReadTimeout bounds the time in which a caller must send a request.
	ReadTimeout dragonflyduration.Duration
	// WriteTimeout bounds the time in which a caller must read an event.
	WriteTimeout dragonflyduration.Duration
	// DrainTimeout bounds how long a shutdown waits for requests in progress.
	DrainTimeout dragonflyduration.Duration
}

// settingsFile is the JSON form of the settings.
type settingsFile struct {
	Name             string   `json:"name"`
	Listen           string   `json:"listen"`
	Region           string   `json:"region"`
	Zone             string   `json:"zone"`
	Control          []string `json:"control"`
	Key              string   `json:"key"`
	KeyFile          string   `json:"key-file"`
	StreamCap        int      `json:"stream-cap"`
	Timeline         string   `json:"timeline"`
	MaxBody          int      `json:"max-body"`
	BodyMB           int      `json:"body-mb"`
	MaxTokens        int      `json:"max-tokens"`
	CompletionTokens int      `json:"completion-tokens"`
	RouteWait        string   `json:"route-wait"`
	ReadTimeout      string   `json:"read-timeout"`
	WriteTimeout     string   `json:"write-timeout"`
	DrainTimeout     string   `json:"drain-timeout"`
}

// Load reads the file at path and checks all settings. The error lists all faults.
func Load(path string) (s Settings, err error) {
	var f settingsFile
	if err := dragonflysettings.Load(path, &f); err != nil {
		return s, err
	}
	s, err = f.settings()
	return s, errors.WithMessagef(err, "check settings %s", path)
}

// Parse parses and checks settings like Load. raw is JSON with comments.
func Parse(raw []byte) (s Settings, err error) {
	defer func() { err = errors.WithMessage(err, "parse settings") }()
	var f settingsFile
	if err := dragonflysettings.Parse(raw, &f); err != nil {
		return s, err
	}
	return f.settings()
}

func (f settingsFile) settings() (s Settings, err error) {
	var faults dragonflysettings.Faults
	s = Settings{
		Name: f.Name, Listen: f.Listen, Region: f.Region, Zone: f.Zone, Control: f.Control, Key: f.Key, KeyFile: f.KeyFile,
		StreamCap: f.StreamCap, Timeline: f.Timeline, MaxBody: f.MaxBody, BodyMB: f.BodyMB,
		MaxTokens: f.MaxTokens, CompletionTokens: f.CompletionTokens,
		RouteWait:    faults.Duration("route-wait", f.RouteWait),
		ReadTimeout:  faults.Duration("read-timeout", f.ReadTimeout),
		WriteTimeout: faults.Duration("write-timeout", f.WriteTimeout),
		DrainTimeout: faults.Duration("drain-timeout", f.DrainTimeout),
	}
	s.check(&faults)
	return s, faults.Err()
}

// Check returns an error that lists all faults of s, or nil.
func (s Settings) Check() error {
	var faults dragonflysettings.Faults
	s.check(&faults)
	return faults.Err()
}

func (s Settings) check(faults *dragonflysettings.Faults) {
	faults.Address("listen", s.Listen, true)
	faults.Key(s.Key, s.KeyFile)
	faults.Require(len(s.Control) > 0, "control", "must list at least one address")
	for i, addr := range s.Control {
		faults.Address("control["+strconv.Itoa(i)+"]", addr, false)
	}
	faults.Require(s.Zone != "", "zone", "must be set")
	for _, n := range []struct {
		place string
		v     int
	}{
		{"stream-cap", s.StreamCap}, {"max-body", s.MaxBody}, {"body-mb", s.BodyMB},
		{"max-tokens", s.MaxTokens}, {"completion-tokens", s.CompletionTokens},
	} {
		faults.Require(n.v >= 0, n.place, "must not be negative")
	}
	d := s.WithDefaults()
	faults.Require(d.CompletionTokens <= d.MaxTokens, "completion-tokens", "must not exceed max-tokens")
}

// WithDefaults returns s with the defaults in place of zero values.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Name, "entry")
	setDefault(&s.StreamCap, DefaultStreamCap)
	setDefault(&s.MaxBody, DefaultMaxBody)
	setDefault(&s.MaxTokens, DefaultMaxTokens)
	setDefault(&s.CompletionTokens, min(DefaultCompletionTokens, s.MaxTokens))
	setDefault(&s.ReadTimeout, DefaultReadTimeout)
	setDefault(&s.WriteTimeout, DefaultWriteTimeout)
	setDefault(&s.DrainTimeout, DefaultDrainTimeout)
	return s
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
