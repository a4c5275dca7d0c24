package dragonflycluster_test

import (
	"fmt"
	"strings"
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/commands/dragonflycluster"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"dragonflyrelay.example/library/values/dragonflyzone"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var (
	fitting = dragonflyclass.Class{}.WithName("fitting").WithAnswered(990).WithGap(25 * dragonflyduration.Millisecond)
	puebla  = dragonflyworkspace.Workspace{}.WithName("puebla").WithClass("fitting").WithKeyHash(strings.Repeat("ab", 32))
)

func setClass(id string, base uint64, c dragonflyclass.Class) dragonflychange.Change {
	return dragonflychange.Change{ID: id, Kind: dragonflychange.SetClass, Operator: "ana", Base: base, Class: c}
}

func setWorkspace(id string, base uint64, w dragonflyworkspace.Workspace) dragonflychange.Change {
	return dragonflychange.Change{ID: id, Kind: dragonflychange.SetWorkspace, Operator: "ana", Base: base, Workspace: w}
}

func formGroup(id string, instances ...string) dragonflychange.Change {
	ch := dragonflychange.Change{ID: id, Kind: dragonflychange.FormGroup, Model: "atelier"}
	for _, i := range instances {
		ch.Members = append(ch.Members, dragonflymember.Member{Instance: i, AgentAddress: "127.0.0.1:1"})
	}
	return ch
}

func claim(id, owner, fingerprint string) dragonflychange.Change {
	return dragonflychange.Change{ID: id, Kind: dragonflychange.Claim, ClaimKey: "key", Owner: owner, Fingerprint: fingerprint}
}

// endClaim returns the change that completes the claim with the outcome, or that
// releases it if the outcome is "".
func endClaim(id, owner string, outcome string, body string) dragonflychange.Change {
	ch := dragonflychange.Change{ID: id, Kind: dragonflychange.Complete, ClaimKey: "key", Owner: owner, Outcome: outcome, Status: 201, Body: []byte(body)}
	if outcome == "" {
		ch.Kind = dragonflychange.Release
	}
	return ch
}

// assertInvalid asserts that a change is refused with a message that contains the
// given text, and leaves configuration, groups and claims unchanged.
func assertInvalid(c dragonflycluster.Cluster, ch dragonflychange.Change, message string) {
	next, r := c.Apply(ch)
	So(r.Outcome, ShouldEqual, dragonflyresult.Invalid)
	So(r.Message, ShouldContainSubstring, message)
	So(next.Config(), ShouldResemble, c.Config())
	So(next.Groups(), ShouldResemble, c.Groups())
	So(next.Claims(), ShouldEqual, c.Claims())
}

// apply applies a change and asserts its outcome.
func apply[O comparable](c dragonflycluster.Cluster, ch dragonflychange.Change, outcome O) (dragonflycluster.Cluster, dragonflyresult.Result) {
	next, r := c.Apply(ch)
	So(r.Message+fmt.Sprint(r.Outcome), ShouldEndWith, fmt.Sprint(outcome))
	return next, r
}

func TestConfiguration(t *testing.T) {
	c, _ := dragonflycluster.Cluster{}.Apply(setClass("c1", 0, fitting))

	Convey("A change based on an earlier version is a conflict that shows both versions and the current value", t, func() {
		_, r := apply(c, setClass("c2", 0, fitting.WithAnswered(900)), dragonflyresult.Conflict)
		So(r.Base, ShouldEqual, 0)
		So(r.Version, ShouldEqual, 1)
		So(r.Current, ShouldContainSubstring, "answered 990 per mille")
		So(r.Message, ShouldContainSubstring, "by ana")
	})
	Convey("A change with a repeated id gets its first result, also after later changes and a snapshot", t, func() {
		d, _ := apply(c, setClass("c2", 1, fitting.WithAnswered(900)), dragonflyresult.Accepted)
		d = dragonflycluster.FromState(d.State())
		e, r := apply(d, setClass("c1", 0, fitting), dragonflyresult.Accepted)
		So(r.Version, ShouldEqual, 1)
		So(e.Config().Version(), ShouldEqual, 2)
		So(len(e.History()), ShouldEqual, 2)
	})
	Convey("Invalid input is refused with a message that names the field", t, func() {
		assertInvalid(c, setClass("", 1, fitting), "id must have")
		assertInvalid(c, setClass("x", 1, fitting.WithName("Große")), "class name")
		assertInvalid(c, setClass("x", 1, fitting.WithAnswered(1001)), "answered (per mille) is 1001")
		assertInvalid(c, setClass("x", 1, fitting.WithGap(-1)), "gap")
		assertInvalid(c, setWorkspace("x", 1, puebla.WithClass("none")), `class "none" does not exist`)
		assertInvalid(c, setWorkspace("x", 1, puebla.WithKeyHash("AB")), "SHA-256")
		assertInvalid(c, dragonflychange.Change{ID: "x", Kind: 99}, "kind 99")
		assertInvalid(c, dragonflychange.Change{ID: "x", Kind: dragonflychange.SetGroupSize, Operator: "a", Base: 1}, "group size is 0")
		assertInvalid(c, dragonflychange.Change{ID: "x", Kind: dragonflychange.RemoveService, Operator: "a", Base: 1, Service: dragonflyservice.Service{}.WithName("orders")}, "does not exist")
		assertInvalid(c, dragonflychange.Change{ID: "x", Kind: dragonflychange.SetZone, Base: 1, Zone: dragonflyzone.Zone{}.WithName("z")}, "operator")
	})
	Convey("A class in use cannot be removed, and two workspaces cannot share a key", t, func() {
		d, _ := apply(c, setWorkspace("c2", 1, puebla), dragonflyresult.Accepted)
		remove := setClass("c3", 2, fitting)
		remove.Kind = dragonflychange.RemoveClass
		assertInvalid(d, remove, `default of workspace "puebla"`)
		assertInvalid(d, setWorkspace("c4", 2, puebla.WithName("other")), "same key")
	})
}

func TestGroups(t *testing.T) {
	Convey("Group ids and fencing numbers increase and are not reused", t, func() {
		c, first := apply(dragonflycluster.Cluster{}, formGroup("f1", "i1", "i2"), dragonflyresult.Accepted)
		c, _ = apply(c, dragonflychange.Change{ID: "d1", Kind: dragonflychange.DissolveGroup, Group: first.Group}, dragonflyresult.Accepted)
		c = dragonflycluster.FromState(c.State())
		_, second := apply(c, formGroup("f2", "i1", "i2"), dragonflyresult.Accepted)
		So(second.Group, ShouldBeGreaterThan, first.Group)
		So(second.Fence, ShouldBeGreaterThan, first.Fence)
	})
	Convey("No instance belongs to two groups", t, func() {
		c, _ := apply(dragonflycluster.Cluster{}, formGroup("f1", "i1", "i2"), dragonflyresult.Accepted)
		assertInvalid(c, formGroup("f2", "i2", "i3"), "i2 belongs to group 1")
		assertInvalid(c, formGroup("f3", "i4", "i4"), "named twice")
	})
}

func TestClaims(t *testing.T) {
	held, _ := dragonflycluster.Cluster{}.Apply(claim("k1", "r1", "fp"))

	Convey("Only one owner holds a claim, and a request with another fingerprint is refused", t, func() {
		apply(held, claim("k2", "r2", "fp"), dragonflyresult.ClaimInProgress)
		apply(held, claim("k3", "r2", "other"), dragonflyresult.ClaimMismatch)
		assertInvalid(held, endClaim("k4", "r2", "done", "no"), "another request")
		assertInvalid(held, endClaim("k5", "r2", "", ""), "another request")
	})
	Convey("A repeat gets the stored response, also when the repeat itself is retried after a snapshot", t, func() {
		c, _ := apply(held, endClaim("k2", "r1", "done", "cut 3 m"), dragonflyresult.Accepted)
		c, _ = apply(c, claim("k3", "r2", "fp"), dragonflyresult.ClaimStored)
		_, r := apply(dragonflycluster.FromState(c.State()), claim("k3", "r2", "fp"), dragonflyresult.ClaimStored)
		So(string(r.Body), ShouldEqual, "cut 3 m")
		So(r.Status, ShouldEqual, 201)
		assertInvalid(c, endClaim("k4", "r1", "", ""), "has been completed")
	})
	Convey("A call whose outcome is unknown or whose response is too large to store is never run again", t, func() {
		c, _ := apply(held, endClaim("k2", "r1", "unknown", ""), dragonflyresult.Accepted)
		apply(c, claim("k3", "r2", "fp"), dragonflyresult.ClaimUnknown)
		c, r := held.Apply(endClaim("k2", "r1", "done", strings.Repeat("x", dragonflycluster.MaxStoredBodyBytes+1)))
		So(r.Outcome, ShouldEqual, dragonflyresult.Accepted)
		apply(c, claim("k3", "r2", "fp"), dragonflyresult.ClaimUnknown)
	})
	Convey("A released claim can be granted again", t, func() {
		c, _ := apply(held, endClaim("k2", "r1", "", ""), dragonflyresult.Accepted)
		apply(c, claim("k3", "r2", "fp"), dragonflyresult.ClaimGranted)
	})
	Convey("A claim expires 24 h after it was granted, by the timestamps of the changes", t, func() {
		late := claim("k2", "r2", "fp")
		late.At = int64(dragonflycluster.ClaimLifetime) - 1
		apply(held, late, dragonflyresult.ClaimInProgress)
		late.At++
		apply(held, late, dragonflyresult.ClaimGranted)
	})
}

func TestClusterRandom(t *testing.T) {
	Convey("Equal changes give equal states and results, also if one state is restored from a snapshot before every change", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			var a, b dragonflycluster.Cluster
			for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
				ch := randomChange(t, i)
				var ra, rb dragonflyresult.Result
				a, ra = a.Apply(ch)
				b, rb = dragonflycluster.FromState(b.State()).Apply(ch)
				if x, y := fmt.Sprint(ra, encoded(a)), fmt.Sprint(rb, encoded(b)); x != y {
					t.Fatalf("after %+v:\n%s\n%s", ch, x, y)
				}
			}
		})
	})
}

// encoded returns the encoded state.
func encoded(c dragonflycluster.Cluster) string {
	raw, err := dragonflycodec.MarshalSnapshot(dragonflysnapshot.Snapshot{State: c.State()})
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

func randomChange(t *rapid.T, i int) dragonflychange.Change {
	id := fmt.Sprint("id", rapid.IntRange(max(0, i-3), i).Draw(t, "id"))
	owner := rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "owner")
	base := uint64(rapid.IntRange(0, 6).Draw(t, "base"))
	ch := rapid.SampledFrom([]dragonflychange.Change{
		setClass(id, base, fitting), setWorkspace(id, base, puebla), formGroup(id, owner), claim(id, owner, "fp"),
		endClaim(id, owner, "done", "x"), endClaim(id, owner, "", ""), {ID: id, Kind: dragonflychange.DissolveGroup, Group: base},
	}).Draw(t, "change")
	ch.At = int64(i) * int64(dragonflyduration.Hour)
	return ch
}
