package dragonflyformationplan_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStaged guards against groups that take the engines of larger ones after an outage, only
// because an engine that holds the weights of the larger one is not known yet.
func TestStaged(t *testing.T) {
	// groups returns the domains of the groups by model.
	groups := func(hosts map[string][2]int) map[string][]string {
		v := newView()
		for domain, n := range hosts {
			v.Free = append(v.Free, append(engines(domain, "large", n[0]), engines(domain, "small", n[1])...)...)
		}
		v.Grouped, v.Total = nil, len(v.Free)
		domains := map[string][]string{}
		for m, members := range v.Staged() {
			assertOneDomain(members)
			So(members, ShouldHaveLength, m.Size)
			for _, o := range members {
				So(o.Staged, ShouldContain, m.Name)
			}
			domains[m.Name] = append(domains[m.Name], members[0].Domain)
		}
		return domains
	}
	Convey("If all engines hold their weights, every domain gets a group of each model", t, func() {
		found := groups(map[string][2]int{"a": {5, 4}, "b": {5, 4}, "c": {5, 4}})
		for _, model := range []string{"large", "small"} {
			So(found[model], ShouldHaveLength, 3)
			So(found[model], ShouldContain, "a")
			So(found[model], ShouldContain, "b")
			So(found[model], ShouldContain, "c")
		}
	})
	Convey("A group that lacks one host with its weights is left out, and its engines join no other", t, func() {
		found := groups(map[string][2]int{"a": {5, 4}, "b": {5, 4}, "c": {3, 3}})
		So(found["large"], ShouldHaveLength, 2)
		So(found["large"], ShouldNotContain, "c")
		So(found["small"], ShouldNotContain, "c")
	})
	Convey("No group is formed if no host holds weights", t, func() {
		v := newView(engines("a", "", 9), engines("b", "", 9), engines("c", "", 9))
		for range v.Staged() {
			So("a group", ShouldBeEmpty)
		}
	})
}
