package dragonflyformationplan_test

import (
	"fmt"
	"testing"
	"time"

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

// TestTransferCost guards against a plan that blocks the leader in a large deployment.
func TestTransferCost(t *testing.T) {
	for _, domains := range []int{3, 40} {
		Convey(fmt.Sprint(domains, " domains"), t, func() {
			v := largeView(domains)
			start := time.Now()
			plain := v
			plain.ByDemand = false
			plain.WithTargets()
			t.Log("targets without the setting", time.Since(start))
			start = time.Now()
			v = v.WithTargets()
			t.Log("targets", time.Since(start))
			start = time.Now()
			v.Next()
			t.Log("Next", time.Since(start))
			start = time.Now()
			v.Preempt()
			t.Log("Preempt", time.Since(start))
			start = time.Now()
			_, _, ok := v.Transfer()
			took := time.Since(start)
			t.Log("Transfer", took, ok, v.Groups)
			So(took, ShouldBeLessThan, 500*time.Millisecond)
		})
	}
}
