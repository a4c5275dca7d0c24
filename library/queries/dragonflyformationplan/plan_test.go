package dragonflyformationplan_test

import (
	"fmt"
	"testing"

	"dragonflyrelay.example/library/queries/dragonflyformationplan"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

var (
	large = dragonflymodelprofile.ModelProfile{Name: "large", Size: 4, Share: 0.57, Pace: 1}
	small = dragonflymodelprofile.ModelProfile{Name: "small", Size: 3, Share: 0.43, Pace: 0.6}
)

// engines returns n engines of a domain that hold the weights of model.
func engines(domain, model string, n int) (all []dragonflyobservation.Observation) {
	for i := range n {
		o := dragonflyobservation.Observation{ID: fmt.Sprintf("%s-%s-%d", domain, model, i), Domain: domain}
		if model != "" {
			o.Staged = []string{model}
		}
		all = append(all, o)
	}
	return all
}

func newView(free ...[]dragonflyobservation.Observation) dragonflyformationplan.View {
	v := dragonflyformationplan.View{
		Models: []dragonflymodelprofile.ModelProfile{large, small}, Groups: map[string]int{},
		DomainGroups: map[string]map[string]int{}, Total: 27, Loads: 100,
	}
	for _, f := range free {
		v.Free = append(v.Free, f...)
	}
	for _, domain := range []string{"a", "b", "c"} {
		v.Grouped = append(v.Grouped, engines(domain, "grouped", 1)...)
	}
	return v
}

// formAll forms groups until Next returns none and returns their domains by model.
func formAll(v dragonflyformationplan.View) (domains map[string][]string) {
	domains = map[string][]string{}
	for {
		m, members, ok := v.Next()
		if !ok {
			return domains
		}
		domain := members[0].Domain
		domains[m.Name] = append(domains[m.Name], domain)
		v.Groups[m.Name]++
		if v.DomainGroups[domain] == nil {
			v.DomainGroups[domain] = map[string]int{}
		}
		v.DomainGroups[domain][m.Name]++
		v.Grouped = append(v.Grouped, members...)
		taken := map[string]bool{}
		for _, o := range members {
			taken[o.ID] = true
		}
		var rest []dragonflyobservation.Observation
		for _, o := range v.Free {
			if !taken[o.ID] {
				rest = append(rest, o)
			}
		}
		v.Free = rest
	}
}

func assertOneDomain(members []dragonflyobservation.Observation) {
	for _, o := range members {
		So(o.Domain, ShouldEqual, members[0].Domain)
	}
}

// TestNext guards against a placement in which the loss of a domain or a spare
// interrupts the service of a model.
func TestNext(t *testing.T) {
	Convey("While groups may wait for loads, every domain gets a group of each model and keeps spares", t, func() {
		v := newView(engines("a", "", 9), engines("b", "", 9), engines("c", "", 9))
		v.WaitForLoads = true
		domains := formAll(v)
		So(domains["large"], ShouldHaveLength, 3)
		So(domains["small"], ShouldHaveLength, 3)
		for _, model := range []string{"large", "small"} {
			So(domains[model], ShouldContain, "a")
			So(domains[model], ShouldContain, "b")
			So(domains[model], ShouldContain, "c")
		}
	})
	Convey("No group is formed that needs a load unless groups may wait for loads", t, func() {
		v := newView(engines("a", "large", 3), engines("a", "small", 2))
		_, _, ok := v.Next()
		So(ok, ShouldBeFalse)
	})
	Convey("A group is formed from the engines that hold its weights", t, func() {
		v := newView(engines("a", "large", 4), engines("a", "small", 1))
		v.Groups["small"] = 3
		m, members, ok := v.Next()
		So(ok, ShouldBeTrue)
		So(m.Name, ShouldEqual, "large")
		assertOneDomain(members)
	})
	Convey("No group spans two domains", t, func() {
		v := newView(engines("a", "large", 2), engines("b", "large", 2))
		_, _, ok := v.Next()
		So(ok, ShouldBeFalse)
	})
	Convey("Warm engines are preferred to ones that must warm up", t, func() {
		v := newView(engines("a", "large", 5))
		v.Warm = map[string]string{"a-large-1": "large", "a-large-2": "large", "a-large-3": "large", "a-large-4": "large"}
		_, members, ok := v.Next()
		So(ok, ShouldBeTrue)
		for _, o := range members {
			So(o.ID, ShouldNotEqual, "a-large-0")
		}
	})
	Convey("An engine that is loading does not join a group", t, func() {
		v := newView(engines("a", "large", 4))
		v.Pending = map[string]string{"a-large-0": "small"}
		_, _, ok := v.Next()
		So(ok, ShouldBeFalse)
	})
}

// TestTargets guards against targets that leave a model with few large groups no
// capacity for its peaks, or a domain no spares.
func TestTargets(t *testing.T) {
	start := func(models []dragonflymodelprofile.ModelProfile, domains, enginesPerDomain int) map[string][]string {
		v := dragonflyformationplan.View{Models: models, Groups: map[string]int{}, DomainGroups: map[string]map[string]int{}, Loads: 1 << 20, WaitForLoads: true}
		for i := range domains {
			v.Free = append(v.Free, engines(string(rune('a'+i)), "", enginesPerDomain)...)
		}
		v.Total = len(v.Free)
		return formAll(v)
	}
	big := dragonflymodelprofile.ModelProfile{Name: "large", Size: 16, Share: 0.5, Pace: 1}
	tiny := dragonflymodelprofile.ModelProfile{Name: "small", Size: 4, Share: 0.5, Pace: 0.6}
	assertSpares := func(domains map[string][]string, models []dragonflymodelprofile.ModelProfile, count, each, spares int) {
		used := 0
		for _, m := range models {
			used += len(domains[m.Name]) * m.Size
		}
		So(count*each-used, ShouldBeGreaterThanOrEqualTo, spares*count)
	}
	Convey("Four domains of 37 engines have five groups of 16, 16 groups of 4 and one spare each", t, func() {
		models := []dragonflymodelprofile.ModelProfile{big, tiny}
		domains := start(models, 4, 37)
		So(domains["large"], ShouldHaveLength, 5)
		So(domains["small"], ShouldHaveLength, 16)
		assertSpares(domains, models, 4, 37, 1)
	})
	Convey("Three domains of 37 engines have four groups of 16, 11 groups of 4 and one spare each", t, func() {
		models := []dragonflymodelprofile.ModelProfile{big, tiny}
		domains := start(models, 3, 37)
		So(domains["large"], ShouldHaveLength, 4)
		So(domains["small"], ShouldHaveLength, 11)
		assertSpares(domains, models, 3, 37, 1)
	})
	Convey("Five domains of 73 engines leave only the spares outside of the groups of 32 and 8", t, func() {
		models := []dragonflymodelprofile.ModelProfile{{Name: "large", Size: 32, Share: 0.5, Pace: 1}, {Name: "small", Size: 8, Share: 0.5, Pace: 0.6}}
		domains := start(models, 5, 73)
		So(len(domains["large"]), ShouldBeGreaterThanOrEqualTo, 5)
		So(len(domains["small"]), ShouldBeGreaterThanOrEqualTo, 17)
		So(32*len(domains["large"])+8*len(domains["small"]), ShouldEqual, 5*72)
	})
	Convey("The targets do not fall while spares replace lost engines", t, func() {
		v := newView(engines("a", "small", 3), engines("b", "small", 1), engines("c", "small", 1))
		for _, total := range []int{26, 25, 24, 23} {
			v.Total, v.Groups = total, map[string]int{"large": 3, "small": 3}
			_, _, ok := v.Next()
			So(ok, ShouldBeFalse)
			v.Groups["small"] = 2
			m, _, ok := v.Next()
			So(ok, ShouldBeTrue)
			So(m.Name, ShouldEqual, "small")
			_, _, ok = v.Preempt()
			So(ok, ShouldBeFalse)
		}
	})
	Convey("Three domains of 9 engines keep two spares each", t, func() {
		models := []dragonflymodelprofile.ModelProfile{large, small}
		domains := start(models, 3, 9)
		So(domains["large"], ShouldHaveLength, 3)
		So(domains["small"], ShouldHaveLength, 3)
		assertSpares(domains, models, 3, 9, 2)
	})
}

// TestSpares guards against the loss of a model's last spare to a small shortage of
// another model, and against warm engines that need a load to change their model.
func TestSpares(t *testing.T) {
	warmFor := func(v dragonflyformationplan.View, model string, all ...[]dragonflyobservation.Observation) {
		for _, engines := range all {
			for _, o := range engines {
				v.Warm[o.ID] = model
			}
		}
	}
	big := dragonflymodelprofile.ModelProfile{Name: "large", Size: 16, Share: 0.5, Pace: 1}
	tiny := dragonflymodelprofile.ModelProfile{Name: "small", Size: 4, Share: 0.5, Pace: 0.6}
	// newLargeView returns a service of 148 engines with 13 of 14 small groups.
	newLargeView := func(free ...[]dragonflyobservation.Observation) dragonflyformationplan.View {
		v := newView(free...)
		v.Models, v.Total, v.Warm = []dragonflymodelprofile.ModelProfile{big, tiny}, 148, map[string]string{}
		v.Groups = map[string]int{"large": 5, "small": 13}
		return v
	}
	Convey("A group whose last load is in progress in one domain is not staged in another", t, func() {
		a, b := engines("a", "small", 3), engines("b", "small", 3)
		v := newLargeView(a, b, engines("a", "", 1), engines("b", "", 1))
		v.Pending = map[string]string{"a--0": "small"}
		So(v.Stage()["b--0"], ShouldNotEqual, "small")
	})
	Convey("The last spare of a model is kept if another model lacks a small share of its groups", t, func() {
		spare, rest := engines("a", "large", 1), engines("a", "small", 3)
		v := newLargeView(spare, rest)
		warmFor(v, "large", spare)
		warmFor(v, "small", rest)
		_, _, ok := v.Next()
		So(ok, ShouldBeFalse)
		So(v.Stage(), ShouldResemble, map[string]string{"a-large-0": "small", "a-small-0": "large", "a-small-1": "large", "a-small-2": "large"})
	})
	Convey("The last spare of a model joins another model that lacks a large share of its groups", t, func() {
		spare, rest := engines("a", "large", 1), engines("a", "small", 15)
		for i := range spare {
			spare[i].Staged = []string{"small"}
		}
		v := newLargeView(spare, rest)
		v.Models[0].Size, v.Models[1].Size = 4, 16
		v.Groups = map[string]int{"large": 14, "small": 4}
		warmFor(v, "large", spare)
		warmFor(v, "small", rest)
		m, members, ok := v.Next()
		So(ok, ShouldBeTrue)
		So(m.Name, ShouldEqual, "small")
		So(members, ShouldHaveLength, 16)
	})
	Convey("A warm engine joins a group of its model, whatever weights its host holds", t, func() {
		v := newLargeView(engines("a", "large", 4))
		warmFor(v, "small", engines("a", "large", 4))
		m, _, ok := v.Next()
		So(ok, ShouldBeTrue)
		So(m.Name, ShouldEqual, "small")
	})
	Convey("A warm engine joins a group of its model while its host loads other weights", t, func() {
		v := newLargeView(engines("a", "small", 4))
		warmFor(v, "small", engines("a", "small", 4))
		v.Pending = map[string]string{"a-small-0": "large"}
		_, _, ok := v.Next()
		So(ok, ShouldBeTrue)
	})
	Convey("Warm engines, in groups or free, load the weights of the other model once", t, func() {
		spare, member := engines("a", "large", 1), engines("b", "small", 1)
		v := newLargeView(spare)
		v.Groups["small"] = 14
		v.Grouped = member
		warmFor(v, "large", spare)
		warmFor(v, "small", member)
		So(v.Stage(), ShouldResemble, map[string]string{"a-large-0": "small", "b-small-0": "large"})
		v.Free[0].Staged, v.Grouped[0].Staged = []string{"small"}, []string{"large"}
		So(v.Stage(), ShouldBeEmpty)
	})
}

// TestPreempt guards against 15 engines that stay idle because a group of 16 lacks one
// member, although a small group in their domain could provide it.
func TestPreempt(t *testing.T) {
	big := dragonflymodelprofile.ModelProfile{Name: "large", Size: 16, Share: 0.5, Pace: 1}
	tiny := dragonflymodelprofile.ModelProfile{Name: "small", Size: 4, Share: 0.5, Pace: 0.6}
	newIncompleteView := func(staged string) dragonflyformationplan.View {
		v := newView(engines("a", "large", 15))
		v.Models, v.Total = []dragonflymodelprofile.ModelProfile{big, tiny}, 148
		v.Groups = map[string]int{"large": 4, "small": 14}
		for i, domain := range []string{"a", "b"} {
			for _, o := range engines(domain, "member", 4) {
				o.Staged, o.Model = []string{staged}, "small"
				o.Group.Name = fmt.Sprint("g", i)
				v.Grouped = append(v.Grouped, o)
			}
		}
		return v
	}
	Convey("A small group is ended if its engines complete a large group in its domain", t, func() {
		group, m, ok := newIncompleteView("large").Preempt()
		So(ok, ShouldBeTrue)
		So(group, ShouldEqual, "g0")
		So(m.Name, ShouldEqual, "large")
	})
	Convey("The engines of the ended group join the large group, although both models lack groups", t, func() {
		v := newIncompleteView("large")
		v.Groups["small"] = 10
		for _, o := range v.Grouped {
			if o.Group.Name == "g0" {
				v.Free = append(v.Free, o)
			}
		}
		m, _, ok := v.Next()
		So(ok, ShouldBeTrue)
		So(m.Name, ShouldEqual, "large")
	})
	Convey("Warm engines for most of a large group are not used for small groups", t, func() {
		v := newIncompleteView("small")
		v.Groups["small"] = 10
		v.Warm = map[string]string{}
		for _, o := range v.Free {
			v.Warm[o.ID] = "large"
		}
		for i := range v.Free {
			v.Free[i].Staged = []string{"small"}
		}
		_, _, ok := v.Next()
		So(ok, ShouldBeFalse)
	})
	Convey("A spare of the large model joins a small group while a large group is missing in another domain", t, func() {
		v := newIncompleteView("small")
		v.Free = append(engines("a", "large", 1), engines("a", "small", 3)...)
		v.Free[0].Staged = []string{"small"}
		v.Groups["small"], v.Warm = 9, map[string]string{"a-large-0": "large"}
		m, _, ok := v.Next()
		So(ok, ShouldBeTrue)
		So(m.Name, ShouldEqual, "small")
	})
	Convey("A large group is ended for small ones if its model exceeds its target, and only then", t, func() {
		v := newIncompleteView("large")
		v.Free, v.Grouped, v.Total = nil, nil, 74 // half of the engines are out of service
		v.Groups = map[string]int{"large": 3, "small": 5}
		for i, domain := range []string{"a", "a", "b"} {
			for _, o := range engines(domain, fmt.Sprint("member", i), 16) {
				o.Staged, o.Model, o.Group.Name = []string{"small"}, "large", fmt.Sprint("big", i)
				v.Grouped = append(v.Grouped, o)
			}
		}
		group, m, ok := v.Preempt()
		So(ok, ShouldBeTrue)
		So(group, ShouldStartWith, "big")
		So(m.Name, ShouldEqual, "small")
		v.Groups["large"] = 2
		_, _, ok = v.Preempt()
		So(ok, ShouldBeFalse)
	})
	Convey("No group is ended if its engines would need a load", t, func() {
		_, _, ok := newIncompleteView("small").Preempt()
		So(ok, ShouldBeFalse)
	})
	Convey("No group is ended while the free engines suffice", t, func() {
		v := newIncompleteView("large")
		v.Free = append(v.Free, engines("a", "large", 16)[15])
		_, _, ok := v.Preempt()
		So(ok, ShouldBeFalse)
	})
	Convey("No group is ended for one that serves an equal share of the work", t, func() {
		v := newIncompleteView("large")
		v.Models[1].Size = 16
		_, _, ok := v.Preempt()
		So(ok, ShouldBeFalse)
	})
}

func ExampleView_Shortage() {
	v := newView(engines("a", "large", 3), engines("a", "", 1))
	v.Groups["small"] = 3
	fmt.Println(v.Shortage())
	// Output: large has 0 of 3 groups of 4; a free: 1 empty, 3 holding large
}
