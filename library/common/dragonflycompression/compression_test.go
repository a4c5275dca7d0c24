package dragonflycompression_test

import (
	"fmt"
	"strings"
	"testing"

	"dragonflyrelay.example/library/common/dragonflycompression"
	. "github.com/smartystreets/goconvey/convey"
)

// TestCompression guards against documents that compression alters, and against
// damaged data that is accepted.
func TestCompression(t *testing.T) {
	var routes strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&routes, `{"name":"r-%d","host":"h.example","path_prefix":"/p%d/","kind":"streaming"},`, i, i*7919)
	}
	compress := func(raw string) []byte {
		compressed, err := dragonflycompression.Compress([]byte(raw))
		So(err, ShouldBeNil)
		return compressed
	}
	Convey("Decompression restores the document", t, func() {
		for _, raw := range []string{"", "{}", routes.String()} {
			got, err := dragonflycompression.Decompress(compress(raw))
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, raw)
		}
	})
	Convey("A document of many routes shrinks to less than a fifth", t, func() {
		So(len(compress(routes.String())), ShouldBeLessThan, routes.Len()/5)
	})
	Convey("Damaged data is an error", t, func() {
		compressed := compress(routes.String())
		compressed[len(compressed)/2] ^= 1
		_, err := dragonflycompression.Decompress(compressed)
		So(err, ShouldNotBeNil)
		_, err = dragonflycompression.Decompress([]byte("{}"))
		So(err, ShouldNotBeNil)
	})
}
