package dragonflyformationplan_test

import (
	"fmt"
	"runtime"
	"testing"

	"dragonflyrelay.example/library/queries/dragonflyformationplan"
	"dragonflyrelay.example/library/values/dragonflyenginegroup"
	"dragonflyrelay.example/library/values/dragonflymodelprofile"
	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// largeView is a view by demand of 3,600 engines in the given number of domains, of which
// two thirds are in large groups while the small model is short. The hosts lack its weights.
func largeView(domains int) dragonflyformationplan.View {
	const engines = 3600
	v := dragonflyformationplan.View{
		Models: []dragonflymodelprofile.ModelProfile{
			{Name: "large", Size: 12, Share: 0.2}, {Name: "small", Size: 6, Share: 0.8},
		},
		Groups: map[string]int{}, DomainGroups: map[string]map[string]int{}, Warm: map[string]string{},
		ByDemand: true, Short: map[string]bool{"small": true}, Total: engines,
	}
	for d := range domains {
		domain, n := fmt.Sprintf("d%02d", d), 0
		v.DomainGroups[domain] = map[string]int{}
		add := func(model string, size int) {
			for range size {
				o := dragonflyobservation.Observation{ID: fmt.Sprintf("%s-%04d", domain, n), Domain: domain, Model: model, Staged: []string{"large"}}
				n++
				if size == 1 {
					v.Free = append(v.Free, o)
					continue
				}
				o.Group = dragonflyenginegroup.Group{Name: fmt.Sprintf("%s-%d", domain, n/size), State: dragonflyenginegroup.Open}
				o.Group.Name = fmt.Sprintf("%s-%s-%d", domain, model, (n-1)/size)
				v.Grouped, v.Warm[o.ID] = append(v.Grouped, o), model
			}
			if size > 1 {
				v.Groups[model]++
				v.DomainGroups[domain][model]++
			}
		}
		size := engines / domains
		for n+12 <= size*2/3 {
			add("large", 12)
		}
		for n%6 != 0 {
			add("", 1)
		}
		for n+6 <= size-2 {
			add("small", 6)
		}
		for n < size {
			add("", 1)
		}
	}
	return v
}

// allocated returns the bytes and the objects that f allocates.
func allocated(f func()) (bytes, objects uint64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc, after.Mallocs - before.Mallocs
}

// TestTransferCost guards against a plan that blocks the leader in a large deployment: a
// look at all engines for each group, of which there may be hundreds. The bounds are 1.2 to
// 1.4 times what a look at the engines of the domain alone takes.
func TestTransferCost(t *testing.T) {
	for domains, most := range map[int]uint64{3: 200_000_000, 40: 30_000_000} {
		Convey(fmt.Sprint(domains, " domains"), t, func() {
			v := largeView(domains).WithTargets()
			ok := false
			bytes, objects := allocated(func() { _, _, _, ok = v.Transfer() })
			t.Log("Transfer", bytes, objects, ok, v.Groups)
			So(ok, ShouldBeFalse)
			So(bytes, ShouldBeLessThan, most)
			So(objects, ShouldBeLessThan, 10_000)
		})
	}
}
