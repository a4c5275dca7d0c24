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

// inForceLimit is the time within which an accepted change must hold everywhere.
const inForceLimit = 3 * time.Second

// streamInBackground keeps callers streaming until stop is called, which returns all
// their answers.
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
				// A request that has begun is always read to its end.
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

// assertCompleteOrRefused guards that every answer is whole or was truthfully refused
// before it ran, and returns how many were refused.
func assertCompleteOrRefused(answers []answer, tokens int) (refused int) {
	var broken []answer
	for _, a := range answers {
		switch {
		case a.complete(tokens):
		case a.outcome == "not-run" && a.tokens == 0:
			refused++
		default:
			broken = append(broken, a)
		}
	}
	So(broken, ShouldBeEmpty)
	return refused
}

// engineRecord is what a stand-in engine saw.
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

// acceptedAfter counts the requests that the engines of a zone took after at.
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

// head returns the instance that heads the group of a zone.
func (c *cluster) head(zone string) *instance {
	table, err := c.table()
	So(err, ShouldBeNil)
	for _, r := range table.Routes {
		if r.Zone == zone && r.Service == "" && r.Ready {
			return c.instanceNamed(r.Instance)
		}
	}
	c.t.Fatalf("no group serves in %s", zone)
	return nil
}

// member returns an instance of the zone's group that is not its head.
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
	// fail breaks an instance under load, guards the answers and waits until
	// both zones serve again.
	fail := func(what string, disrupt func()) {
		stop := streamInBackground(c.entryAddrs, 12, tokens, what)
		time.Sleep(time.Second)
		disrupt()
		time.Sleep(3 * time.Second)
		answers := stop()
		So(len(answers), ShouldBeGreaterThan, 12)
		refused := assertCompleteOrRefused(answers, tokens)
		mended := c.waitReady(2)
		t.Logf("%s: %d answers, %d refused, both groups serve %v after the load ended", what, len(answers), refused, mended)
	}
	Convey("No answer breaks when a part of a group fails", t, func() {
		Convey("a member's process is paused for less than the lease", func() {
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
		Convey("a member's engine and agent die", func() {
			in := c.member("zona-a")
			fail("member death", func() {
				in.upstream.kill()
				in.agent.kill()
			})
		})
		Convey("a head's agent dies and comes back without memory", func() {
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
	Convey("A zone leaves and returns under load", t, func() {
		stop := streamInBackground(c.entryAddrs, 12, tokens, "zone")
		time.Sleep(time.Second)
		c.propose(dragonflychange.Change{Kind: dragonflychange.SetZone, Zone: dragonflyzone.Zone{}.WithName("zona-a").WithOut(true)})
		out := time.Now()
		time.Sleep(inForceLimit + 2*time.Second)
		So(c.acceptedAfter("zona-a", out.Add(inForceLimit)), ShouldEqual, 0)
		c.propose(dragonflychange.Change{Kind: dragonflychange.SetZone, Zone: dragonflyzone.Zone{}.WithName("zona-a")})
		back := time.Now()
		returned := c.waitReady(4)
		eventually(t, inForceLimit, "work reaches the zone again", func() bool { return c.acceptedAfter("zona-a", back) > 0 })
		answers := stop()
		refused := assertCompleteOrRefused(answers, tokens)
		t.Logf("%d answers, %d refused, all groups serve %v after the return", len(answers), refused, returned)
	})
}

func TestControlFailures(t *testing.T) {
	const tokens = 20
	c := newCluster(t, options{controls: 3, entries: 2})
	Convey("Control fails under load", t, func() {
		Convey("the leader dies: serving goes on and changes are accepted again", func() {
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
			t.Logf("a change was accepted %v after the leader died", time.Since(begin))
			time.Sleep(2 * time.Second)
			assertCompleteAnswers(stop(), tokens)

			version := c.version
			c.controls[leader-1] = c.startControl(leader - 1)
			eventually(t, 10*time.Second, "the restarted instance has the change", func() bool {
				c.controlAddrs[0], c.controlAddrs[leader-1] = c.controlAddrs[leader-1], c.controlAddrs[0]
				s, err := c.status()
				c.controlAddrs[0], c.controlAddrs[leader-1] = c.controlAddrs[leader-1], c.controlAddrs[0]
				return err == nil && s.Config.Version() >= version
			})
		})
		Convey("all instances die and come back: groups live and nothing accepted is lost", func() {
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
	Convey("A graceful shutdown cuts no request in progress", t, func() {
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
	Convey("A reservation whose entry dies is not run twice", t, func() {
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
		// A call that was running when its entry died may stay unknown.
		So(answered, ShouldBeGreaterThanOrEqualTo, calls/2)
		So(len(record.ByBody), ShouldBeGreaterThanOrEqualTo, answered)
	})
}
