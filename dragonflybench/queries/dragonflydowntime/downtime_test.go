package dragonflydowntime_test

import (
	"testing"

	"dragonflyrelay.example/dragonflybench/queries/dragonflydowntime"
	"dragonflyrelay.example/dragonflybench/values/dragonflygroupsample"
	"dragonflyrelay.example/dragonflybench/values/dragonflygrouptrial"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

const second = int64(dragonflyduration.Second)

// sampleAt returns a sample at s seconds. Of the groups 1 (a, b), 2 (c, d) and 3 (b, e) it
// has those in recorded; those in ready can serve.
func sampleAt(s int64, recorded, ready []uint64) dragonflygroupsample.Sample {
	all := map[uint64][]string{1: {"a", "b"}, 2: {"c", "d"}, 3: {"b", "e"}}
	out := dragonflygroupsample.Sample{At: s * second, Members: map[uint64][]string{}, Ready: map[uint64]bool{}}
	for _, g := range recorded {
		out.Members[g] = all[g]
	}
	for _, g := range ready {
		out.Ready[g] = true
	}
	return out
}

// assertTrial checks the trial in which instance a is lost at one second. It guards
// against times that are reported too short.
func assertTrial(want dragonflygrouptrial.Trial, samples ...dragonflygroupsample.Sample) {
	f := dragonflydowntime.Fault{Scenario: "s", At: second, Lost: []string{"a"}, Instances: 5, LoadTime: dragonflyduration.Second / 2}
	want.Scenario, want.LoadTime, want.Groups = "s", dragonflyduration.Second/2, 1
	So(dragonflydowntime.Trial(f, samples), ShouldResemble, want)
}

func TestTrial(t *testing.T) {
	both := []uint64{1, 2}
	Convey("Downtime runs from the fault to the repair, and the survivor is stranded until then", t, func() {
		assertTrial(dragonflygrouptrial.Trial{
			Detected: true, Detection: 2 * dragonflyduration.Second,
			Decided: true, Decision: dragonflyduration.Second,
			Repaired: true, Downtime: 4*dragonflyduration.Second + dragonflyduration.Second/2,
			Stranded: 5, Observed: 6 * dragonflyduration.Second,
		}, sampleAt(0, both, both), sampleAt(2, both, both), sampleAt(3, both, []uint64{2}), sampleAt(4, []uint64{2}, []uint64{2}),
			sampleAt(5, []uint64{2, 3}, []uint64{2}), sampleAt(6, []uint64{2, 3}, []uint64{2, 3}), sampleAt(7, []uint64{2, 3}, []uint64{2, 3}))
	})
	Convey("A group with a lost member does not count as repaired while control still lists it as ready", t, func() {
		assertTrial(dragonflygrouptrial.Trial{Stranded: 2, Observed: 2 * dragonflyduration.Second},
			sampleAt(0, both, both), sampleAt(2, both, both), sampleAt(3, both, both))
	})
}
