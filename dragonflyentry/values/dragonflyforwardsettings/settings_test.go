package dragonflyforwardsettings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"dragonflyrelay.example/dragonflyentry/values/dragonflyforwardsettings"
	. "github.com/smartystreets/goconvey/convey"
)

// load returns the settings of a file with the given memory and waiting memory, in MB.
func load(t *testing.T, memory, waiting int) (dragonflyforwardsettings.Settings, error) {
	path := filepath.Join(t.TempDir(), "entry.json")
	text := fmt.Sprintf(`{"name": "e", "listen": "127.0.0.1:1", "ready-listen": "127.0.0.1:2", "seeds": ["127.0.0.1:3"], "peer-port": 3,
		"memory-mb": %d, "waiting-mb": %d}`, memory, waiting)
	So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
	return dragonflyforwardsettings.Load(path)
}

// TestWaitingMemory guards against waiting requests that take the memory of a small instance.
func TestWaitingMemory(t *testing.T) {
	for name, want := range map[string]struct{ memory, waiting, result int }{
		"The setting counts":                              {184, 16, 16},
		"No more than a quarter of the instance's memory": {40, 16, 10},
		"An instance without a limit has the setting":     {0, 16, 16},
		"Without the setting no request waits":            {184, 0, 0},
	} {
		Convey(name, t, func() {
			s, err := load(t, want.memory, want.waiting)
			So(err, ShouldBeNil)
			So(s.WaitingMemory, ShouldEqual, int64(want.result)<<20)
		})
	}
	Convey("A negative setting is an error", t, func() {
		_, err := load(t, 184, -1)
		So(err, ShouldNotBeNil)
	})
}

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
