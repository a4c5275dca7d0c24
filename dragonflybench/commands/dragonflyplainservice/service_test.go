package dragonflyplainservice_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"dragonflyrelay.example/dragonflybench/commands/dragonflyplainservice"
	"dragonflyrelay.example/dragonflybench/values/dragonflyservicesettings"
	. "github.com/smartystreets/goconvey/convey"
)

type record struct {
	Calls     int            `json:"calls"`
	ByRequest map[string]int `json:"runs-by-request"`
	ByBody    map[string]int `json:"runs-by-body"`
}

func call(base, id, body string) int {
	req, _ := http.NewRequest(http.MethodPost, base+"/reserve", strings.NewReader(body))
	req.Header.Set("dragonfly-request-id", id)
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// assertRuns asserts the recorded number of runs of the request id, of all calls, and
// of distinct bodies.
func assertRuns(base, id string, runs, calls, bodies int) {
	res, err := http.Get(base + "/record")
	So(err, ShouldBeNil)
	defer func() { _ = res.Body.Close() }()
	var r record
	So(json.NewDecoder(res.Body).Decode(&r), ShouldBeNil)
	So(r.ByRequest[id], ShouldEqual, runs)
	So(r.Calls, ShouldEqual, calls)
	So(r.ByBody, ShouldHaveLength, bodies)
}

func TestPlainService(t *testing.T) {
	s := &dragonflyplainservice.PlainService{Settings: dragonflyservicesettings.Settings{Instance: "s", Service: "orders"}}
	addr, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	base := "http://" + addr

	Convey("Runs are counted by request id and by body", t, func() {
		So(call(base, "a", "one"), ShouldEqual, http.StatusOK)
		So(call(base, "a", "one"), ShouldEqual, http.StatusOK)
		So(call(base, "b", "two"), ShouldEqual, http.StatusOK)
		assertRuns(base, "a", 2, 3, 2)
	})
	Convey("A call that fails or whose answer is lost is counted as a run", t, func() {
		res, err := http.Post(base+"/faults", "", strings.NewReader(`{"fail-every":4,"drop-every":5}`))
		So(err, ShouldBeNil)
		_ = res.Body.Close()
		So(call(base, "fails", "x"), ShouldEqual, http.StatusInternalServerError)
		So(call(base, "drops", "x"), ShouldEqual, 0)
		assertRuns(base, "fails", 1, 5, 3)
		assertRuns(base, "drops", 1, 5, 3)
	})
}
