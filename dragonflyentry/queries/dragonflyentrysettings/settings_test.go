package dragonflyentrysettings_test

import (
	"testing"

	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

const valid = `{
	// One of two entries in Puebla.
	"name": "entry-1", "listen": "127.0.0.1:8080", "region": "centro-mx", "zone": "zona-a",
	"control": ["127.0.0.1:7001", "127.0.0.1:7002"], "key": "secret", "route-wait": "750ms",
}`

// assertFaults checks that the settings raw are refused and that the error lists each
// of faults.
func assertFaults(raw string, faults ...string) {
	_, err := dragonflyentrysettings.Parse([]byte(raw))
	So(err, ShouldNotBeNil)
	for _, f := range faults {
		So(err.Error(), ShouldContainSubstring, f)
	}
}

func TestSettings(t *testing.T) {
	Convey("A file with comments is parsed, and defaults replace missing settings", t, func() {
		s, err := dragonflyentrysettings.Parse([]byte(valid))
		So(err, ShouldBeNil)
		So(s.RouteWait, ShouldEqual, 750*dragonflyduration.Millisecond)
		So(s.WithDefaults().StreamCap, ShouldEqual, dragonflyentrysettings.DefaultStreamCap)
	})
	Convey("All faults are listed at once", t, func() {
		assertFaults(`{"listen":"localhost:1","control":["1"],"route-wait":"-1s","stream-cap":-1,"key-file":"/does/not/exist"}`,
			"listen", "control[0]", "zone", "route-wait", "stream-cap", "key-file")
		assertFaults(`{"listen":"127.0.0.1:0","zone":"a","control":["127.0.0.1:1"],"completion-tokens":9000}`, "completion-tokens")
	})
	Convey("Unknown names and invalid syntax are errors", t, func() {
		assertFaults(`{"lisen":"127.0.0.1:0"}`, "lisen")
		assertFaults(`{`, "line 1")
	})
}

// FuzzParse guards against settings that pass the check but fail it with their
// defaults.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := dragonflyentrysettings.Parse(raw)
		if err == nil && s.WithDefaults().Check() != nil {
			t.Fatalf("%+v: %v", s, s.WithDefaults().Check())
		}
	})
}
