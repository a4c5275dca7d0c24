package dragonflycontrolsettings_test

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"

	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	. "github.com/smartystreets/goconvey/convey"
)

// TestGroupStall guards against a stall time of a flag that is misread or not checked.
func TestGroupStall(t *testing.T) {
	s := dragonflycontrolsettings.Settings{
		Instance: "a", Members: map[string]string{"a": "127.0.0.1:1"}, Listen: "127.0.0.1:2", DebugListen: "127.0.0.1:3",
		DataFolder: "d", WithoutKey: true, GroupStallMS: 5000,
	}
	for ms, want := range map[string]float64{"": 5000, "6000": 6000, "1500.5": 1500.5} {
		Convey("The flag "+ms+" is accepted", t, func() {
			got, err := s.WithGroupStall(ms)
			So(err, ShouldBeNil)
			So(got.GroupStallMS, ShouldEqual, want)
		})
	}
	for _, ms := range []string{"soon", "-1", "NaN", "1e9"} {
		Convey("The flag "+ms+" is refused", t, func() {
			_, err := s.WithGroupStall(ms)
			So(err, ShouldNotBeNil)
		})
	}
}

// TestHeartbeatFlag guards against an interval of a flag that is misread or not checked.
func TestHeartbeatFlag(t *testing.T) {
	s := dragonflycontrolsettings.Settings{
		Instance: "a", Members: map[string]string{"a": "127.0.0.1:1"}, Listen: "127.0.0.1:2", DebugListen: "127.0.0.1:3",
		DataFolder: "d", WithoutKey: true, HeartbeatMS: 900,
	}
	for ms, want := range map[string]float64{"": 900, "1200": 1200} {
		Convey("The flag "+ms+" is accepted", t, func() {
			got, err := s.WithHeartbeatInterval(ms)
			So(err, ShouldBeNil)
			So(got.HeartbeatMS, ShouldEqual, want)
		})
	}
	for _, ms := range []string{"soon", "-1", "NaN", "1e9"} {
		Convey("The flag "+ms+" is refused", t, func() {
			_, err := s.WithHeartbeatInterval(ms)
			So(err, ShouldNotBeNil)
		})
	}
}

// TestHeartbeatInterval guards against an interval of heartbeats that no upstream can have.
func TestHeartbeatInterval(t *testing.T) {
	for ms, valid := range map[float64]bool{0: true, 1200: true, 60000: true, -1: false, 60001: false, math.NaN(): false} {
		Convey(fmt.Sprintf("An interval of %g ms is valid: %t", ms, valid), t, func() {
			s := dragonflycontrolsettings.Settings{
				Instance: "a", Members: map[string]string{"a": "127.0.0.1:1"}, Listen: "127.0.0.1:2", DebugListen: "127.0.0.1:3",
				DataFolder: "d", WithoutKey: true, HeartbeatMS: ms,
			}
			So(s.Check() == nil, ShouldEqual, valid)
		})
	}
}

// TestZoneFlag guards against an instance that takes an empty flag for its availability zone, or
// ignores one.
func TestZoneFlag(t *testing.T) {
	Convey("A flag replaces the zone of the settings unless it is empty", t, func() {
		s := dragonflycontrolsettings.Settings{Zone: "a"}
		So(s.WithZone("b").Zone, ShouldEqual, "b")
		So(s.WithZone("").Zone, ShouldEqual, "a")
	})
}

// TestPlanByDemand guards against a deployment whose groups follow the demand without being
// asked to, or not although it asks for it.
func TestPlanByDemand(t *testing.T) {
	for setting, want := range map[string]bool{"": false, `, "plan-by-demand": false`: false, `, "plan-by-demand": true`: true} {
		Convey("Settings with"+setting, t, func() {
			path := filepath.Join(t.TempDir(), "control.json")
			text := `{"instance": "a", "members": {"a": "127.0.0.1:1"}, "listen": "127.0.0.1:2", "debug-listen": "127.0.0.1:3", "data-folder": "d", "without-key": true` + setting + `}`
			So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
			s, err := dragonflycontrolsettings.Load(path)
			So(err, ShouldBeNil)
			So(s.PlanByDemand, ShouldEqual, want)
		})
	}
}
