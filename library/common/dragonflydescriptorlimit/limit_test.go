package dragonflydescriptorlimit_test

import (
	"testing"

	"dragonflyrelay.example/library/common/dragonflydescriptorlimit"
	. "github.com/smartystreets/goconvey/convey"
)

// TestGet guards against a bound of connections that is 0 because the limit is unlimited.
func TestGet(t *testing.T) {
	Convey("The limit is a positive number", t, func() {
		So(dragonflydescriptorlimit.Get(), ShouldBeGreaterThan, 0)
	})
}
