package dragonflystandinsettings_test

import (
	"testing"

	"dragonflyrelay.example/dragonflybench/queries/dragonflystandinsettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

// assertFaults checks that the error names every invalid setting.
func assertFaults(err error, settings ...string) {
	So(err, ShouldNotBeNil)
	for _, p := range settings {
		So(err.Error(), ShouldContainSubstring, p)
	}
}

func TestSettings(t *testing.T) {
	Convey("The file of an engine may have comments and durations with units", t, func() {
		s, err := dragonflystandinsettings.Engine([]byte(`{
			"instance": "e1", // rank 0
			"listen": "127.0.0.1:0", "load-time": "2s", "checks-fencing": true,
			"batch": {"max-batch": 8, "token-time": "9ms"},
		}`))
		So(err, ShouldBeNil)
		So(s.LoadTime, ShouldEqual, 2*dragonflyduration.Second)
		So(s.Batch.TokenTime, ShouldEqual, 9*dragonflyduration.Millisecond)
		So(s.Batch.MaxBatch, ShouldEqual, 8)
		So(s.ChecksFencing, ShouldBeTrue)
	})
	Convey("Every invalid setting of a file is listed", t, func() {
		_, err := dragonflystandinsettings.Engine([]byte(`{"listen":"host:1","load-time":"soon","batch":{"max-batch":-1}}`))
		assertFaults(err, "instance", "listen", "load-time", "batch.max-batch")
		_, err = dragonflystandinsettings.Service([]byte(`{"agent":"x","delay":"-1s","fail-every":-2}`))
		assertFaults(err, "instance", "service", "agent", "delay", "fail-every")
	})
	Convey("An unknown setting is an error", t, func() {
		_, err := dragonflystandinsettings.Service([]byte(`{"instance":"s","service":"o","dealy":"1s"}`))
		assertFaults(err, "dealy")
	})
}
