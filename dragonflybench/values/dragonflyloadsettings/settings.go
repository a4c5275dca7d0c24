// Package dragonflyloadsettings describes a load of completion requests.
package dragonflyloadsettings

import "dragonflyrelay.example/library/common/dragonflyduration"

// form tells what is called.
type form uint8

// Forms of calls.
const (
	// Entry calls the public API of an entry.
	Entry form = iota
	// Engine calls a stand-in engine directly.
	Engine
)

// share is a part of the load, in proportion to the sum of all weights.
type share struct {
	// Name names the workspace or class.
	Name string
	// Key is a workspace's bearer key.
	Key string
	// Weight is the part of the load.
	Weight float64
	// FirstToken and Gap are a class's targets, 0 for none.
	FirstToken, Gap dragonflyduration.Duration
	// Answered is the share of requests that must meet them, per mille.
	Answered int
}

// Settings describe a load. A zero field takes the default that WithDefaults states.
type Settings struct {
	// Base is the URL of the entry or engine, such as http://127.0.0.1:8080.
	Base string
	// Form tells which of them it is.
	Form form
	// Model is the model to ask for.
	Model string
	// Rate is the number of arrivals a second; they do not wait for answers.
	Rate float64
	// Duration is the time during which requests arrive.
	Duration dragonflyduration.Duration
	// Seed makes the load repeatable.
	Seed uint64
	// Workspaces and Classes divide the load.
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
	// Timeout bounds one request.
	Timeout dragonflyduration.Duration
	// Connections bounds the requests in progress; an arrival beyond it fails.
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
// second for 10 s, prompts of 400 bytes, answers of 60 tokens, 8 prefixes of 256
// bytes, one workspace, one class with the targets of the design page (0.41 s,
// 25 ms, 95 in 100), 30 s for a request and 1,024 in progress. Sigma stays.
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
