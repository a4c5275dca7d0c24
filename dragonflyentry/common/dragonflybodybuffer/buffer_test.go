package dragonflybodybuffer_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"dragonflyrelay.example/dragonflyentry/common/dragonflybodybuffer"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

const limit = 4 << 20

func grant(int64) bool { return true }

// assertRead checks that a body of n bytes is read, and that its memory is at most maxBytes.
func assertRead(n int, length, maxBytes int64, wrap func(io.Reader) io.Reader) {
	want := strings.Repeat("0123456789", n/10+1)[:n]
	var b dragonflybodybuffer.Buffer
	asked := int64(0)
	So(b.Read(wrap(strings.NewReader(want)), length, limit, func(bytes int64) bool {
		asked = bytes
		return true
	}), ShouldBeNil)
	So(b.Len(), ShouldEqual, n)
	So(b.Reserved(), ShouldEqual, asked)
	So(asked, ShouldBeLessThanOrEqualTo, maxBytes)
	for range 2 { // Another attempt may need the body again.
		var out bytes.Buffer
		_, err := b.WriteTo(&out)
		So(err, ShouldBeNil)
		So(out.String() == want, ShouldBeTrue)
	}
}

func plain(r io.Reader) io.Reader { return r }

// TestRead guards against bodies that change on their way, and against buffers that take more
// memory than was reserved.
func TestRead(t *testing.T) {
	Convey("Bodies are kept whole within their length and a segment", t, func() {
		for _, n := range []int{0, 1, 4 << 10, 64 << 10, 64<<10 + 1, 1 << 20, limit} {
			assertRead(n, int64(n), int64(max(n, 1)), iotest.DataErrReader)
			assertRead(n, -1, int64(n)+256<<10, plain)
		}
		assertRead(100<<10, -1, 300<<10, iotest.OneByteReader)
	})
	Convey("An announced length over the limit is refused without a read", t, func() {
		var b dragonflybodybuffer.Buffer
		err := b.Read(iotest.ErrReader(io.ErrNoProgress), limit+1, limit, grant)
		So(errors.Is(err, dragonflybodybuffer.ErrTooLarge), ShouldBeTrue)
	})
	Convey("More bytes than the limit are refused, and no more memory is reserved", t, func() {
		var b dragonflybodybuffer.Buffer
		err := b.Read(strings.NewReader(strings.Repeat("x", 3*limit)), -1, limit, grant)
		So(errors.Is(err, dragonflybodybuffer.ErrTooLarge), ShouldBeTrue)
		So(b.Reserved(), ShouldBeLessThanOrEqualTo, limit+1)
	})
	Convey("Without room the rest is not read", t, func() {
		var b dragonflybodybuffer.Buffer
		err := b.Read(strings.NewReader(strings.Repeat("x", limit)), limit, limit, func(n int64) bool { return n <= 1<<20 })
		So(errors.Is(err, dragonflybodybuffer.ErrNoRoom), ShouldBeTrue)
		So(b.Reserved(), ShouldBeLessThanOrEqualTo, 1<<20)
		So(b.Len(), ShouldEqual, b.Reserved())
	})
	Convey("A body that is cut off is an error", t, func() {
		var b dragonflybodybuffer.Buffer
		So(b.Read(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), 2, limit, grant), ShouldEqual, io.ErrUnexpectedEOF)
	})
}
