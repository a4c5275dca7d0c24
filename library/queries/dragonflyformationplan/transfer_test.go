package dragonflyformationplan_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/queries/dragonflyformationplan"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// demandView is a view of three domains of 27 engines by demand, in which the small model
// is short. Each domain of layout lists the models of its groups; the hosts of grouped
// engines hold the weights of the other model.
func demandView(largeShare float64, layout ...[]string) dragonflyformationplan.View {
	sizes := map[string]int{"large": 12, "small": 6}
	v := dragonflyformationplan.View{
		Models: []dragonflymodelprofile.ModelProfile{
			{Name: "large", Size: 12, Share: largeShare}, {Name: "small", Size: 6, Share: 1 - largeShare},
		},
		Groups: map[string]int{}, DomainGroups: map[string]map[string]int{}, Warm: map[string]string{},
		Loads: 3, ByDemand: true, Short: map[string]bool{"small": true},
	}
	for i, models := range layout {
		domain := string(rune('a' + i))
		v.DomainGroups[domain] = map[string]int{}
		n := 0
		add := func(model, group string) dragonflyobservation.Observation {
			o := dragonflyobservation.Observation{ID: fmt.Sprintf("%s%02d", domain, n), Domain: domain, Model: model}
			o.Group = dragonflyenginegroup.Group{Name: group, State: dragonflyenginegroup.Open}
			o.Staged = []string{map[string]string{"large": "small", "small": "large", "": "small"}[model]}
			if n++; model != "" {
				v.Warm[o.ID] = model
			}
			return o
		}
		for g, model := range models {
			for range sizes[model] {
				v.Grouped = append(v.Grouped, add(model, fmt.Sprintf("%s-%d", domain, g)))
			}
			v.Groups[model]++
			v.DomainGroups[domain][model]++
		}
		for n < 27 {
			o := add("", "")
			o.Group = dragonflyenginegroup.Group{}
			v.Free = append(v.Free, o)
		}
	}
	v.Total = len(v.Free) + len(v.Grouped)
	return v.WithTargets()
}

var (
	mixed  = []string{"large", "small", "small"}
	smalls = []string{"small", "small", "small", "small"}
)

// assertTransfer asserts the groups that are drained for the model, "" for none.
func assertTransfer(v dragonflyformationplan.View, model string, groups ...string) {
	got, _, m, ok := v.Transfer()
	So(ok, ShouldEqual, model != "")
	So(m.Name, ShouldEqual, model)
	So(got, ShouldResemble, groups)
}

// TestTransfer guards against groups that are drained without need, or for a group that
// cannot be formed from their engines.
func TestTransfer(t *testing.T) {
	Convey("A large group beyond its target is drained for a small model that is short", t, func() {
		assertTransfer(demandView(0.2, mixed, mixed, mixed), "small", "a-0")
	})
	Convey("None is drained for a model that is not short", t, func() {
		v := demandView(0.2, mixed, mixed, mixed)
		v.Short = nil
		assertTransfer(v, "")
	})
	Convey("None is drained without a plan by demand", t, func() {
		v := demandView(0.2, mixed, mixed, mixed)
		v.ByDemand = false
		assertTransfer(v, "")
	})
	Convey("A model below two groups gets one even if it is not short", t, func() {
		v := demandView(0.2, mixed, smalls, smalls)
		v.Short = nil
		assertTransfer(v, "large", "b-0", "b-1")
	})
	Convey("Two small groups of one domain are drained for a large one", t, func() {
		v := demandView(0.5, mixed, mixed, smalls)
		v.Short = map[string]bool{"large": true}
		assertTransfer(v, "large", "c-0", "c-1")
	})
	Convey("No model is left with fewer than two groups, whatever its share is", t, func() {
		assertTransfer(demandView(0.01, mixed, mixed, smalls), "")
	})
	Convey("No group is drained of a model that has no more than its target", t, func() {
		v := demandView(0.2, mixed, mixed, smalls[:3])
		for i := range v.Free {
			v.Free[i].Staged = []string{"large"}
		}
		assertTransfer(v, "")
	})
	Convey("A group is drained only if its engines can join without a load", t, func() {
		v := demandView(0.2, mixed, mixed, mixed)
		for i, o := range v.Grouped {
			if o.Model == "large" && o.Domain != "b" {
				v.Grouped[i].Staged = []string{"large"}
			}
		}
		for i := range v.Free {
			v.Free[i].Staged = []string{"large"}
		}
		assertTransfer(v, "small", "b-0")
		for i := range v.Grouped {
			v.Grouped[i].Staged = nil
		}
		assertTransfer(v, "")
		for i := range v.Free {
			v.Free[i].Staged = nil
		}
		v.WaitForLoads, v.Loads = true, 1<<20
		assertTransfer(v, "")
	})
	Convey("Preempt ends no group that Transfer drains, and none of a model with two groups", t, func() {
		_, _, ok := demandView(0.2, mixed, mixed, mixed).Preempt()
		So(ok, ShouldBeFalse)
		v := demandView(0.02, mixed, mixed, smalls[:3])
		v.Free = nil
		_, _, ok = v.WithTargets().Preempt()
		So(ok, ShouldBeFalse)
	})
	Convey("Without evidence Preempt keeps the groups beyond a target", t, func() {
		v := demandView(0.2, mixed, mixed, mixed)
		v.ByDemand = false
		_, _, ok := v.Preempt()
		So(ok, ShouldBeTrue)
		v.KeepSurplus = true
		_, _, ok = v.Preempt()
		So(ok, ShouldBeFalse)
	})
	Convey("Without evidence Preempt ends a group beyond a target for a model below two groups", t, func() {
		v := demandView(0.5, []string{"large", "large"}, []string{"large", "large"}, []string{"large", "small"})
		v.Free, v.ByDemand, v.KeepSurplus = nil, false, true
		_, m, ok := v.WithTargets().Preempt()
		So(ok, ShouldBeTrue)
		So(m.Name, ShouldEqual, "small")
	})
}

// TestStageForTransfer guards against loads for a model that is short that are spread over
// the groups of several domains, or held back for a second set of weights.
func TestStageForTransfer(t *testing.T) {
	stage := func(short string, stagedInB int) (loads map[string]int) {
		v := demandView(0.2, mixed, mixed, mixed)
		v.Short = map[string]bool{short: true}
		for i, o := range v.Grouped {
			v.Grouped[i].Staged = nil
			if o.Group.Name == "b-0" && stagedInB > 0 {
				v.Grouped[i].Staged = []string{"small"}
				stagedInB--
			}
		}
		loads = map[string]int{}
		for id, model := range v.Stage() {
			loads[id[:1]+" "+model]++
		}
		return loads
	}
	Convey("The engines of the domain that needs the fewest loads load the weights", t, func() {
		So(stage("small", 0), ShouldResemble, map[string]int{"a small": 3})
		So(stage("small", 1), ShouldResemble, map[string]int{"b small": 2})
	})
	Convey("A model that is not short gets only the loads of a second set of weights", t, func() {
		So(stage("large", 1), ShouldResemble, map[string]int{"a small": 1})
	})
}

// TestDemandTargets guards against targets that the domains cannot hold, which would keep
// engines reserved for groups that never form.
func TestDemandTargets(t *testing.T) {
	targets := func(largeShare float64, layout ...[]string) map[string]int {
		v := demandView(largeShare, layout...)
		v.Free, v.Grouped = append(v.Free, v.Grouped...), nil
		for i, o := range v.Free {
			v.Free[i].Staged, v.Free[i].Model = []string{"large", "small"}, ""
			delete(v.Warm, o.ID)
		}
		v.Groups, v.DomainGroups = map[string]int{}, map[string]map[string]int{}
		formed := map[string]int{}
		for model, domains := range formAll(v.WithTargets()) {
			formed[model] = len(domains)
		}
		return formed
	}
	for share, want := range map[float64][2]int{0.05: {2, 8}, 0.2: {2, 8}, 0.5: {3, 6}, 0.7: {4, 4}} {
		Convey(fmt.Sprint("A large model with a share of ", share), t, func() {
			So(targets(share, nil, nil, nil), ShouldResemble, map[string]int{"large": want[0], "small": want[1]})
		})
	}
	Convey("The least groups of a model are formed in two domains, even if a large group more would fit otherwise", t, func() {
		So(targets(0.95, nil, nil, nil), ShouldResemble, map[string]int{"large": 4, "small": 2})
	})
	Convey("Two domains", t, func() {
		So(targets(0.1, nil, nil), ShouldResemble, map[string]int{"large": 2, "small": 4})
	})
}
