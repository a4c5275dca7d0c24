// Package dragonflycompletion parses the JSON bodies of completion requests.
package dragonflycompletion

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Completion is a parsed completion request.
type Completion struct {
	// Chat is true if the request consists of chat messages.
	Chat bool
	// Model names the model.
	Model string
	// Prompt is the complete prompt, of chat messages as rendered by Template.
	Prompt string
	// MaxTokens bounds the tokens of the answer; 0 means that the request has no
	// bound.
	MaxTokens int
	// Stream requests events instead of one body.
	Stream bool
	// IncludeUsage requests a separate event with the token counts.
	IncludeUsage bool
}

// commonFields holds the fields that both kinds of requests share. Sampling
// parameters are accepted and ignored: the engine's defaults apply. Fields that
// change the form of the answer are refused, because ignoring them would give a
// wrong answer.
type commonFields struct {
	Model               string          `json:"model"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	Echo                bool            `json:"echo"`
	Suffix              string          `json:"suffix"`
	Stop                json.RawMessage `json:"stop"`
	Logprobs            json.RawMessage `json:"logprobs"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	ResponseFormat      json.RawMessage `json:"response_format"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type completionBody struct {
	commonFields
	Prompt json.RawMessage `json:"prompt"`
}

type chatBody struct {
	commonFields
	Messages []message `json:"messages"`
}

type message struct {
	Role    string          `json:"role"`
	Name    string          `json:"name"`
	Content json.RawMessage `json:"content"`
}

// ParseCompletion parses the body of a request to /v1/completions. Its errors are
// messages for the caller.
func ParseCompletion(raw []byte) (c Completion, err error) {
	var b completionBody
	if err := decode(raw, &b); err != nil {
		return c, err
	}
	if c, err = b.completion(); err != nil {
		return c, err
	}
	c.Prompt, err = parseText("prompt", b.Prompt)
	if err == nil && c.Prompt == "" {
		err = errors.New("prompt is missing or empty")
	}
	return c, err
}

// ParseChat parses the body of a request to /v1/chat/completions and renders its
// messages as a prompt (see Template). Its errors are messages for the caller.
func ParseChat(raw []byte) (c Completion, err error) {
	var b chatBody
	if err := decode(raw, &b); err != nil {
		return c, err
	}
	if c, err = b.completion(); err != nil {
		return c, err
	}
	c.Chat = true
	if len(b.Messages) == 0 {
		return c, errors.New("messages is missing or empty")
	}
	turns := make([][2]string, len(b.Messages))
	for i, m := range b.Messages {
		content, err := parseText("content", m.Content)
		if err != nil {
			return c, errors.WithMessagef(err, "message %d", i)
		}
		if !roles[m.Role] {
			return c, errors.Errorf("message %d: unknown role %q", i, m.Role)
		}
		turns[i] = [2]string{m.Role, content}
	}
	c.Prompt = Template(turns)
	return c, nil
}

var roles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true, "tool": true}

// Template renders pairs of role and content as a prompt: for each pair a line with
// the role between <| and |>, the content and a line break, and finally the line of
// the assistant role. "<|" in a content becomes "< |", so that a content cannot forge
// another turn. Equal messages give equal prompts, so that the prefix caches of the
// engines match them.
func Template(turns [][2]string) string {
	var b strings.Builder
	for _, t := range turns {
		b.WriteString("<|" + t[0] + "|>\n" + strings.ReplaceAll(t[1], "<|", "< |") + "\n")
	}
	b.WriteString("<|assistant|>\n")
	return b.String()
}

func decode(raw []byte, v any) (err error) {
	defer func() { err = errors.WithMessage(err, "body is not a valid JSON object") }()
	if !utf8.Valid(raw) {
		return errors.New("invalid UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("data after the object")
	}
	return nil
}

func (b commonFields) completion() (c Completion, err error) {
	if b.Model == "" {
		return c, errors.New("model is missing")
	}
	if (b.N != nil && *b.N != 1) || (b.BestOf != nil && *b.BestOf != 1) {
		return c, errors.New("only one answer per request is supported: n and best_of must be 1")
	}
	if b.Echo || b.Suffix != "" {
		return c, errors.New("echo and suffix are not supported")
	}
	for _, f := range []struct {
		name string
		raw  json.RawMessage
	}{{"stop", b.Stop}, {"logprobs", b.Logprobs}, {"tools", b.Tools}, {"functions", b.Functions}, {"response_format", b.ResponseFormat}} {
		if !isEmpty(f.raw) {
			return c, errors.Errorf("%s is not supported", f.name)
		}
	}
	c = Completion{Model: b.Model, Stream: b.Stream, IncludeUsage: b.StreamOptions != nil && b.StreamOptions.IncludeUsage}
	for _, n := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 {
			return c, errors.New("max_tokens must be at least 1")
		}
		c.MaxTokens = *n
	}
	return c, nil
}

// isEmpty reports whether an optional field is absent or has a value without effect.
func isEmpty(raw json.RawMessage) bool {
	switch string(bytes.TrimSpace(raw)) {
	case "", "null", "false", "[]", `""`, "{}", "0", `{"type":"text"}`:
		return true
	}
	return false
}

// parseText returns the text of the field name, whose JSON value is a string, a list
// with one string, or a list of text parts. It returns "" if the field is missing.
func parseText(name string, raw json.RawMessage) (s string, err error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	if json.Unmarshal(raw, &s) == nil {
		return s, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil || len(parts) == 0 {
		return "", errors.Errorf("%s must be a string or a list of text parts", name)
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errors.Errorf("%s has a part of type %q; only text is supported", name, p.Type)
		}
		s += p.Text
	}
	return s, nil
}
