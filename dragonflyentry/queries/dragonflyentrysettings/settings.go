// Package dragonflyentrysettings reads and checks the settings of an entry.
package dragonflyentrysettings

import (
	"net"
	"strconv"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflykeyfile"
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

// Settings are the settings of one entry. Zero fields mean the defaults above,
// but for Listen and Control, which must be set.
type Settings struct {
	// Name names the entry in the time line and to control.
	Name string
	// Listen is the IP and port for callers; port 0 takes any free one.
	Listen string
	// Region and Zone tell where the entry is.
	Region, Zone string
	// Control lists the IP and port of each control instance.
	Control []string
	// Key is the internal key; "" means that none is sent.
	Key string
	// KeyFile is the file that holds the internal key, "" if Key does. Changes
	// of the file are followed without a restart.
	KeyFile string
	// StreamCap bounds the requests in progress.
	StreamCap int
	// Timeline is the path of the time line file; "" means none.
	Timeline string
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int
	// MaxTokens bounds what a caller may ask for; CompletionTokens is used if
	// it asks for nothing.
	MaxTokens, CompletionTokens int
	// RouteWait bounds the wait for a route; 0 means the core's default.
	RouteWait dragonflyduration.Duration
	// ReadTimeout bounds how long a caller may take to send a request.
	ReadTimeout dragonflyduration.Duration
	// WriteTimeout bounds how long a caller may leave an event unread.
	WriteTimeout dragonflyduration.Duration
	// DrainTimeout bounds how long a shutdown waits for requests in progress.
	DrainTimeout dragonflyduration.Duration
}

// file is the form of the settings in the file.
type file struct {
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
	MaxTokens        int      `json:"max-tokens"`
	CompletionTokens int      `json:"completion-tokens"`
	RouteWait        string   `json:"route-wait"`
	ReadTimeout      string   `json:"read-timeout"`
	WriteTimeout     string   `json:"write-timeout"`
	DrainTimeout     string   `json:"drain-timeout"`
}

// Load reads the file at path and checks it whole. The error lists all faults.
func Load(path string) (s Settings, err error) {
	var f file
	if err := dragonflysettings.Load(path, &f); err != nil {
		return s, err
	}
	s, err = f.settings()
	return s, errors.WithMessagef(err, "check settings %s", path)
}

// Parse is Load for settings in memory: JSON with comments.
func Parse(raw []byte) (s Settings, err error) {
	defer func() { err = errors.WithMessage(err, "parse settings") }()
	var f file
	if err := dragonflysettings.Parse(raw, &f); err != nil {
		return s, err
	}
	return f.settings()
}

func (f file) settings() (s Settings, err error) {
	var faults dragonflysettings.Faults
	s = Settings{
		Name: f.Name, Listen: f.Listen, Region: f.Region, Zone: f.Zone, Control: f.Control, Key: f.Key, KeyFile: f.KeyFile,
		StreamCap: f.StreamCap, Timeline: f.Timeline, MaxBody: f.MaxBody,
		MaxTokens: f.MaxTokens, CompletionTokens: f.CompletionTokens,
		RouteWait:    duration(&faults, "route-wait", f.RouteWait),
		ReadTimeout:  duration(&faults, "read-timeout", f.ReadTimeout),
		WriteTimeout: duration(&faults, "write-timeout", f.WriteTimeout),
		DrainTimeout: duration(&faults, "drain-timeout", f.DrainTimeout),
	}
	s.check(&faults)
	return s, faults.Err()
}

func duration(faults *dragonflysettings.Faults, place, v string) dragonflyduration.Duration {
	if v == "" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		faults.Add(place, "must be a positive duration such as \"1.5s\"")
		return 0
	}
	return dragonflyduration.Duration(d)
}

// Check returns one error that lists all faults of s, or nil.
func (s Settings) Check() error {
	var faults dragonflysettings.Faults
	s.check(&faults)
	return faults.Err()
}

func (s Settings) check(faults *dragonflysettings.Faults) {
	requireAddress(faults, "listen", s.Listen, 0)
	if s.KeyFile != "" {
		faults.Require(s.Key == "", "key", "must not be set beside key-file")
		file := dragonflykeyfile.KeyFile{Path: s.KeyFile}
		if err := file.Load(); err != nil {
			faults.Add("key-file", err.Error())
		}
	}
	faults.Require(len(s.Control) > 0, "control", "must list at least one address")
	for i, addr := range s.Control {
		requireAddress(faults, "control["+strconv.Itoa(i)+"]", addr, 1)
	}
	faults.Require(s.Zone != "", "zone", "must be set")
	for _, n := range []struct {
		place string
		v     int
	}{
		{"stream-cap", s.StreamCap}, {"max-body", s.MaxBody},
		{"max-tokens", s.MaxTokens}, {"completion-tokens", s.CompletionTokens},
	} {
		faults.Require(n.v >= 0, n.place, "must not be negative")
	}
	d := s.WithDefaults()
	faults.Require(d.CompletionTokens <= d.MaxTokens, "completion-tokens", "must not exceed max-tokens")
}

func requireAddress(faults *dragonflysettings.Faults, place, addr string, minPort int) {
	host, port, err := net.SplitHostPort(addr)
	n, portErr := strconv.Atoi(port)
	ok := err == nil && portErr == nil && net.ParseIP(host) != nil && n >= minPort && n <= 65535
	faults.Require(ok, place, "must be an IP address and a port, not "+strconv.Quote(addr))
}

// WithDefaults returns the settings with the defaults in place of zeros.
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
