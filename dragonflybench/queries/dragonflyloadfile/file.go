// Package dragonflyloadfile parses and validates the settings file of a load.
package dragonflyloadfile

import (
	"net"
	"net/url"

	"dragonflyrelay.example/dragonflybench/values/dragonflyloadsettings"
	"dragonflyrelay.example/library/common/dragonflysettings"
	"github.com/pkg/errors"
)

// DefaultSigma is the default spread of lengths, at which 1 in 100 is above about
// ten times the median.
const DefaultSigma = 1.0

type wireLoad struct {
	Base         string          `json:"base"`
	Form         string          `json:"form"`
	Model        string          `json:"model"`
	Rate         float64         `json:"rate"`
	Duration     string          `json:"duration"`
	Seed         uint64          `json:"seed"`
	Workspaces   []wireWorkspace `json:"workspaces"`
	Classes      []wireClass     `json:"classes"`
	PromptMedian int             `json:"prompt-median"`
	PromptMax    int             `json:"prompt-max"`
	AnswerMedian int             `json:"answer-median"`
	AnswerMax    int             `json:"answer-max"`
	Sigma        *float64        `json:"sigma"`
	Prefixes     int             `json:"prefixes"`
	PrefixBytes  int             `json:"prefix-bytes"`
	Timeout      string          `json:"timeout"`
	Connections  int             `json:"connections"`
}

type wireWorkspace struct {
	Name   string  `json:"name"`
	Key    string  `json:"key"`
	Weight float64 `json:"weight"`
}

type wireClass struct {
	Name       string  `json:"name"`
	Weight     float64 `json:"weight"`
	FirstToken string  `json:"first-token"`
	Gap        string  `json:"gap"`
	Answered   int     `json:"answered-per-mille"`
}

// Read parses the settings of a load, which are JSON with comments. The error lists
// every invalid setting.
func Read(raw []byte) (s dragonflyloadsettings.Settings, err error) {
	defer func() { err = errors.WithMessage(err, "load settings") }()
	var w wireLoad
	if err := dragonflysettings.Parse(raw, &w); err != nil {
		return s, err
	}
	var f dragonflysettings.Faults
	f.Require(w.Rate >= 0, "rate", "is negative")
	sigma := DefaultSigma
	if w.Sigma != nil {
		sigma = *w.Sigma
	}
	f.Require(sigma >= 0, "sigma", "is negative")
	for setting, n := range map[string]int{
		"prompt-median": w.PromptMedian, "prompt-max": w.PromptMax, "answer-median": w.AnswerMedian,
		"answer-max": w.AnswerMax, "prefixes": w.Prefixes, "prefix-bytes": w.PrefixBytes, "connections": w.Connections,
	} {
		f.Require(n >= 0, setting, "is negative")
	}
	s = dragonflyloadsettings.Settings{
		Base: w.Base, Model: w.Model, Rate: w.Rate, Seed: w.Seed, Sigma: sigma,
		Duration:     f.Duration("duration", w.Duration),
		Timeout:      f.Duration("timeout", w.Timeout),
		PromptMedian: w.PromptMedian, PromptMax: w.PromptMax,
		AnswerMedian: w.AnswerMedian, AnswerMax: w.AnswerMax,
		Prefixes: w.Prefixes, PrefixBytes: w.PrefixBytes, Connections: w.Connections,
	}
	s = shares(&f, s, w)
	s, err = WithForm(s, w.Form)
	f.Require(err == nil, "form", "is neither entry nor engine")
	if w.Base != "" {
		f.Require(CheckBase(w.Base) == nil, "base", "is not an http URL with a loopback IP")
	}
	return s, f.Err()
}

func shares(f *dragonflysettings.Faults, s dragonflyloadsettings.Settings, w wireLoad) dragonflyloadsettings.Settings {
	for _, x := range w.Workspaces {
		f.Require(x.Weight > 0, "workspaces."+x.Name+".weight", "is not above 0")
		s = s.WithWorkspace(x.Name, x.Key, x.Weight)
	}
	for _, x := range w.Classes {
		setting := "classes." + x.Name
		f.Require(x.Weight > 0, setting+".weight", "is not above 0")
		f.Require(x.Answered >= 0 && x.Answered <= 1000, setting+".answered-per-mille", "is not within 0 and 1000")
		s = s.WithClass(x.Name, x.Weight, f.Duration(setting+".first-token", x.FirstToken), f.Duration(setting+".gap", x.Gap), x.Answered)
	}
	return s
}

// WithForm returns s with the form of the given name; an empty name means an entry.
func WithForm(s dragonflyloadsettings.Settings, name string) (dragonflyloadsettings.Settings, error) {
	switch name {
	case "", "entry":
		s.Form = dragonflyloadsettings.Entry
	case "engine":
		s.Form = dragonflyloadsettings.Engine
	default:
		return s, errors.Errorf("form %q is neither entry nor engine", name)
	}
	return s, nil
}

// CheckBase returns an error unless base is an http URL with a loopback IP, so that
// a mistake in the settings cannot direct a load at another machine.
func CheckBase(base string) error {
	u, err := url.Parse(base)
	if err != nil {
		return err
	}
	ip := net.ParseIP(u.Hostname())
	if u.Scheme != "http" || ip == nil || !ip.IsLoopback() {
		return errors.Errorf("base %q is not an http URL with a loopback IP", base)
	}
	return nil
}
