package dragonflycompression_test

import (
	"fmt"
	"strings"
	"testing"

	"dragonflyrelay.example/library/common/dragonflycompression"
	. "github.com/smartystreets/goconvey/convey"
)

// TestCompression guards against documents that are changed or lost on their way.
func TestCompression(t *testing.T) {
	var routes strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&routes, `{"name":"r-%d","host":"h.example","path_prefix":"/p%d/","kind":"streaming"},`, i, i*7919)
	}
	pack := func(raw string) []byte {
		packed, err := dragonflycompression.Compress([]byte(raw))
		So(err, ShouldBeNil)
		return packed
	}
	Convey("A document comes back as it was", t, func() {
		for _, raw := range []string{"", "{}", routes.String()} {
			got, err := dragonflycompression.Decompress(pack(raw))
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, raw)
		}
	})
	Convey("Many routes become a fifth or less", t, func() {
		So(len(pack(routes.String())), ShouldBeLessThan, routes.Len()/5)
	})
	Convey("Damage is an error", t, func() {
		packed := pack(routes.String())
		packed[len(packed)/2] ^= 1
		_, err := dragonflycompression.Decompress(packed)
		So(err, ShouldNotBeNil)
		_, err = dragonflycompression.Decompress([]byte("{}"))
		So(err, ShouldNotBeNil)
	})
}
