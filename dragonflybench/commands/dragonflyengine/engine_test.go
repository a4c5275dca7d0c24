package dragonflyengine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflyengine"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyexpectation"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginesettings"
	. "github.com/smartystreets/goconvey/convey"
)

const loadTime = 20_000_000 // ns; short to keep the tests fast

// start runs an engine until stop is called or the test ends.
func start(t *testing.T, s dragonflyenginesettings.Settings) (base string, stop func()) {
	t.Helper()
	s.LoadTime = loadTime
	e := &dragonflyengine.Engine{Settings: s}
	addr, err := e.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	stop = func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		done <- nil
	}
	t.Cleanup(stop)
	return "http://" + addr, stop
}

func post(url, body string) (int, string) {
	res, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	raw, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(raw)
}

func orderJSON(kind string, group, fence uint64, rank int, ranks ...string) string {
	raw, _ := json.Marshal(map[string]any{
		"order": kind, "group": group, "fence": fence, "model": "m", "rank": rank, "ranks": ranks,
	})
	return string(raw)
}

func host(base string) string { return strings.TrimPrefix(base, "http://") }

// assertPostStatus asserts the status of the response to a POST and returns its
// body.
func assertPostStatus(url, body string, status int) string {
	got, answer := post(url, body)
	So(fmt.Sprint(got, " ", answer), ShouldStartWith, fmt.Sprint(status, " "))
	return answer
}

// assertReady asserts that the engine becomes ready for requests.
func assertReady(base string) {
	assertEventually(func() bool { return getStatus(base+"/readyz") == http.StatusOK })
}

func assertEventually(cond func() bool) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	So("the condition", ShouldEqual, "met within 5 s")
}

func getStatus(url string) int {
	res, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// assertAnswer asserts that answer consists of the tokens from to count-1 of prompt
// and the final event.
func assertAnswer(answer, prompt string, from, count int) {
	var want bytes.Buffer
	for i := from; i < count; i++ {
		fmt.Fprintf(&want, "data: {\"index\":%d,\"text\":%q}\n\n", i, dragonflyexpectation.Token(prompt, i))
	}
	fmt.Fprintf(&want, "data: {\"done\":true,\"count\":%d}\n\n", count)
	So(answer, ShouldEqual, want.String())
}

func TestEngineGroup(t *testing.T) {
	head, _ := start(t, dragonflyenginesettings.Settings{Instance: "head", ChecksFencing: true})
	other, stopOther := start(t, dragonflyenginesettings.Settings{Instance: "other"})
	ranks := []string{host(head), host(other)}
	request := `{"request-id":"%s","prompt":"lino","max-tokens":%d}`
	resume := `{"request-id":"rest","prompt":"lino","max-tokens":5,"resume-from":[%q,%q]}`

	Convey("An engine without a group refuses requests as not run", t, func() {
		answer := assertPostStatus(head+"/v1/completions", fmt.Sprintf(request, "early", 3), http.StatusServiceUnavailable)
		So(answer, ShouldContainSubstring, "not-run")
	})
	Convey("A head refuses requests while another rank has not joined", t, func() {
		assertPostStatus(head+"/orders", orderJSON("load", 7, 5, 0, ranks...), http.StatusOK)
		time.Sleep(2 * loadTime)
		assertPostStatus(head+"/v1/completions", fmt.Sprintf(request, "partial", 3), http.StatusServiceUnavailable)
	})
	Convey("A rank with another fencing number does not complete the group", t, func() {
		assertPostStatus(other+"/orders", orderJSON("load", 7, 4, 1, ranks...), http.StatusOK)
		time.Sleep(300 * time.Millisecond)
		assertPostStatus(head+"/v1/completions", fmt.Sprintf(request, "mixed", 3), http.StatusServiceUnavailable)
	})
	Convey("A complete group answers on its head only, and resumes an answer whose delivered tokens match", t, func() {
		assertPostStatus(other+"/orders", orderJSON("load", 7, 5, 1, ranks...), http.StatusOK)
		assertReady(head)
		assertAnswer(assertPostStatus(head+"/v1/completions", fmt.Sprintf(request, "whole", 5), http.StatusOK), "lino", 0, 5)
		assertAnswer(assertPostStatus(head+"/v1/completions", fmt.Sprintf(resume, dragonflyexpectation.Token("lino", 0), dragonflyexpectation.Token("lino", 1)), http.StatusOK), "lino", 2, 5)
		assertPostStatus(head+"/v1/completions", fmt.Sprintf(resume, dragonflyexpectation.Token("lino", 0), "other"), http.StatusBadRequest)
		assertPostStatus(other+"/v1/completions", fmt.Sprintf(request, "rank1", 3), http.StatusConflict)
	})
	Convey("An order with an old fencing number is refused only by an engine that checks fencing", t, func() {
		assertPostStatus(head+"/orders", orderJSON("load", 6, 4, 0, ranks...), http.StatusConflict)
		assertPostStatus(head+"/orders", orderJSON("load", 8, 5, 0, ranks...), http.StatusConflict)
		assertPostStatus(head+"/orders", orderJSON("load", 7, 5, 0, ranks...), http.StatusOK)
		assertPostStatus(other+"/orders", orderJSON("unload", 6, 4, 0), http.StatusOK)
		assertPostStatus(other+"/orders", orderJSON("load", 7, 5, 1, ranks...), http.StatusOK)
		assertReady(head)
	})
	Convey("A request is cancelled when its caller disconnects", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, head+"/v1/completions",
			strings.NewReader(fmt.Sprintf(request, "gone", 8000)))
		res, err := http.DefaultClient.Do(req)
		So(err, ShouldBeNil)
		cancel()
		_ = res.Body.Close()
		assertEventually(func() bool { return strings.Contains(getRecord(head), `"end":"cancelled"`) })
	})
	Convey("The head breaks off an answer when another rank stops", t, func() {
		res, err := http.Post(head+"/v1/completions", "", strings.NewReader(fmt.Sprintf(request, "broken", 8000)))
		So(err, ShouldBeNil)
		stopOther()
		raw, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		So(string(raw), ShouldNotContainSubstring, "done")
		So(getRecord(head), ShouldContainSubstring, `"end":"group-not-whole"`)
		assertPostStatus(head+"/v1/completions", fmt.Sprintf(request, "after", 3), http.StatusServiceUnavailable)
	})
}

func getRecord(base string) string {
	res, err := http.Get(base + "/record")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	raw, _ := io.ReadAll(res.Body)
	return string(raw)
}

func TestEngineFaults(t *testing.T) {
	base, _ := start(t, dragonflyenginesettings.Settings{Instance: "alone", Standalone: true})

	Convey("A refused order has no effect", t, func() {
		assertPostStatus(base+"/faults", `{"refuse-orders":true}`, http.StatusOK)
		assertPostStatus(base+"/orders", orderJSON("unload", 1, 2, 0), http.StatusServiceUnavailable)
		assertPostStatus(base+"/faults", `{"refuse-orders":false}`, http.StatusOK)
		So(getStatus(base+"/readyz"), ShouldEqual, http.StatusOK)
	})
	Convey("A frozen engine delays its responses until the freeze ends", t, func() {
		assertPostStatus(base+"/faults", `{"freeze-ms":300}`, http.StatusOK)
		time.Sleep(10 * time.Millisecond)
		begin := time.Now()
		So(getStatus(base+"/ping"), ShouldEqual, http.StatusOK)
		So(time.Since(begin), ShouldBeGreaterThan, 200*time.Millisecond)
	})
	Convey("Blocks exported by one engine are cached by an engine that imports them", t, func() {
		prompt := strings.Repeat("hilo y aguja ", 40)
		assertPostStatus(base+"/kv/export", fmt.Sprintf(`{"prompt":%q}`, prompt), http.StatusOK)
		assertPostStatus(base+"/v1/completions", fmt.Sprintf(`{"request-id":"fill","prompt":%q,"max-tokens":1}`, prompt), http.StatusOK)
		exported := assertPostStatus(base+"/kv/export", fmt.Sprintf(`{"prompt":%q}`, prompt), http.StatusOK)
		fresh, _ := start(t, dragonflyenginesettings.Settings{Instance: "fresh", Standalone: true})
		assertPostStatus(fresh+"/kv/import", exported, http.StatusOK)
		assertEventually(func() bool {
			_, again := post(fresh+"/kv/export", fmt.Sprintf(`{"prompt":%q}`, prompt))
			return again == exported && strings.Count(again, ",") == 7
		})
	})
	Convey("Invalid requests and orders are refused with status 400", t, func() {
		assertPostStatus(base+"/v1/completions", `{"prompt":"x","max-tokens":1}`, http.StatusBadRequest)
		assertPostStatus(base+"/v1/completions", `{"request-id":"b","prompt":"x","max-tokens":0}`, http.StatusBadRequest)
		assertPostStatus(base+"/orders", orderJSON("load", 1, 1, 3, "127.0.0.1:1"), http.StatusBadRequest)
	})
}
