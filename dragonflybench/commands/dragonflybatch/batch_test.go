package dragonflybatch_test

import (
	"fmt"
	"strings"
	"testing"

	"dragonflyrelay.example/dragonflybench/commands/dragonflybatch"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyprefix"
	"dragonflyrelay.example/dragonflybench/values/dragonflybatchsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineaction"
	"dragonflyrelay.example/dragonflybench/values/dragonflyengineevent"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const ms = dragonflyduration.Millisecond

var settings = dragonflybatchsettings.Settings{
	MaxBatch: 4, QueueLimit: 8, TokenTime: 10 * ms, TokenTimePerRequest: 1 * ms,
	PrefillPerBlock: 50 * ms, CacheBlocks: 6, ColdLimit: 2, ColdFactor: 2, CollapseFactor: 10,
}

// driver steps a batch on a simulated clock and collects the actions.
type driver struct {
	b    dragonflybatch.Batch
	now  dragonflyinstant.Instant
	acts []dragonflyengineaction.Action
	at   []dragonflyinstant.Instant
}

func newDriver(cfg dragonflybatchsettings.Settings) *driver {
	return &driver{b: dragonflybatch.New(cfg), now: dragonflyinstant.Instant(dragonflyduration.Second)}
}

func (d *driver) step(ev dragonflyengineevent.Event) {
	var acts []dragonflyengineaction.Action
	d.b, acts = d.b.Step(d.now, ev)
	for _, a := range acts {
		d.acts, d.at = append(d.acts, a), append(d.at, d.now)
	}
}

func (d *driver) arrive(id string, tokens, priority int, prompt string) {
	d.step(dragonflyengineevent.Event{Kind: dragonflyengineevent.Arrive, ID: id, Prompt: prompt, MaxTokens: tokens, Priority: priority})
}

// run ticks at each due time until the batch is empty or n ticks have passed.
func (d *driver) run(n int) {
	for range n {
		if d.b.Due() == 0 {
			return
		}
		d.now = d.b.Due()
		d.step(dragonflyengineevent.Event{Kind: dragonflyengineevent.Tick})
	}
}

// firstToken returns the time from the start of the driver to the first token of
// id, -1 if there is none.
func (d *driver) firstToken(id string) dragonflyduration.Duration {
	for i, a := range d.acts {
		if a.Kind == dragonflyengineaction.Token && a.ID == id {
			return d.at[i].Sub(dragonflyinstant.Instant(dragonflyduration.Second))
		}
	}
	return -1
}

func (d *driver) count(match func(a dragonflyengineaction.Action) bool) int {
	n := 0
	for _, a := range d.acts {
		if match(a) {
			n++
		}
	}
	return n
}

// assertFirstTokens asserts that the first tokens of ids are emitted in this order.
func assertFirstTokens(d *driver, ids ...string) {
	for i := 1; i < len(ids); i++ {
		So(d.firstToken(ids[i-1]), ShouldBeLessThan, d.firstToken(ids[i]))
	}
}

func TestBatch(t *testing.T) {
	Convey("An iteration takes longer with more requests, and a full batch queues further ones", t, func() {
		one, five := newDriver(settings), newDriver(settings)
		one.arrive("a", 3, 0, "")
		one.run(100)
		So(one.firstToken("a"), ShouldEqual, 11*ms)
		for i := range 5 {
			five.arrive(fmt.Sprint(i), 3, 0, "")
		}
		five.run(1)
		So(five.b.Load(five.now.Add(dragonflyduration.Minute)).Queued, ShouldEqual, 1)
		five.run(1)
		So(five.now.Sub(dragonflyinstant.Instant(dragonflyduration.Second)), ShouldEqual, (11+14)*ms)
		five.run(100)
		So(five.firstToken("4"), ShouldEqual, (11+14+14+14)*ms)
	})
	Convey("A request that finds the queue full is refused and does not run", t, func() {
		d := newDriver(settings)
		for i := range 14 {
			d.arrive(fmt.Sprint(i), 1, 0, "")
		}
		d.run(100)
		refused := d.count(func(a dragonflyengineaction.Action) bool { return a.Reason == dragonflyengineaction.ReasonQueueFull })
		finished := d.count(func(a dragonflyengineaction.Action) bool { return a.Kind == dragonflyengineaction.Finish })
		So(refused, ShouldBeGreaterThan, 0)
		So(refused+finished, ShouldEqual, 14)
	})
	Convey("A request with a lower priority number starts first", t, func() {
		d := newDriver(settings)
		for i := range 4 {
			d.arrive(fmt.Sprint("running", i), 5, 9, "")
		}
		d.run(1)
		d.arrive("low", 5, 2, "")
		d.arrive("high", 5, 0, "")
		d.arrive("middle", 5, 1, "")
		d.arrive("low2", 5, 2, "")
		d.arrive("late", 5, 3, "")
		d.run(100)
		So(d.firstToken("high"), ShouldBeLessThanOrEqualTo, d.firstToken("low"))
		assertFirstTokens(d, "running0", "high", "late")
	})
	Convey("A cached prefix shortens the time to the first token, and the cache is bounded", t, func() {
		prompt := strings.Repeat("x", 4*dragonflyprefix.BlockBytes)
		d := newDriver(settings)
		d.arrive("cold", 1, 0, prompt)
		d.run(100)
		So(d.firstToken("cold"), ShouldBeGreaterThan, 200*ms)
		begin := d.now
		d.arrive("warm", 1, 0, prompt)
		d.run(100)
		So(d.now.Sub(begin), ShouldEqual, 11*ms)
		d.arrive("evicts", 1, 0, strings.Repeat("y", 6*dragonflyprefix.BlockBytes))
		So(d.b.CachedBlocks(dragonflyprefix.Blocks(prompt)), ShouldEqual, 0)
	})
	Convey("A resumed request continues after its delivered tokens", t, func() {
		d := newDriver(settings)
		d.step(dragonflyengineevent.Event{Kind: dragonflyengineevent.Arrive, ID: "r", MaxTokens: 5, Delivered: make([]string, 3)})
		d.run(100)
		So(d.acts[1].Index, ShouldEqual, 3)
		So(d.acts[len(d.acts)-1], ShouldResemble, dragonflyengineaction.Action{Kind: dragonflyengineaction.Finish, ID: "r", Index: 5})
	})
	Convey("A cancelled request emits no more tokens", t, func() {
		d := newDriver(settings)
		d.arrive("gone", 50, 0, "")
		d.run(2)
		d.step(dragonflyengineevent.Event{Kind: dragonflyengineevent.Cancel, ID: "gone"})
		d.run(100)
		So(d.b.InFlight(), ShouldEqual, 0)
		So(d.count(func(a dragonflyengineaction.Action) bool { return a.Kind == dragonflyengineaction.Token }), ShouldEqual, 2)
	})
	Convey("The reported load lags behind the actual load", t, func() {
		d := newDriver(settings)
		d.arrive("a", 500, 0, "")
		So(d.b.Load(d.now).InFlight, ShouldEqual, 0)
		So(d.b.Load(d.now.Add(dragonflyduration.Minute)).InFlight, ShouldEqual, 1)
	})
}

func TestColdBatch(t *testing.T) {
	cold := settings
	cold.WarmUpTokens = 20

	Convey("A cold engine is slower and warms up under a load within its cold limit", t, func() {
		d := newDriver(cold)
		d.arrive("a", 25, 0, "")
		d.arrive("b", 25, 0, "")
		d.run(1)
		So(d.firstToken("a"), ShouldEqual, 22*ms)
		d.run(10)
		So(d.b.Cold(), ShouldBeFalse)
	})
	Convey("A cold engine above its cold limit slows down sharply and does not warm up", t, func() {
		d := newDriver(cold)
		for i := range 3 {
			d.arrive(fmt.Sprint(i), 50, 0, "")
		}
		d.run(2)
		begin := d.now
		d.run(10)
		So(d.now.Sub(begin), ShouldEqual, 10*10*13*ms)
		So(d.b.Cold(), ShouldBeTrue)
		So(d.b.ColdPeak(), ShouldEqual, 3)
	})
	Convey("An engine that a fault makes cold warms up again", t, func() {
		d := newDriver(settings)
		d.step(dragonflyengineevent.Event{Kind: dragonflyengineevent.Fault, TurnCold: true})
		So(d.b.Cold(), ShouldBeTrue)
		d.arrive("a", 2000, 0, "")
		d.run(2000)
		So(d.b.Cold(), ShouldBeFalse)
	})
	Convey("A slow-down fault lengthens iterations by its factor", t, func() {
		d := newDriver(settings)
		d.step(dragonflyengineevent.Event{Kind: dragonflyengineevent.Fault, SlowPercent: 300})
		d.arrive("a", 1, 0, "")
		d.run(1)
		So(d.firstToken("a"), ShouldEqual, 33*ms)
	})
	Convey("Cache events are published with a lag and with gaps in their numbers", t, func() {
		gappy := settings
		gappy.CacheEventGap = 3
		d := newDriver(gappy)
		d.arrive("a", 1, 0, strings.Repeat("z", 5*dragonflyprefix.BlockBytes))
		numbers := func(now dragonflyinstant.Instant) (out []uint64) {
			d.b.CacheEvents(now, 1, func(n uint64, _ bool, _ uint64) { out = append(out, n) })
			return out
		}
		So(numbers(d.now), ShouldBeEmpty)
		So(numbers(d.now.Add(dragonflyduration.Second)), ShouldResemble, []uint64{2, 4, 5})
	})
}

func TestBatchRandomly(t *testing.T) {
	Convey("Under random load, each accepted request gets all its tokens once and in order", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			d := newDriver(settings)
			want := map[string]int{}
			for i := range rapid.IntRange(1, 40).Draw(t, "events") {
				switch rapid.IntRange(0, 2).Draw(t, "event") {
				case 0:
					id, n := fmt.Sprint(i), rapid.IntRange(1, 9).Draw(t, "tokens")
					before := len(d.acts)
					d.arrive(id, n, rapid.IntRange(0, 3).Draw(t, "priority"), "")
					for _, a := range d.acts[before:] {
						if a.Kind == dragonflyengineaction.Accept {
							want[id] = n
						}
					}
				default:
					d.run(rapid.IntRange(0, 3).Draw(t, "ticks"))
				}
			}
			d.run(10_000)
			got := map[string]int{}
			for _, a := range d.acts {
				if a.Kind == dragonflyengineaction.Token && a.Index != got[a.ID] {
					t.Fatalf("%s: token %d after %d", a.ID, a.Index, got[a.ID])
				} else if a.Kind == dragonflyengineaction.Token {
					got[a.ID]++
				}
			}
			for id, n := range want {
				if got[id] != n {
					t.Fatalf("%s: %d tokens of %d", id, got[id], n)
				}
			}
		})
	})
}
