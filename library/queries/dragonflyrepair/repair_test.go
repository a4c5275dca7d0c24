package dragonflyrepair_test

import (
	"fmt"
	"slices"
	"testing"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflyrepair"
	"dragonflyrelay.example/library/values/dragonflycandidate"
	"dragonflyrelay.example/library/values/dragonflydamagedgroup"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyrepairplan"
	"dragonflyrelay.example/library/values/dragonflyrepairview"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const second = dragonflyduration.Second

func at(id, domain string) dragonflycandidate.Candidate {
	return dragonflycandidate.Candidate{Member: dragonflymember.Member{Instance: id}, Domain: domain, Model: "m"}
}

// damaged returns the group id in a domain, with members named "id.rank" and the given
// ranks lost.
func damaged(id uint64, domain string, lost ...bool) dragonflydamagedgroup.DamagedGroup {
	d := dragonflydamagedgroup.DamagedGroup{Group: id, Lost: lost, DamagedFor: 16 * second}
	for i := range lost {
		d.Members = append(d.Members, at(fmt.Sprintf("%d.%d", id, i), domain))
	}
	return d
}

// assertPlan checks the ids of the dissolved groups and the members of the formed ones.
func assertPlan(v dragonflyrepairview.View, dissolve []uint64, form ...[]string) {
	p := dragonflyrepair.Plan(v)
	So(p.Dissolve, ShouldResemble, dissolve)
	var got [][]string
	for _, f := range p.Form {
		got = append(got, names(f.Members))
	}
	So(got, ShouldResemble, form)
}

func names(ms []dragonflymember.Member) (out []string) {
	for _, m := range ms {
		out = append(out, m.Instance)
	}
	return out
}

// mostRepairable tries every subset of the damaged groups of one domain and returns the
// largest number that can be repaired, and the fewest loads for that number.
func mostRepairable(v dragonflyrepairview.View) (groups, loads int) {
	for subset := range 1 << len(v.Damaged) {
		n, need, supply := 0, 0, len(v.Free)
		for i, d := range v.Damaged {
			s := len(d.Survivors())
			switch {
			case subset>>i&1 == 0:
				supply += s
			case s == 0:
				need = 1 << 20 // A group without survivors cannot be repaired.
			default:
				n, need = n+1, need+len(d.Members)-s
			}
		}
		if need <= supply && (n > groups || n == groups && need < loads) {
			groups, loads = n, need
		}
	}
	return groups, loads
}

func drawView(t *rapid.T) dragonflyrepairview.View {
	v := dragonflyrepairview.View{GroupSize: rapid.IntRange(1, 4).Draw(t, "size"), LoadTime: 60 * second}
	for i := range rapid.IntRange(0, 6).Draw(t, "groups") {
		lost := rapid.SliceOfN(rapid.Bool(), v.GroupSize, v.GroupSize).Draw(t, "lost")
		lost[rapid.IntRange(0, v.GroupSize-1).Draw(t, "sure")] = true
		d := damaged(uint64(i+1), "d", lost...)
		d.Permanent = true
		v.Damaged = append(v.Damaged, d)
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "free") {
		v.Free = append(v.Free, at(fmt.Sprint("f", i), "d"))
	}
	return v
}

func checkMembers(t *rapid.T, v dragonflyrepairview.View, p dragonflyrepairplan.Plan) (loads int) {
	usable := map[string]bool{}
	for _, c := range v.Free {
		usable[c.Member.Instance] = true
	}
	for _, d := range v.Damaged {
		for _, c := range d.Survivors() {
			usable[c.Member.Instance] = true
		}
	}
	for _, f := range p.Form {
		for _, n := range names(f.Members) {
			if !usable[n] {
				t.Fatalf("%s is lost or used twice", n)
			}
			usable[n] = false
		}
		loads += f.Loads
	}
	return loads
}

func TestPlan(t *testing.T) {
	Convey("The plan repairs the most groups possible, with the fewest loads", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			v := drawView(t)
			p := dragonflyrepair.Plan(v)
			loads := checkMembers(t, v, p)
			wantGroups, wantLoads := mostRepairable(v)
			if len(p.Form) != wantGroups || loads != wantLoads {
				t.Fatalf("repairs %d with %d loads, want %d with %d", len(p.Form), loads, wantGroups, wantLoads)
			}
			if len(p.Dissolve) != len(v.Damaged) || !slices.IsSorted(p.Dissolve) {
				t.Fatalf("dissolves %v", p.Dissolve)
			}
		})
	})
	Convey("A lost member is replaced at its rank, only by an instance of its domain", t, func() {
		v := dragonflyrepairview.View{GroupSize: 3, Damaged: []dragonflydamagedgroup.DamagedGroup{damaged(7, "d", false, true, false)}}
		v.Free = []dragonflycandidate.Candidate{at("x", "e"), at("y", "d")}
		assertPlan(v, []uint64{7}, []string{"7.0", "y", "7.2"})
		v.Free = v.Free[:1]
		assertPlan(v, []uint64{7})
	})
	Convey("A survivor of a group that cannot be repaired joins another group", t, func() {
		v := dragonflyrepairview.View{GroupSize: 3, Damaged: []dragonflydamagedgroup.DamagedGroup{
			damaged(1, "d", false, true, true), damaged(2, "d", true, false, false),
		}}
		assertPlan(v, []uint64{1, 2}, []string{"1.0", "2.1", "2.2"})
	})
	Convey("A group is dissolved once the wait for its lost members is over", t, func() {
		d := damaged(7, "d", false, true)
		v := dragonflyrepairview.View{GroupSize: 2, LoadTime: 8 * second, Free: []dragonflycandidate.Candidate{at("y", "d")}}
		for _, c := range []struct {
			name        string
			waited      dragonflyduration.Duration
			free        int
			permanent   bool
			unreachable bool
			complete    bool
			over        bool
		}{
			{name: "less than a quarter of a load", waited: 1999 * second / 1000, free: 1},
			{name: "a quarter of a load", waited: 2 * second, free: 1, over: true},
			{name: "less than a load without replacement", waited: 7 * second},
			{name: "a load without replacement", waited: 8 * second, over: true},
			{name: "a member that cannot return", permanent: true, over: true},
			{name: "an agent that restarts while the group is complete", waited: 100 * second, free: 1, complete: true},
			{name: "less than two minutes with no reachable member", waited: 119 * second, free: 1, unreachable: true},
			{name: "two minutes with no reachable member", waited: 120 * second, free: 1, unreachable: true, over: true},
		} {
			Convey(c.name, func() {
				d, v := d, v
				d.DamagedFor, d.Permanent, v.Free = c.waited, c.permanent, v.Free[:c.free]
				if c.complete {
					d.Lost = []bool{false, false}
				}
				if c.unreachable {
					d.Lost = []bool{true, true}
				}
				v.Damaged = []dragonflydamagedgroup.DamagedGroup{d}
				So(len(dragonflyrepair.Plan(v).Dissolve) == 1, ShouldEqual, c.over)
			})
		}
	})
}
