package dragonflyupstreamjson

import (
	"encoding/json"
	"strings"

	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"github.com/pkg/errors"
)

// maxTokens is the maximum number of tokens of an answer, which bounds the queue of
// its tokens.
const maxTokens = 8192

type wireCompletion struct {
	RequestID  string   `json:"request-id"`
	Prompt     string   `json:"prompt"`
	MaxTokens  int      `json:"max-tokens"`
	Priority   int      `json:"priority"`
	ResumeFrom []string `json:"resume-from,omitempty"`
}

// MarshalCompletion returns the JSON form of a completion request.
func MarshalCompletion(ev dragonflyengineevent.Event) (raw []byte, err error) {
	defer func() { err = errors.WithMessage(err, "marshal completion") }()
	return json.Marshal(wireCompletion{ev.ID, ev.Prompt, ev.MaxTokens, ev.Priority, ev.Delivered})
}

// UnmarshalCompletion decodes and validates a completion request.
func UnmarshalCompletion(raw []byte) (ev dragonflyengineevent.Event, err error) {
	defer func() { err = errors.WithMessage(err, "read completion") }()
	var w wireCompletion
	if err := json.Unmarshal(raw, &w); err != nil {
		return ev, err
	}
	if w.RequestID == "" || strings.Contains(w.RequestID, " ") {
		return ev, errors.Errorf("request-id %q is empty or has a space", w.RequestID)
	}
	if w.MaxTokens < 1 || w.MaxTokens > maxTokens {
		return ev, errors.Errorf("max-tokens %d is not within 1 and %d", w.MaxTokens, maxTokens)
	}
	if len(w.ResumeFrom) > w.MaxTokens {
		return ev, errors.Errorf("resume-from has %d tokens, more than max-tokens", len(w.ResumeFrom))
	}
	return dragonflyengineevent.Event{
		Kind: dragonflyengineevent.Arrive, ID: w.RequestID, Prompt: w.Prompt,
		MaxTokens: w.MaxTokens, Priority: w.Priority, Delivered: w.ResumeFrom,
	}, nil
}
