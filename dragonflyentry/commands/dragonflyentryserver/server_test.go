package dragonflyentryserver_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	events []event
}

type event struct{ kind, data string }

// text returns the concatenated texts of an answer, streamed or not.
func (r response) text() string {
	var b strings.Builder
	for _, raw := range append(r.eventData(), r.body) {
		var v struct {
			Choices []struct {
				Text    string
				Delta   struct{ Content string }
				Message struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(raw), &v) == nil && len(v.Choices) == 1 {
			b.WriteString(v.Choices[0].Text + v.Choices[0].Delta.Content + v.Choices[0].Message.Content)
		}
	}
	return b.String()
}

func (r response) eventData() (out []string) {
	for _, e := range r.events {
		out = append(out, e.data)
	}
	return out
}

func (r response) last() event {
	if len(r.events) == 0 {
		return event{}
	}
	return r.events[len(r.events)-1]
}

func send(req *http.Request) (r response, err error) {
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+bearer)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, err
	}
	defer func() { _ = res.Body.Close() }()
	r = response{status: res.StatusCode, header: res.Header}
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		raw, err := io.ReadAll(res.Body)
		r.body = string(raw)
		return r, err
	}
	kind := ""
	for sc := bufio.NewScanner(res.Body); sc.Scan(); {
		name, value, _ := strings.Cut(sc.Text(), ": ")
		switch name {
		case "event":
			kind = value
		case "data":
			r.events = append(r.events, event{kind, value})
			kind = ""
		}
	}
	return r, nil
}

func post(url, body string, headers ...string) response {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	r, err := send(req)
	if err != nil {
		return response{body: err.Error()}
	}
	return r
}

func completionBody(prompt string, n int, stream bool) string {
	return fmt.Sprintf(`{"model":"sarta","prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, n, stream)
}

// assertComplete checks that no token of the answer is lost, repeated or of another
// answer.
func assertComplete(r response, prompt string, n int) {
	So(r.status, ShouldEqual, 200)
	So(r.text(), ShouldEqual, completeText(prompt, n))
	if len(r.events) > 0 {
		So(r.last().data, ShouldEqual, "[DONE]")
		So(r.events[len(r.events)-2].data, ShouldContainSubstring, `"finish_reason":"length"`)
		So(r.events[len(r.events)-2].data, ShouldContainSubstring, fmt.Sprintf(`"completion_tokens":%d`, n))
	}
	So(r.header.Get("dragonfly-request-id"), ShouldHaveLength, 32)
}

// assertError checks the status, outcome and code of an error, and that it says when
// to retry if its status is 503 or 429.
func assertError(r response, status int, outcome, code string) {
	So(r.status, ShouldEqual, status)
	So(r.header.Get("dragonfly-outcome"), ShouldEqual, outcome)
	So(r.body, ShouldContainSubstring, `"code":"`+code+`"`)
	if status == 503 || status == 429 {
		So(r.header.Get("Retry-After"), ShouldNotBeEmpty)
	}
}

func TestCompletions(t *testing.T) {
	a := newAgent(t, nil)
	e := startEntry(t, nil, newControl(t, modelRoute(1, a), serviceRoute(1, a)))
	url := e.url + "/v1/completions"

	Convey("An answer is complete both as one body and as events", t, func() {
		assertComplete(post(url, completionBody("tela", 5, false)), "tela", 5)
		assertComplete(post(url, completionBody("tela", 5, true)), "tela", 5)
		chat := `{"model":"sarta","messages":[{"role":"user","content":"hola"}],"max_tokens":3,"stream":%v}`
		assertComplete(post(e.url+"/v1/chat/completions", fmt.Sprintf(chat, false)), "<|user|>\nhola\n<|assistant|>\n", 3)
		assertComplete(post(e.url+"/v1/chat/completions", fmt.Sprintf(chat, true)), "<|user|>\nhola\n<|assistant|>\n", 3)
	})
	Convey("A caller that requests the usage gets it in a separate event", t, func() {
		body := strings.Replace(completionBody("tela", 5, true), "{", `{"stream_options":{"include_usage":true},`, 1)
		r := post(url, body)
		So(r.events[len(r.events)-2].data, ShouldContainSubstring, `"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":5,"total_tokens":6}`)
		So(r.last().data, ShouldEqual, "[DONE]")
	})
	Convey("Concurrent callers each get their own answer", t, func() {
		replies := make([]response, 100)
		var wg sync.WaitGroup
		for i := range replies {
			wg.Add(1)
			go func() {
				defer wg.Done()
				replies[i] = post(url, completionBody(fmt.Sprint("prompt ", i), 20, i%2 == 0))
			}()
		}
		wg.Wait()
		for i, r := range replies {
			assertComplete(r, fmt.Sprint("prompt ", i), 20)
		}
	})
	Convey("Each kind of invalid request gets its own status and code", t, func() {
		body := completionBody("tela", 5, false)
		assertError(post(url, "{"), 400, "not-run", "invalid-body")
		assertError(post(url, strings.Replace(body, "sarta", "otra", 1)), 404, "not-run", "unknown-model")
		assertError(post(url, body, "Authorization", "Bearer x"), 401, "not-run", "unknown-key")
		assertError(post(url, body, "dragonfly-class", "x"), 400, "not-run", "unknown-class")
		assertError(post(e.url+"/services/x/y", body), 404, "not-run", "unknown-service")
		assertError(post(e.url+"/v1/x", body), 404, "not-run", "unknown-path")
		assertError(post(url, completionBody(strings.Repeat("x", 4<<20), 5, false)), 413, "not-run", "body-too-large")
	})
	Convey("The models are listed", t, func() {
		req, _ := http.NewRequest(http.MethodGet, e.url+"/v1/models", nil)
		r, err := send(req)
		So(err, ShouldBeNil)
		So(r.body, ShouldContainSubstring, `"id":"sarta"`)
	})
	Convey("A call reaches its service without the bearer key", t, func() {
		r := post(e.url+"/services/orders/cut?x=1", "seda", "call", "c1")
		So(r.status, ShouldEqual, 201)
		So(r.body, ShouldEqual, "done seda")
		So(a.runsOf("c1"), ShouldEqual, 1)
	})
}

// BenchmarkStream measures complete streams through an entry with an agent that
// answers without delay: 64 concurrent callers with 100 tokens each, and one caller
// with one token, whose time is the overhead of an entry on the first token.
func BenchmarkStream(b *testing.B) {
	a := newAgent(b, nil)
	e := startEntry(b, nil, newControl(b, modelRoute(1, a)))
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 64
	stream := func(b *testing.B, tokens int) {
		if r := post(e.url+"/v1/completions", completionBody("tela", tokens, true)); r.last().data != "[DONE]" {
			b.Errorf("%+v", r)
		}
	}
	b.Run("callers=64", func(b *testing.B) {
		b.SetParallelism(max(64/runtime.GOMAXPROCS(0), 1))
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				stream(b, 100)
			}
		})
		b.ReportMetric(float64(100*b.N)/b.Elapsed().Seconds(), "tokens/s")
	})
	b.Run("callers=1", func(b *testing.B) {
		for b.Loop() {
			stream(b, 1)
		}
	})
}
