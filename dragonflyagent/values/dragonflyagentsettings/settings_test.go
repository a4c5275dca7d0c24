package dragonflyagentsettings_test

import (
	"os"
	"path/filepath"
	"testing"

	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

func load(t *testing.T, text string) (dragonflyagentsettings.Settings, error) {
	path := filepath.Join(t.TempDir(), "agent.json")
	So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
	return dragonflyagentsettings.Load(path)
}

// assertFault guards against a fault in the file that Load does not report.
func assertFault(t *testing.T, text, fault string) {
	_, err := load(t, text)
	So(err, ShouldNotBeNil)
	So(err.Error(), ShouldContainSubstring, fault)
}

func TestLoad(t *testing.T) {
	Convey("A complete file with comments is read", t, func() {
		s, err := load(t, `{"instance": "i-12", /* rack 3 */ "listen": "127.0.0.1:7400", "upstream-listen": "127.0.0.1:7401",
			"control": ["127.0.0.1:7300"], "key": "k", "drain-timeout": "1.5s", // short
		}`)
		So(err, ShouldBeNil)
		So(s.Instance, ShouldEqual, "i-12")
		So(s.DrainTimeout, ShouldEqual, 1500*dragonflyduration.Millisecond)
	})
	Convey("The error lists all faults of the file", t, func() {
		for _, fault := range []string{"control: lists no address", "instance: is missing", "key: is missing",
			"listen: \"here\" must be an IP address and a port", "queue: is negative", "upstream-listen: is not a loopback address"} {
			assertFault(t, `{"listen": "here", "upstream-listen": "10.0.0.1:1", "queue": -1}`, fault)
		}
		assertFault(t, `{"listen": "0.0.0.0:7400"}`, "advertise: is missing although listen names no address")
		assertFault(t, `{"control": ["127.0.0.1:0"]}`, "control: the port must not be 0")
		assertFault(t, `{"key": "k", "key-file": "none"}`, "key: must not be set beside key-file")
		assertFault(t, `{"weight": 3}`, "weight")
	})
}
