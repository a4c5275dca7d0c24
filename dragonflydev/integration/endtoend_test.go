package dragonflyintegration_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// send makes a request to an entry and returns the status, body and header of the
// answer.
func send(method, url, key, body string, headers ...[2]string) (status int, answer string, header http.Header) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	So(err, ShouldBeNil)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for _, h := range headers {
		req.Header.Set(h[0], h[1])
	}
	res, err := client.Do(req)
	So(err, ShouldBeNil)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	So(err, ShouldBeNil)
	return res.StatusCode, string(raw), res.Header
}

// assertRefused guards that a refused request has the expected status, the common
// form of errors and the outcome not-run.
func assertRefused(status, want int, body string, header http.Header) {
	So(status, ShouldEqual, want)
	var e struct {
		Error struct{ Message, Type, Code string } `json:"error"`
	}
	So(json.Unmarshal([]byte(body), &e), ShouldBeNil)
	So(e.Error.Message, ShouldNotBeEmpty)
	So(header.Get("dragonfly-outcome"), ShouldEqual, "not-run")
}

// TestEndToEnd runs control, two entries and eight agents with engine ranks in
// two groups, and a plain service, as separate processes.
func TestEndToEnd(t *testing.T) {
	c := newCluster(t, options{groupSize: 4, entries: 2, service: true})
	Convey("All programs together serve requests", t, func() {
		Convey("200 concurrent streams are each complete, correct and those of their caller", func() {
			const streams, tokens = 200, 24
			assertCompleteAnswers(streamMany(c.entryAddrs, streams, tokens, "describe fabric"), tokens)
		})
		Convey("An answer that is not streamed is complete", func() {
			status, body, _ := send(http.MethodPost, "http://"+c.entryAddrs[0]+"/v1/chat/completions", workspaceKey,
				`{"model":"standin","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`)
			So(status, ShouldEqual, http.StatusOK)
			var r struct {
				Choices []struct {
					Message      struct{ Content string } `json:"message"`
					FinishReason string                   `json:"finish_reason"`
				} `json:"choices"`
				Usage struct {
					CompletionTokens int `json:"completion_tokens"`
				} `json:"usage"`
			}
			So(json.Unmarshal([]byte(body), &r), ShouldBeNil)
			So(r.Usage.CompletionTokens, ShouldEqual, 5)
			So(len(strings.Fields(r.Choices[0].Message.Content)), ShouldEqual, 5)
		})
		Convey("Invalid requests are refused with an error and do not run", func() {
			url := "http://" + c.entryAddrs[1] + "/v1/completions"
			status, body, header := send(http.MethodPost, url, "wrong", `{"model":"standin","prompt":"x"}`)
			assertRefused(status, http.StatusUnauthorized, body, header)
			status, body, header = send(http.MethodPost, url, workspaceKey, `{"model":`)
			assertRefused(status, http.StatusBadRequest, body, header)
			status, body, header = send(http.MethodPost, url, workspaceKey, `{"model":"unknown","prompt":"x"}`)
			assertRefused(status, http.StatusNotFound, body, header)
			status, body, header = send(http.MethodPost, "http://"+c.entryAddrs[1]+"/services/unknown/x", workspaceKey, "")
			assertRefused(status, http.StatusNotFound, body, header)
			status, body, header = send(http.MethodPost, url, workspaceKey, `{"model":"standin","prompt":"x"}`, [2]string{"dragonfly-class", "unknown"})
			assertRefused(status, http.StatusBadRequest, body, header)
		})
		Convey("A retried call with an idempotency key runs once and returns the stored answer", func() {
			url := "http://" + c.entryAddrs[0] + "/services/orders/reserve"
			key := [2]string{"Idempotency-Key", "wedding-suit-1"}
			status, first, _ := send(http.MethodPost, url, workspaceKey, `{"metres":3}`, key)
			So(status, ShouldEqual, http.StatusOK)
			status, second, _ := send(http.MethodPost, strings.Replace(url, c.entryAddrs[0], c.entryAddrs[1], 1), workspaceKey, `{"metres":3}`, key)
			So(status, ShouldEqual, http.StatusOK)
			So(second, ShouldEqual, first)
			status, _, _ = send(http.MethodPost, url, workspaceKey, `{"metres":4}`, key)
			So(status, ShouldEqual, http.StatusUnprocessableEntity)
		})
		Convey("Entries and control instances shut down gracefully", func() {
			for _, p := range append(c.entries, c.controls...) {
				So(p.terminate(20*time.Second), ShouldBeTrue)
			}
		})
	})
}
