// Package dragonflyloadsettings holds the settings of a load of completion requests.
package dragonflyloadsettings

import "dragonflyrelay.example/library/common/dragonflyduration"

// form is the form of the API that is called.
type form uint8

// Forms of calls.
const (
	// Entry calls the public API of an entry.
	Entry form = iota
	// Engine calls a stand-in engine directly.
	Engine
)

// share is a workspace or class with its share of the load, which is its weight
// divided by the sum of all weights.
type share struct {
	// Name is the name of the workspace or class.
	Name string
	// Key is the bearer key of a workspace.
	Key string
	// Weight is the weight of this share.
	Weight float64
	// FirstToken and Gap are the targets of a class; 0 means none.
	FirstToken, Gap dragonflyduration.Duration
	// Answered is the share of requests that must meet the targets, per mille.
	Answered int
}

// Settings are the settings of a load. WithDefaults replaces zero fields by defaults.
type Settings struct {
	// Base is the URL of the entry or engine, such as http://127.0.0.1:8080.
	Base string
	// Form is Entry or Engine, whichever Base refers to.
	Form form
	// Model is the model to ask for.
	Model string
	// Rate is the number of arrivals a second. Arrivals do not wait for earlier
	// answers.
	Rate float64
	// Duration is the time during which requests arrive.
	Duration dragonflyduration.Duration
	// Seed is the seed of the random numbers, which makes the load reproducible.
	Seed uint64
	// Workspaces and Classes are those among which the load is divided.
	Workspaces, Classes []share
	// PromptMedian and PromptMax are lengths in bytes.
	PromptMedian, PromptMax int
	// AnswerMedian and AnswerMax are lengths in tokens.
	AnswerMedian, AnswerMax int
	// Sigma is the spread of the lengths, which are log-normal; 0 makes all
	// lengths equal to the median.
	Sigma float64
	// Prefixes is the number of shared prompt prefixes of each workspace, and
	// PrefixBytes their length.
	Prefixes, PrefixBytes int
	// Timeout is the timeout of one request.
	Timeout dragonflyduration.Duration
	// Connections is the maximum number of requests in progress; an arrival beyond
	// it fails.
	Connections int
}

// WithWorkspace returns s with one more workspace.
func (s Settings) WithWorkspace(name, key string, weight float64) Settings {
	s.Workspaces = append(s.Workspaces[:len(s.Workspaces):len(s.Workspaces)], share{Name: name, Key: key, Weight: weight})
	return s
}

// WithClass returns s with one more class.
func (s Settings) WithClass(name string, weight float64, firstToken, gap dragonflyduration.Duration, answered int) Settings {
	s.Classes = append(s.Classes[:len(s.Classes):len(s.Classes)], share{
		Name: name, Weight: weight, FirstToken: firstToken, Gap: gap, Answered: answered,
	})
	return s
}

// WithDefaults returns s with defaults in place of zero fields: 10 requests a
// second for 10 s, prompts of 400 bytes at the median and 16,384 at most, answers of
// 60 tokens at the median and 1,024 at most, 8 prefixes of 256 bytes, one workspace,
// one class with the targets of the design page (0.41 s, 25 ms, 95 in 100), 30 s for
// a request and 1,024 in progress. Sigma has no default here, because its 0 is a
// valid value.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Model, "standin")
	setDefault(&s.Rate, 10)
	setDefault(&s.Duration, 10*dragonflyduration.Second)
	setDefault(&s.PromptMedian, 400)
	setDefault(&s.PromptMax, 16_384)
	setDefault(&s.AnswerMedian, 60)
	setDefault(&s.AnswerMax, 1024)
	setDefault(&s.Prefixes, 8)
	setDefault(&s.PrefixBytes, 256)
	setDefault(&s.Timeout, 30*dragonflyduration.Second)
	setDefault(&s.Connections, 1024)
	if len(s.Workspaces) == 0 {
		s = s.WithWorkspace("default", "", 1)
	}
	if len(s.Classes) == 0 {
		s = s.WithClass("", 1, 410*dragonflyduration.Millisecond, 25*dragonflyduration.Millisecond, 950)
	}
	return s
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
