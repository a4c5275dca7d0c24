package dragonflyintegration_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"dragonflyrelay.example/dragonflybench/queries/dragonflyexpectation"
	. "github.com/smartystreets/goconvey/convey"
)

// client has no limit on connections, so that callers never wait for one another.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// answer is the answer that one caller received.
type answer struct {
	status           int
	outcome          string // the dragonfly-outcome header
	tokens           int
	failure          string        // why the answer is not complete and correct, "" if it is
	timeToFirstToken time.Duration // from the request to the first token
	lastTokenAt      time.Time     // arrival of the last token
	maxGap           time.Duration // longest time between two tokens
}

func (a answer) complete(tokens int) bool { return a.failure == "" && a.tokens == tokens }

// streamedChunk holds the fields of an event that stream checks.
type streamedChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// stream requests a streamed completion and checks every token.
func stream(ctx context.Context, addr, prompt string, tokens int) (a answer) {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return answer{failure: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer{failure: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set("Content-Type", "application/json")
	begin := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return answer{failure: err.Error()}
	}
	defer func() { _ = res.Body.Close() }()
	a.status, a.outcome = res.StatusCode, res.Header.Get("dragonfly-outcome")
	if res.StatusCode != http.StatusOK {
		a.failure = fmt.Sprintf("status %d, outcome %s", a.status, a.outcome)
		return a
	}
	expect := dragonflyexpectation.New(prompt)
	done := false
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk streamedChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			a.failure = err.Error()
			return a
		}
		if chunk.Error != nil {
			a.failure = "error event: " + chunk.Error.Message
			return a
		}
		for _, c := range chunk.Choices {
			if c.Text == "" {
				continue
			}
			now := time.Now()
			if expect, err = expect.Check(c.Text); err != nil {
				a.failure = "wrong token: " + err.Error()
				return a
			}
			if a.tokens == 0 {
				a.timeToFirstToken = now.Sub(begin)
			} else {
				a.maxGap = max(a.maxGap, now.Sub(a.lastTokenAt))
			}
			a.lastTokenAt, a.tokens = now, expect.Count()
		}
	}
	switch {
	case !done:
		a.failure = "the stream ended without [DONE]"
	case a.tokens != tokens:
		a.failure = fmt.Sprintf("short: %d of %d tokens", a.tokens, tokens)
	}
	return a
}

// streamMany runs n callers spread over the entries and returns their answers.
func streamMany(entries []string, n, tokens int, name string) []answer {
	answers := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
			defer cancel()
			answers[i] = stream(ctx, entries[i%len(entries)], fmt.Sprintf("%s %d", name, i), tokens)
		}()
	}
	wg.Wait()
	return answers
}

// assertCompleteAnswers guards against answers that are incomplete, wrong or those
// of another caller.
func assertCompleteAnswers(answers []answer, tokens int) {
	failures := map[string]int{}
	for _, a := range answers {
		if !a.complete(tokens) {
			failures[fmt.Sprintf("%s (outcome %q, tokens %d)", a.failure, a.outcome, a.tokens)]++
		}
	}
	So(failures, ShouldBeEmpty)
}

// post calls a service through an entry and returns the HTTP status.
func post(addr, path, body string, headers ...[2]string) (status int, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	for _, h := range headers {
		req.Header.Set(h[0], h[1])
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode, nil
}
