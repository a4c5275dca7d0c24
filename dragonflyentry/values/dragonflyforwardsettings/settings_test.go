package dragonflyforwardsettings_test

import (
	"os"
	"path/filepath"
	"testing"

	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	. "github.com/smartystreets/goconvey/convey"
)

// TestSecondSendRatio guards against an entry that sends requests twice without a share, or
// that starts with one that is none.
func TestSecondSendRatio(t *testing.T) {
	assertRatio := func(line string, ratio float64, valid bool) {
		path := filepath.Join(t.TempDir(), "entry.json")
		content := `{"name":"e","listen":"127.0.0.1:0","ready-listen":"127.0.0.1:0","seeds":["127.0.0.1:1"],"peer-port":1` + line + `}`
		So(os.WriteFile(path, []byte(content), 0o600), ShouldBeNil)
		s, err := dragonflyforwardsettings.Load(path)
		So(err == nil, ShouldEqual, valid)
		So(s.SecondSendRatio, ShouldEqual, ratio)
	}
	Convey("The share is 0 if it is absent", t, func() { assertRatio("", 0, true) })
	Convey("A share from 0 to 1 is taken", t, func() {
		assertRatio(`,"second-send-ratio":0`, 0, true)
		assertRatio(`,"second-send-ratio":0.05`, 0.05, true)
		assertRatio(`,"second-send-ratio":1`, 1, true)
	})
	Convey("Another one is a fault", t, func() {
		assertRatio(`,"second-send-ratio":-0.1`, -0.1, false)
		assertRatio(`,"second-send-ratio":1.1`, 1.1, false)
	})
}
