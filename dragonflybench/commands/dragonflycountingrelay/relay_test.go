package dragonflycountingrelay_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflycountingrelay"
	"dragonflyrelay.example/library/common/dragonflypool"
	. "github.com/smartystreets/goconvey/convey"
)

func TestRelay(t *testing.T) {
	Convey("Bytes are forwarded unchanged in both directions and counted", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = io.CopyN(c, c, 5)
				_, _ = c.Write([]byte("!"))
				_ = c.Close()
			}
		}()
		free, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := free.Addr().String()
		So(free.Close(), ShouldBeNil)
		r := &dragonflycountingrelay.Relay{Listen: addr, Target: l.Addr().String(), Pool: &dragonflypool.Pool{Name: "test"}}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()

		c, err := net.Dial("tcp", addr)
		for end := time.Now().Add(2 * time.Second); err != nil && time.Now().Before(end); c, err = net.Dial("tcp", addr) {
			time.Sleep(5 * time.Millisecond)
		}
		So(err, ShouldBeNil)
		_, err = c.Write([]byte("hello"))
		So(err, ShouldBeNil)
		got, err := io.ReadAll(c)
		So(err, ShouldBeNil)
		So(string(got), ShouldEqual, "hello!")
		in, out, connections := r.Counts()
		So([]int64{in, out, connections}, ShouldResemble, []int64{5, 6, 1})
		cancel()
		So(<-done, ShouldBeNil)
		_ = l.Close()
	})
}
