package dragonflyforwarder_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyfingerprint"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	. "github.com/smartystreets/goconvey/convey"
)

// quarantineControl records the reports of an entry and sends it a quarantine.
type quarantineControl struct {
	mu       sync.Mutex
	requests []dragonflyfollowrequest.Request
	parts    []dragonflyquarantinedpart.Part
	watched  []string
	revision uint64
}

func (c *quarantineControl) amend(q dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, q)
	n.QuarantineRevision = c.revision
	if q.QuarantineRevision != c.revision {
		n.HasQuarantine, n.Quarantine = true, c.parts
		n.HasWatched, n.Watched = true, c.watched
	}
}

// set changes the quarantine and waits until the entry has it.
func (c *quarantineControl) set(parts ...dragonflyquarantinedpart.Part) {
	c.mu.Lock()
	c.parts, c.revision = parts, c.revision+1
	revision := c.revision
	c.mu.Unlock()
	So(c.seen(func(q dragonflyfollowrequest.Request) bool { return q.QuarantineRevision == revision }), ShouldBeTrue)
}

// seen reports whether a request that satisfies f arrives within three seconds.
func (c *quarantineControl) seen(f func(q dragonflyfollowrequest.Request) bool) bool {
	for range 150 {
		c.mu.Lock()
		requests := c.requests
		c.mu.Unlock()
		for _, q := range requests {
			if f(q) {
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// send sends a stream request whose prompt has the given parts.
func (e *entry) send(parts string) (status int, retryAfter string) {
	r, err := http.NewRequest("POST", "http://"+e.addr+"/stream/x", nil)
	So(err, ShouldBeNil)
	r.Host = "h"
	r.Header.Set("X-Attempt-Id", "a1")
	r.Header.Set("Api-Key", "k1")
	r.Header.Set("X-Prompt-Prefix", parts)
	resp, err := http.DefaultClient.Do(r)
	So(err, ShouldBeNil)
	// An answer that is not read to its end is abandoned and counts for nothing. One that is
	// broken off is of no concern here.
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// TestPromptParts guards against entries that keep sending prompts which crash engines.
func TestPromptParts(t *testing.T) {
	dead := dragonflyquarantinedpart.Part{ID: "dead", Since: dragonflyduration.Second, ProbeIn: 15 * dragonflyduration.Second}

	Convey("An entry refuses a quarantined part without sending it, and serves other requests", t, func() {
		u, c := newUpstream(streamResponse(1, 3, true)), &quarantineControl{}
		e := newEntryWithControl(0, nil, c.amend, u.endpoint("i-1", "llm"))
		c.set(dead)
		status, retryAfter := e.send("a1:40,dead:10,e1:5")
		So(status, ShouldEqual, 503)
		So(retryAfter, ShouldStartWith, "1")
		So(u.requests(), ShouldBeEmpty)
		status, _ = e.send("a1:40,e1:5")
		So(status, ShouldEqual, 200)
		So(c.seen(func(q dragonflyfollowrequest.Request) bool {
			return len(q.Parts) == 1 && q.Parts[0].Wanted && len(q.Quarantine) == 1
		}), ShouldBeTrue)
	})
	Convey("An entry reports the parts and the fingerprint of a request that was lost before its answer, but not of one that was answered", t, func() {
		u, v, c := newUpstream(closeConnection), newUpstream(streamResponse(1, 3, true)), &quarantineControl{}
		e := newEntryWithControl(0, nil, c.amend, u.endpoint("i-1", "llm"), v.endpoint("i-2", "llm"))
		for range 4 {
			e.send("a1:40,dead:10,e1:5")
		}
		So(c.seen(func(q dragonflyfollowrequest.Request) bool {
			return len(q.Losses) == 1 && q.Losses[0].ID == "i-1" && len(q.Losses[0].Parts) == 3 &&
				dragonflyfingerprint.Is(q.Losses[0].Parts[2].ID)
		}), ShouldBeTrue)
		So(c.seen(func(q dragonflyfollowrequest.Request) bool {
			return len(q.Losses) > 1 || len(q.Losses) == 1 && q.Losses[0].ID != "i-1"
		}), ShouldBeFalse)
	})
	Convey("An entry reports an answer to a key of a crash that control asks for, once", t, func() {
		u, c := newUpstream(streamResponse(1, 3, true)), &quarantineControl{watched: []string{"b1"}}
		e := newEntryWithControl(0, nil, c.amend, u.endpoint("i-1", "llm"))
		c.set()
		for range 3 {
			status, _ := e.send("a1:40,b1:10,e1:5")
			So(status, ShouldEqual, 200)
		}
		reports := func(q dragonflyfollowrequest.Request) bool {
			return len(q.Parts) == 1 && q.Parts[0].ID == "b1" && q.Parts[0].Served
		}
		So(c.seen(reports), ShouldBeTrue)
		time.Sleep(1500 * time.Millisecond)
		c.mu.Lock()
		defer c.mu.Unlock()
		n := 0
		for _, q := range c.requests {
			if reports(q) {
				n++
			}
		}
		So(n, ShouldEqual, 1)
	})
	Convey("A probe is sent once, also if it is lost", t, func() {
		u, v, c := newUpstream(closeConnection), newUpstream(closeConnection), &quarantineControl{}
		e := newEntryWithControl(0, nil, c.amend, u.endpoint("i-1", "llm"), v.endpoint("i-2", "llm"))
		granted := dead
		granted.Grant, granted.GrantLeft = 3, 2*dragonflyduration.Second
		c.set(granted)
		for range 3 {
			e.send("a1:40,dead:10,e1:5")
		}
		So(len(u.requests())+len(v.requests()), ShouldEqual, 1)
	})
	Convey("The answer to a probe is reported", t, func() {
		u, c := newUpstream(streamResponse(1, 3, true)), &quarantineControl{}
		e := newEntryWithControl(0, nil, c.amend, u.endpoint("i-1", "llm"))
		granted := dead
		granted.Grant, granted.GrantLeft = 3, 2*dragonflyduration.Second
		c.set(granted)
		status, _ := e.send("a1:40,dead:10,e1:5")
		So(status, ShouldEqual, 200)
		So(c.seen(func(q dragonflyfollowrequest.Request) bool { return len(q.Parts) == 1 && q.Parts[0].Served }), ShouldBeTrue)
	})
}
