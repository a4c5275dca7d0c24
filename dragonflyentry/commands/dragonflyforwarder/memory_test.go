package dragonflyforwarder_test

import (
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	. "github.com/smartystreets/goconvey/convey"
)

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// assertHeapGrowth checks that f leaves the live heap at most limit bytes larger.
func assertHeapGrowth(limit uint64, f func()) {
	before := heapBytes()
	f()
	So(heapBytes(), ShouldBeLessThan, before+limit)
}

// getModel sends a request that names the model and returns the status.
func getModel(client *http.Client, addr, model string) (status int, err error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/read/1", nil)
	if err != nil {
		return 0, err
	}
	r.Host = "h"
	r.Header.Set("Api-Key", "k1")
	r.Header.Set("X-Attempt-Id", fmt.Sprint("id-", time.Now().UnixNano()))
	r.Header.Set("X-Model", model)
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestKeptTexts guards against an entry whose memory grows with each new text that an upstream
// or a caller sends.
func TestKeptTexts(t *testing.T) {
	const requests, textBytes = 2000, 4 << 10
	Convey("Answers that are none", t, func() {
		var n atomic.Int64
		u := newUpstream(func(c net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(c, "%d%s\r\n\r\n", n.Add(1), strings.Repeat("x", textBytes))
			_ = c.Close()
		})
		e := newEntry(u.endpoint("a", "app"))
		assertHeapGrowth(requests*textBytes/2, func() {
			for i := range requests {
				_, _ = e.get(fmt.Sprint("/once/", i))
			}
		})
		So(len(expvar.Get("dragonfly-forward-refusals").String()), ShouldBeLessThan, 32<<10)
	})
	Convey("Models that no service has", t, func() {
		// A test upstream would keep the header of each request.
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Server-Seal", "seal")
		}))
		Reset(web.Close)
		a := dragonflyendpoint.Endpoint{ID: "a", Boot: 1, Address: web.Listener.Addr().String(), Service: "app", Slots: 8}
		share := func(s *dragonflyforwardsettings.Settings) { s.SecondSendRatio = 0.05 }
		e := newEntryWithSettings(share, 0, nil, nil, a)
		client := &http.Client{Transport: &http.Transport{}}
		assertHeapGrowth(requests*textBytes/2, func() {
			for i := range requests {
				// So keeps each of its results.
				if status, err := getModel(client, e.addr, fmt.Sprint(i, strings.Repeat("m", textBytes))); err != nil || status != http.StatusOK {
					So(fmt.Sprint(status, err), ShouldBeEmpty)
				}
			}
		})
	})
}
