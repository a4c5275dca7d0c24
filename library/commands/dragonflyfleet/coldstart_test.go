package dragonflyfleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflyengineprofile"
	"dragonflyrelay.example/library/values/dragonflyfleetevent"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
	. "github.com/smartystreets/goconvey/convey"
)

// newOutage returns a leading fleet after a full outage: 27 engines in each of three domains,
// whose hosts hold the weights of groups of 12 and of 6 engines.
func newOutage() *simulation {
	s := newSimulation(0)
	s.step(dragonflyfleetevent.Event{Kind: dragonflyfleetevent.DocumentReceived, Document: testDocument().WithVersion(2).
		WithService(dragonflydocumentservice.Service{Name: "llm", Engine: dragonflyengineprofile.EngineProfile{
			Slots: 48, LoadsPerSecond: 3, LoadsAtOnce: 6, FormTime: 3 * second / 10, Models: []dragonflymodelprofile.ModelProfile{
				{Name: "large", Size: 12, Share: 0.5, Pace: 1, Load: 16 * second, Warmup: 8 * second / 5},
				{Name: "small", Size: 6, Share: 0.5, Pace: 0.6, Load: 12 * second, Warmup: 11 * second / 10},
			},
		}})})
	for _, domain := range []string{"a", "b", "c"} {
		for i := range 27 {
			model := "small"
			if i < 13 {
				model = "large"
			}
			id := fmt.Sprintf("%s%02d", domain, i)
			s.engines = append(s.engines, &engine{loading: true, obs: dragonflyobservation.Observation{
				ID: id, Boot: 1000, Service: "llm", Address: "addr-" + id, Zone: domain, Domain: domain,
				State: dragonflyobservation.Ready, Slots: 48, Staged: []string{model},
			}})
		}
	}
	return s
}

// advanceFinding is advance for steps of 100 ms, in which the heartbeat of the engine i first
// arrives after found(i), and the agents report from the start.
func (s *simulation) advanceFinding(d dragonflyduration.Duration, found func(i int) dragonflyduration.Duration) {
	began := s.now
	for range int(d / (second / 10)) {
		for i, e := range s.engines {
			e.beatsLost = s.now.Sub(began)+second/10 < found(i)
		}
		s.advance(second / 10)
	}
}

// joined returns the number of groups that engines have joined, by model and domain, and
// whether a member of one lacks its weights.
func (s *simulation) joined() (groups map[string]map[string]int, loads int) {
	groups = map[string]map[string]int{"large": {}, "small": {}}
	for _, e := range s.engines {
		if e.obs.Group.State == dragonflyenginegroup.None || strings.HasPrefix(e.obs.Group.Name, "standby") {
			continue
		}
		if e.obs.Group.Rank == 0 {
			groups[e.obs.Model][e.obs.Domain]++
		}
		if !slices.Contains(e.obs.Staged, e.obs.Model) {
			loads++
		}
	}
	return groups, loads
}

// assertOutageGroups checks that each domain has one large group and two small ones, without
// a load from the store.
func assertOutageGroups(s *simulation) {
	groups, loads := s.joined()
	So(groups["large"], ShouldResemble, map[string]int{"a": 1, "b": 1, "c": 1})
	So(groups["small"], ShouldResemble, map[string]int{"a": 2, "b": 2, "c": 2})
	So(loads, ShouldEqual, 0)
}

// TestFullOutage guards against callers who are refused after a full outage while the leader
// waits for reports of groups that nobody is in.
func TestFullOutage(t *testing.T) {
	Convey("If all engines report at once, their groups are formed within 400 ms", t, func() {
		s := newOutage()
		s.advance(4 * second / 10)
		assertOutageGroups(s)
	})
	Convey("Upstreams that repeat a refused heartbeat within 0.9 s are all waited for", t, func() {
		s := newOutage()
		s.advanceFinding(9*second/10, func(i int) dragonflyduration.Duration { return dragonflyduration.Duration(i) * second / 90 })
		groups, _ := s.joined()
		So(len(groups["large"])+len(groups["small"]), ShouldEqual, 0)
		s.advance(3 * second / 10)
		assertOutageGroups(s)
	})
	Convey("An engine whose heartbeat does not arrive holds the others up for half a second", t, func() {
		s := newOutage()
		s.advanceFinding(6*second/10, func(i int) dragonflyduration.Duration {
			return dragonflyduration.Duration(i/80) * 10 * second
		})
		assertOutageGroups(s)
	})
	Convey("A domain that is late gets its groups as well, of the weights that its hosts hold", t, func() {
		s := newOutage()
		late := s.engines[54:]
		s.engines = s.engines[:54]
		s.advance(8 * second / 10)
		s.engines = append(s.engines, late...)
		s.advance(3 * second)
		assertOutageGroups(s)
	})
	Convey("A group that lacks a host with its weights waits for it, and keeps its engines", t, func() {
		s := newOutage()
		first := append(slices.Clone(s.engines[2:27]), s.engines[27:]...) // Two of 13 hosts are late.
		late := s.engines[:2]
		s.engines = first
		s.advance(8 * second / 10)
		s.engines = append(s.engines, late...)
		s.advance(3 * second)
		assertOutageGroups(s)
	})
	Convey("No head is ordered to open before all members are ready", t, func() {
		s := newOutage()
		s.advance(second)
		for i, e := range s.engines {
			So(s.fleet.Order(e.obs.Address).Kind, ShouldNotEqual, dragonflyserverorder.Open)
			if i > 0 {
				e.obs.Group.State = dragonflyenginegroup.Ready
			}
		}
		group := s.engines[0].obs.Group
		s.advance(second)
		for _, e := range s.engines {
			if e.obs.Group.Is(group.Name, group.Epoch) {
				So(e.obs.Group.State, ShouldNotEqual, dragonflyenginegroup.Open)
			}
		}
		s.engines[0].obs.Group.State = dragonflyenginegroup.Ready
		s.advance(second / 2)
		So(s.servingHeads(), ShouldHaveLength, 9)
	})
}

// TestChangeOfLeaderAlone guards against groups that a new leader forms of spares, though the
// engines of groups at work have not all reported to it.
func TestChangeOfLeaderAlone(t *testing.T) {
	newServing := func() *simulation {
		s := newOutage()
		for _, e := range s.engines {
			e.loading = false
		}
		s.advance(4 * second)
		So(s.servingHeads(), ShouldHaveLength, 9)
		return s
	}
	assertKeptFor := func(s *simulation, d dragonflyduration.Duration, known int) {
		for _, e := range s.engines[known:] {
			e.cut = true
		}
		for range int(d / (second / 10)) {
			s.advance(second / 10)
			for _, e := range s.engines {
				So(s.fleet.Order(e.obs.Address).Kind, ShouldNotEqual, dragonflyserverorder.Join)
			}
		}
		for _, e := range s.engines {
			e.cut = false
		}
	}
	Convey("Groups that are at work are adopted, also if some engines report late", t, func() {
		s := newServing()
		before := s.servingHeads()
		s.lead(2)
		assertKeptFor(s, 14*second/10, 60)
		s.advance(3 * second)
		So(s.servingHeads(), ShouldResemble, before)
	})
	Convey("Free engines wait for the reports of the groups at work", t, func() {
		s := newServing()
		for _, e := range s.engines[67:79] { // Those of the small groups of one domain.
			e.obs.Group, e.obs.Model = dragonflyenginegroup.Group{}, ""
		}
		s.lead(2)
		for _, e := range s.engines[1:54] {
			e.cut = e.obs.Group.State != dragonflyenginegroup.None
		}
		assertKeptFor(s, 14*second/10, 81)
	})
	Convey("An agent alone shows that a group is at work", t, func() {
		s := newServing()
		before := s.servingHeads()
		s.lead(2)
		for _, e := range s.engines {
			e.beatsLost = e.obs.Group.State != dragonflyenginegroup.None
		}
		assertKeptFor(s, 14*second/10, 81)
		for _, e := range s.engines {
			e.beatsLost = false
		}
		s.advance(3 * second)
		So(s.servingHeads(), ShouldResemble, before)
	})
}
