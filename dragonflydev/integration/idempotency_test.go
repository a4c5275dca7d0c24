package dragonflyintegration_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// postBid makes a call with an idempotency key and returns its status, outcome and
// request id. Status 0 means that the entry did not answer.
func postBid(addr, key string) (status int, outcome, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/services/orders/bids", strings.NewReader(key))
	if err != nil {
		return 0, "", ""
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set("Idempotency-Key", key)
	res, err := client.Do(req)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header.Get("dragonfly-outcome"), res.Header.Get("dragonfly-request-id")
}

// serviceRecord counts how often the stand-in service has run each request.
type serviceRecord struct {
	ByRequest map[string]int `json:"runs-by-request"`
	ByBody    map[string]int `json:"runs-by-body"`
}

// TestIdempotencyKeys guards against a call that runs twice, or runs although its
// caller received the outcome not-run, while the service breaks connections, a
// control instance is killed and an entry is killed.
func TestIdempotencyKeys(t *testing.T) {
	c := newCluster(t, options{zones: []string{"zona-a"}, controls: 3, entries: 2, service: true})
	service := "http://" + c.instanceNamed("orders-1").upstreamAddr
	status, _, _ := postBid(c.entryAddrs[0], "warm-up")
	for ; status != http.StatusOK; status, _, _ = postBid(c.entryAddrs[0], "warm-up") {
		time.Sleep(50 * time.Millisecond)
	}
	res, err := http.Post(service+"/faults", "application/json", strings.NewReader(`{"delay-ms":20,"drop-every":7}`))
	if err != nil || res.Body.Close() != nil || res.StatusCode != http.StatusOK {
		t.Fatal("the service does not accept injected faults")
	}
	Convey("Calls with idempotency keys run at most once, and none runs whose outcome is not-run", t, func() {
		var mu sync.Mutex
		outcomes, notRun := map[string]int{}, []string{}
		var wg sync.WaitGroup
		for caller := range 10 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range 30 {
					for attempt := range 6 {
						status, outcome, id := postBid(c.entryAddrs[(caller+attempt)%2], fmt.Sprintf("bid-%d-%d", caller, i))
						mu.Lock()
						outcomes[fmt.Sprintf("%d %s", status, outcome)]++
						if outcome == "not-run" {
							notRun = append(notRun, id)
						}
						mu.Unlock()
						if status == http.StatusOK {
							break
						}
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
		time.Sleep(time.Second)
		c.controls[0].kill()
		time.Sleep(time.Second)
		c.entries[0].kill()
		wg.Wait()
		res, err := http.Get(service + "/record")
		So(err, ShouldBeNil)
		defer func() { _ = res.Body.Close() }()
		var r serviceRecord
		So(json.NewDecoder(res.Body).Decode(&r), ShouldBeNil)
		t.Logf("outcomes %v, bodies run %d", outcomes, len(r.ByBody))
		for body, n := range r.ByBody {
			So(fmt.Sprint(body, " ran ", n), ShouldEqual, fmt.Sprint(body, " ran 1"))
		}
		for _, id := range notRun {
			So(r.ByRequest[id], ShouldEqual, 0)
		}
		So(outcomes["200 "], ShouldBeGreaterThan, 100)
		So(outcomes["502 unknown"], ShouldBeGreaterThan, 0)
	})
}
