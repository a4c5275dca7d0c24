// Package dragonflyreply builds the JSON bodies and events of responses to callers.
package dragonflyreply

import (
	"encoding/json"
	"strings"
)

// Reply builds the response to one completion request.
type Reply struct {
	// ID is the request id.
	ID string
	// Chat selects the form of /v1/chat/completions instead of /v1/completions.
	Chat bool
	// Model is the name of the model.
	Model string
	// Created is the time of the request, in Unix seconds.
	Created int64
	// Prompt and MaxTokens are those of the request.
	Prompt    string
	MaxTokens int
}

// Done is the data of the last event of a stream.
const Done = "[DONE]"

type body struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Full returns the body of an answer that is not streamed.
func (r Reply) Full(tokens []string) []byte {
	text := strings.Join(tokens, "")
	c := choice{FinishReason: r.finishReason(len(tokens))}
	if r.Chat {
		c.Message = &message{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	b := r.body("", c)
	b.Usage = r.usage(len(tokens))
	return encode(b)
}

// Chunk returns the data of the event for the token at index.
func (r Reply) Chunk(index int, token string) []byte {
	var c choice
	if r.Chat {
		c.Delta = &message{Content: &token}
		if index == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &token
	}
	return encode(r.body(".chunk", c))
}

// FinishChunk returns the data of the event with the finish reason and the usage of
// an answer of n tokens.
func (r Reply) FinishChunk(n int) []byte {
	c := choice{FinishReason: r.finishReason(n)}
	if r.Chat {
		c.Delta = &message{}
	} else {
		empty := ""
		c.Text = &empty
	}
	b := r.body(".chunk", c)
	b.Usage = r.usage(n)
	return encode(b)
}

// UsageChunk returns the data of the event with only the usage of an answer of n
// tokens, for callers that request it.
func (r Reply) UsageChunk(n int) []byte {
	b := r.body(".chunk")
	b.Usage = r.usage(n)
	return encode(b)
}

func (r Reply) body(suffix string, choices ...choice) body {
	b := body{Created: r.Created, Model: r.Model, Choices: choices}
	switch {
	case r.Chat:
		b.ID, b.Object = "chatcmpl-"+r.ID, "chat.completion"+suffix
	default:
		b.ID, b.Object = "cmpl-"+r.ID, "text_completion"
	}
	if choices == nil {
		b.Choices = []choice{}
	}
	return b
}

func (r Reply) finishReason(n int) *string {
	reason := "stop"
	if n >= r.MaxTokens {
		reason = "length"
	}
	return &reason
}

// usage returns the token counts of an answer of n tokens. It counts the words of
// the prompt, because the entry has no tokenizer and the engines do not report the
// count.
func (r Reply) usage(n int) *usage {
	p := len(strings.Fields(r.Prompt))
	return &usage{PromptTokens: p, CompletionTokens: n, TotalTokens: p + n}
}

// Error returns the body of an error. An outcome other than "" is included; it is
// for streams, whose headers have already been sent.
func Error(message, kind, code, outcome string) []byte {
	e := map[string]string{"message": message, "type": kind, "code": code}
	if outcome != "" {
		e["outcome"] = outcome
	}
	return encode(map[string]any{"error": e})
}

// Models returns the body of the response to /v1/models.
func Models(names []string) []byte {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := make([]model, len(names))
	for i, n := range names {
		list[i] = model{ID: n, Object: "model", OwnedBy: "dragonflyrelay"}
	}
	return encode(map[string]any{"object": "list", "data": list})
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // Strings and numbers can always be encoded.
	}
	return raw
}
