package dragonflyintegration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
)

// inForceLimit is the time within which an accepted change must be in force on all
// instances.
const inForceLimit = 3 * time.Second

// streamInBackground starts callers that stream one answer after another until stop
// is called, which returns all their answers.
func streamInBackground(entries []string, callers, tokens int, name string) (stop func() []answer) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				// The context of the loop doesn't cancel a request: every answer is read to its end.
				a := stream(context.Background(), entries[i%len(entries)], fmt.Sprintf("%s %d/%d", name, i, n), tokens)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if !a.complete(tokens) {
					time.Sleep(50 * time.Millisecond)
				}
			}
		}()
	}
	return func() []answer {
		cancel()
		wg.Wait()
		return answers
	}
}

// assertCompleteOrRefused guards against answers that break off: each must be
// complete, or refused with the outcome not-run and without a token. It returns
// the number of refused requests.
func assertCompleteOrRefused(answers []answer, tokens int) (refused int) {
	var incomplete []answer
	for _, a := range answers {
		switch {
		case a.complete(tokens):
		case a.outcome == "not-run" && a.tokens == 0:
			refused++
		default:
			incomplete = append(incomplete, a)
		}
	}
	So(incomplete, ShouldBeEmpty)
	return refused
}

// engineRecord is the record of the requests that a stand-in engine ran.
type engineRecord struct {
	Group, Fence uint64
	Runs         []struct {
		Request    string
		Group      uint64
		Tokens     int
		AcceptedAt int64 `json:"accepted-at"`
		LastAt     int64 `json:"last-at"`
	}
}

func getJSON(addr, path string, v any) error {
	res, err := client.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(v)
}

// acceptedAfter counts the requests that the engines of a zone accepted after at.
func (c *cluster) acceptedAfter(zone string, at time.Time) (n int) {
	for _, in := range c.instances {
		if in.zone != zone {
			continue
		}
		var r engineRecord
		So(getJSON(in.upstreamAddr, "/record", &r), ShouldBeNil)
		for _, run := range r.Runs {
			if run.AcceptedAt > at.UnixNano() {
				n++
			}
		}
	}
	return n
}

// head returns the head of a ready group of a zone.
func (c *cluster) head(zone string) *instance {
	table, err := c.table()
	So(err, ShouldBeNil)
	for _, r := range table.Routes {
		if r.Zone == zone && r.Service == "" && r.Ready {
			return c.instanceNamed(r.Instance)
		}
	}
	c.t.Fatalf("no group is ready in %s", zone)
	return nil
}

// member returns a member other than the head of the group that head returns.
func (c *cluster) member(zone string) *instance {
	head := c.head(zone)
	s, err := c.status()
	So(err, ShouldBeNil)
	for _, g := range s.Groups {
		if g.Members[0].Instance == head.name {
			return c.instanceNamed(g.Members[len(g.Members)-1].Instance)
		}
	}
	c.t.Fatalf("%s heads no group", head.name)
	return nil
}

func TestMemberFailures(t *testing.T) {
	const tokens = 40
	c := newCluster(t, options{entries: 2, spares: 1, tokenTime: "10ms"})
	// fail calls disrupt under load, checks all answers and waits until the groups
	// of both zones are ready again.
	fail := func(name string, disrupt func()) {
		stop := streamInBackground(c.entryAddrs, 12, tokens, name)
		time.Sleep(time.Second)
		disrupt()
		time.Sleep(3 * time.Second)
		answers := stop()
		So(len(answers), ShouldBeGreaterThan, 12)
		refused := assertCompleteOrRefused(answers, tokens)
		recovery := c.waitReady(2)
		t.Logf("%s: %d answers, %d refused, both groups are ready %v after the load ended", name, len(answers), refused, recovery)
	}
	Convey("No answer breaks off when a part of a group fails", t, func() {
		Convey("a member's agent is paused for less than the lease", func() {
			in := c.member("zona-b")
			fail("short pause", func() {
				in.agent.pause()
				time.Sleep(500 * time.Millisecond)
				in.agent.resume()
			})
		})
		Convey("the head's agent is paused for longer than the lease", func() {
			in := c.head("zona-a")
			fail("long pause of the head", func() {
				in.agent.pause()
				time.Sleep(2500 * time.Millisecond)
				in.agent.resume()
			})
		})
		Convey("a member's engine and agent are killed", func() {
			in := c.member("zona-a")
			fail("member death", func() {
				in.upstream.kill()
				in.agent.kill()
			})
		})
		Convey("a head's agent is killed and restarts without its state", func() {
			in := c.head("zona-b")
			fail("head restart", func() {
				in.agent.kill()
				c.startAgent(in)
			})
		})
	})
}

func TestZoneLeavesAndReturns(t *testing.T) {
	const tokens = 40
	c := newCluster(t, options{entries: 2, groupsPerZone: 2, tokenTime: "10ms"})
	Convey("A zone is taken out of service and brought back under load", t, func() {
		stop := streamInBackground(c.entryAddrs, 12, tokens, "zone")
		time.Sleep(time.Second)
		c.propose(dragonflychange.Change{Kind: dragonflychange.SetZone, Zone: dragonflyzone.Zone{}.WithName("zona-a").WithOut(true)})
		out := time.Now()
		time.Sleep(inForceLimit + 2*time.Second)
		So(c.acceptedAfter("zona-a", out.Add(inForceLimit)), ShouldEqual, 0)
		c.propose(dragonflychange.Change{Kind: dragonflychange.SetZone, Zone: dragonflyzone.Zone{}.WithName("zona-a")})
		back := time.Now()
		returned := c.waitReady(4)
		eventually(t, inForceLimit, "the engines of the zone accept requests again", func() bool { return c.acceptedAfter("zona-a", back) > 0 })
		answers := stop()
		refused := assertCompleteOrRefused(answers, tokens)
		t.Logf("%d answers, %d refused, all groups are ready %v after the return", len(answers), refused, returned)
	})
}

func TestControlFailures(t *testing.T) {
	const tokens = 20
	c := newCluster(t, options{controls: 3, entries: 2})
	// Control knows that the groups are ready before the entries do, which ask once a second.
	// An entry that does not serve yet gets its first routes from the next leader.
	eventually(t, inForceLimit, "both entries serve", func() bool {
		for _, a := range streamMany(c.entryAddrs, 2, tokens, "before the failures") {
			if !a.complete(tokens) {
				return false
			}
		}
		return true
	})
	Convey("Serving continues when control instances fail under load", t, func() {
		Convey("the leader is killed: serving continues and changes are accepted again", func() {
			s, err := c.status()
			So(err, ShouldBeNil)
			var leader int
			_, err = fmt.Sscanf(s.Leader, "control-%d", &leader)
			So(err, ShouldBeNil)
			stop := streamInBackground(c.entryAddrs, 8, tokens, "leader death")
			time.Sleep(500 * time.Millisecond)
			c.controls[leader-1].kill()
			begin := time.Now()
			c.propose(dragonflychange.Change{Kind: dragonflychange.SetZone, Zone: dragonflyzone.Zone{}.WithName("zona-c").WithOut(true)})
			t.Logf("a change was accepted %v after the leader was killed", time.Since(begin))
			time.Sleep(2 * time.Second)
			assertCompleteAnswers(stop(), tokens)

			version := c.version
			c.controls[leader-1] = c.startControl(leader - 1)
			eventually(t, 10*time.Second, "the restarted instance has the change", func() bool {
				// call asks the first address first, so that of the restarted instance
				// is moved there. If that call fails, another instance answers.
				c.controlAddrs[0], c.controlAddrs[leader-1] = c.controlAddrs[leader-1], c.controlAddrs[0]
				s, err := c.status()
				c.controlAddrs[0], c.controlAddrs[leader-1] = c.controlAddrs[leader-1], c.controlAddrs[0]
				return err == nil && s.Config.Version() >= version
			})
		})
		Convey("all instances are killed and restarted: groups persist and no accepted change is lost", func() {
			version := c.version
			before := c.groupIDs()
			for _, p := range c.controls {
				p.kill()
			}
			assertCompleteAnswers(streamMany(c.entryAddrs, 20, tokens, "without control"), tokens)
			for i := range c.controls {
				c.controls[i] = c.startControl(i)
			}
			eventually(t, 10*time.Second, "control answers", func() bool {
				s, err := c.status()
				return err == nil && s.Leader != "" && s.Config.Version() >= version
			})
			c.waitReady(2)
			So(c.groupIDs(), ShouldResemble, before)
			assertCompleteAnswers(streamMany(c.entryAddrs, 20, tokens, "with control again"), tokens)
		})
	})
}

func (c *cluster) groupIDs() map[uint64]bool {
	s, err := c.status()
	So(err, ShouldBeNil)
	ids := map[uint64]bool{}
	for _, g := range s.Groups {
		ids[g.ID] = true
	}
	return ids
}

func TestGracefulShutdown(t *testing.T) {
	const tokens = 100
	c := newCluster(t, options{entries: 2, tokenTime: "10ms"})
	Convey("A graceful shutdown interrupts no request in progress", t, func() {
		Convey("of a head's agent", func() {
			in := c.head("zona-a")
			stop := streamInBackground(c.entryAddrs, 8, tokens, "agent shutdown")
			time.Sleep(500 * time.Millisecond)
			So(in.agent.terminate(20*time.Second), ShouldBeTrue)
			assertCompleteOrRefused(stop(), tokens)
			c.startAgent(in)
			c.waitReady(2)
		})
		Convey("of an entry", func() {
			answers := make(chan []answer, 1)
			go func() { answers <- streamMany(c.entryAddrs[:1], 8, tokens, "entry shutdown") }()
			time.Sleep(500 * time.Millisecond)
			So(c.entries[0].terminate(20*time.Second), ShouldBeTrue)
			assertCompleteAnswers(<-answers, tokens)
		})
	})
}

func TestAtMostOnce(t *testing.T) {
	c := newCluster(t, options{entries: 2, service: true})
	Convey("A reservation runs only once although its entry is killed and it is retried", t, func() {
		const calls = 30
		var wg sync.WaitGroup
		statuses := make([]int, calls)
		for i := range calls {
			wg.Add(1)
			go func() {
				defer wg.Done()
				key := [2]string{"Idempotency-Key", fmt.Sprintf("reservation-%d", i)}
				body := fmt.Sprintf(`{"metres":%d}`, i+1)
				for attempt := range 40 {
					status, err := post(c.entryAddrs[attempt%2], "/services/orders/reserve", body, key)
					if err == nil && status == http.StatusOK {
						statuses[i] = status
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			}()
			if i == calls/2 {
				c.entries[0].kill()
			}
		}
		wg.Wait()
		var record struct {
			ByBody map[string]int `json:"runs-by-body"`
		}
		So(getJSON(c.instanceNamed("orders-1").upstreamAddr, "/record", &record), ShouldBeNil)
		for body, n := range record.ByBody {
			So(fmt.Sprintf("%s: %d", body, n), ShouldEqual, body+": 1")
		}
		answered := 0
		for _, s := range statuses {
			if s == http.StatusOK {
				answered++
			}
		}
		// The outcome of a call that was running when its entry was killed may stay
		// unknown.
		So(answered, ShouldBeGreaterThanOrEqualTo, calls/2)
		So(len(record.ByBody), ShouldBeGreaterThanOrEqualTo, answered)
	})
}
