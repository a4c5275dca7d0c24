package dragonflywaitingroom_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/commands/dragonflywaitingroom"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflywaitingevent"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
	. "github.com/smartystreets/goconvey/convey"
)

// outage returns an outage from 1 s on of the given length, with estimates that are right.
func outage(lasts dragonflyduration.Duration) *load {
	l := &load{
		room: dragonflywaitingroom.New(16<<20, 1<<63), kinds: kinds, groups: 3, entries: 1,
		to: 1000*ms + lasts, down: 1000 * ms, back: 1000*ms + lasts,
	}
	l.returns = func(now dragonflyduration.Duration) dragonflyduration.Duration { return l.back - now }
	return l
}

// assertServed asserts the least share of the requests of each streaming kind that are
// served, and that of calls, for which control has no estimate.
func assertServed(l *load, least, leastCalls float64) {
	for _, k := range l.kinds {
		least := least
		if k.model == "" {
			least = leastCalls
		}
		if got := l.served(k.name); got < least {
			So(fmt.Sprintf("%s: %.3f of %d served, %d lost", k.name, got, l.got[k.name].sent, l.got[k.name].lost), ShouldBeEmpty)
		}
	}
}

// assertPrompt asserts that no stream has waited to be refused.
func assertPrompt(l *load) {
	for _, k := range l.kinds {
		for _, d := range l.got[k.name].refusedAfter {
			if d > 0 && k.model != "" {
				So(fmt.Sprintf("%s: refused after %d ms", k.name, d.Milliseconds()), ShouldBeEmpty)
			}
		}
	}
}

// TestOutage guards against callers whose only retry is used up within an outage, and
// against requests that are held and then refused.
func TestOutage(t *testing.T) {
	Convey("In an outage of 3 s with right estimates nearly all requests are served", t, func() {
		l := outage(3000 * ms).play()
		assertServed(l, 0.95, 0.85)
		assertPrompt(l)
		So(l.room.Len(), ShouldEqual, 0)
		So(l.room.Bytes(), ShouldEqual, 0)
	})
	Convey("Without estimates the assumed return serves most of them", t, func() {
		l := outage(3000 * ms)
		l.returns = nil
		assertServed(l.play(), 0.8, 0.85)
	})
	Convey("A return that is late by a second refuses requests as soon as it is known", t, func() {
		l := outage(3000 * ms)
		l.returns = func(now dragonflyduration.Duration) dragonflyduration.Duration {
			if now < 3000*ms {
				return max(3000*ms-now, 0)
			}
			return l.back - now
		}
		l.play()
		assertServed(l, 0.85, 0.7)
		So(l.room.Len(), ShouldEqual, 0)
	})
	Convey("An outage that lasts longer than any caller waits refuses at once", t, func() {
		l := outage(12000 * ms)
		l.to = 3000 * ms
		l.play()
		assertPrompt(l)
		So(l.got["urgent"].served+l.got["urgent"].lost, ShouldEqual, l.got["urgent"].sent)
	})
	Convey("Without an estimate, nobody waits after 5 s", t, func() {
		l := outage(20000 * ms)
		l.returns, l.to = nil, 9000*ms
		l.play()
		So(l.lens[4000*ms/stepTime], ShouldBeGreaterThan, 0)
		So(l.lens[6100*ms/stepTime], ShouldEqual, 0)
		So(l.lens[8000*ms/stepTime], ShouldEqual, 0)
	})
}

// TestReturn guards against a returning group that gets all waiting requests at once.
func TestReturn(t *testing.T) {
	Convey("Groups get at most the work of half an objective at the return, shared by entries", t, func() {
		for _, entries := range []int{1, 6, 15} {
			l := outage(3000 * ms)
			l.entries, l.groups = entries, 1
			l.play()
			// Half of 250 ms, and half of the capacity in 100 ms.
			most := (125*ms/2 + 50*ms) / dragonflyduration.Duration(entries)
			So(l.releasedW["small"], ShouldBeBetweenOrEqual, 0, most+3*ms)
		}
	})
	Convey("Requests leave by rank for each model", t, func() {
		l := outage(3000 * ms)
		l.groups = 1
		l.play()
		rank := map[string]int{}
		for i, a := range l.order {
			if l.releases[i] > l.back+100*ms {
				break
			}
			So(a.request.Rank, ShouldBeGreaterThanOrEqualTo, rank[a.request.Model])
			rank[a.request.Model] = a.request.Rank
		}
		So(len(l.order), ShouldBeGreaterThan, 50)
	})
	Convey("Workspaces of a rank leave in turn", t, func() {
		l := outage(1500 * ms)
		few := kinds[0]
		few.rate = 60
		few.workspace = func(n int) string { return []string{"big", "big", "big", "big", "big", "big", "a", "b"}[n%8] }
		l.kinds, l.groups = []kind{few}, 1
		l.play()
		got, late := map[string]int{}, 0
		for _, a := range l.order {
			// Those that can still meet their objective have left before.
			if late < 15 && l.back-dragonflyduration.Duration(a.request.Began) > 300*ms {
				late++
				got[a.request.Workspace]++
			}
		}
		So(late, ShouldEqual, 15)
		So(l.back-dragonflyduration.Duration(l.order[0].request.Began), ShouldBeLessThan, 250*ms)
		So(got["a"], ShouldBeGreaterThanOrEqualTo, 4)
		So(got["b"], ShouldBeGreaterThanOrEqualTo, 4)
	})
	Convey("Those whose turn comes too late are refused at the return, not later", t, func() {
		l := outage(3000 * ms)
		l.kinds, l.groups, l.entries = []kind{kinds[0]}, 1, 6
		l.kinds[0].work = 60 * ms
		l.play()
		refused := 0
		for i, d := range l.got["urgent"].refusedAfter {
			if at := l.got["urgent"].refusedAt[i]; d > 0 && at >= l.back {
				So(at-l.back, ShouldBeLessThan, 300*ms)
				refused++
			}
		}
		So(refused, ShouldBeGreaterThan, 0)
		So(l.got["urgent"].served+l.got["urgent"].lost, ShouldEqual, l.got["urgent"].sent)
	})
}

// TestFlood guards against a workspace that takes the room from others, and against a room
// that holds more than it may.
func TestFlood(t *testing.T) {
	flood := kind{"flood", "small", 600, 0, 32 << 10, 3 * ms, kinds[0].route, func(int) string { return "big" }}
	Convey("A workspace that floods makes room for the others", t, func() {
		l := outage(2000 * ms)
		l.room = dragonflywaitingroom.New(8<<20, 1<<63)
		l.kinds, l.groups = append(append([]kind(nil), kinds...), flood), 12
		l.play()
		for _, k := range kinds {
			So(l.served(k.name), ShouldBeGreaterThan, 0.9)
		}
		So(l.mostBytes, ShouldBeLessThanOrEqualTo, 8<<20)
		So(l.mostLen, ShouldBeLessThanOrEqualTo, 512)
	})
	Convey("Without a flooding workspace the least urgent and largest leave first", t, func() {
		l := outage(2000 * ms)
		l.room = dragonflywaitingroom.New(2<<20, 1<<63)
		l.play()
		So(l.mostBytes, ShouldBeLessThanOrEqualTo, 2<<20)
		refused := func(name string) int { return len(l.got[name].refusedAfter) }
		So(refused("batch"), ShouldBeGreaterThan, 0)
		So(float64(refused("urgent"))/float64(l.got["urgent"].sent), ShouldBeLessThan, float64(refused("batch"))/float64(l.got["batch"].sent))
	})
}

// TestLargest guards against a room that makes place for one large request by refusing many
// small ones of the same workspace.
func TestLargest(t *testing.T) {
	Convey("The largest request of a workspace leaves first", t, func() {
		r, refused := dragonflywaitingroom.New(400<<10, 0), []uint64(nil)
		for i, size := range []int64{20 << 10, 200 << 10, 30 << 10, 150 << 10, 10 << 10} {
			q := dragonflywaitingrequest.Request{
				ID: uint64(i + 1), Unrouted: true, Workspace: "w", Size: size, Began: at(0), Until: at(1500 * ms), Deadline: at(6000 * ms),
			}
			next, verdicts := r.Step(at(0), dragonflywaitingevent.Event{Kind: dragonflywaitingevent.Arrived, Request: q})
			r = next
			for _, v := range verdicts {
				So(v.RetryAfter, ShouldBeGreaterThanOrEqualTo, 300*ms)
				refused = append(refused, v.ID)
			}
		}
		So(refused, ShouldResemble, []uint64{2})
	})
}
