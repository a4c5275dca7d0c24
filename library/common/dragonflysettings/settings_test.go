package dragonflysettings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"dragonflyrelay.example/library/common/dragonflysettings"
	. "github.com/smartystreets/goconvey/convey"
)

func TestSettings(t *testing.T) {
	type settings struct {
		Listen string `json:"listen"`
	}

	Convey("Comments and trailing commas are accepted", t, func() {
		path := filepath.Join(t.TempDir(), "entry.json")
		So(os.WriteFile(path, []byte("{\n// The callers' address.\n\"listen\": \"127.0.0.1:0\",\n}"), 0o600), ShouldBeNil)
		var s settings
		So(dragonflysettings.Load(path, &s), ShouldBeNil)
		So(s.Listen, ShouldEqual, "127.0.0.1:0")
	})
	Convey("An unknown name is an error that contains the name", t, func() {
		err := dragonflysettings.Parse([]byte(`{"lissten": "x"}`), &settings{})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "lissten")
	})
	Convey("A missing file is an error that contains the path", t, func() {
		err := dragonflysettings.Load("no-such-file", &settings{})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "no-such-file")
	})
}

func ExampleFaults() {
	var f dragonflysettings.Faults
	f.Require(false, "zone", "must be set")
	f.Require(true, "region", "must be set")
	f.Add("listen", "is not an address")
	fmt.Println(f.Err())
	// Output: listen: is not an address; zone: must be set
}
