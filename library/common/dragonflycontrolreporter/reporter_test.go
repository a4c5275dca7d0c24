package dragonflycontrolreporter_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflycontrolreporter"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	. "github.com/smartystreets/goconvey/convey"
)

// instance is a control instance that records the revisions of the requests it gets.
type instance struct {
	addr string
	stop context.CancelFunc
	mu   sync.Mutex
	got  []uint64
}

func newInstance(addr string) *instance {
	l, err := net.Listen("tcp", addr)
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{addr: l.Addr().String(), stop: cancel}
	s := &dragonflyrpcserver.Server{Pool: &dragonflypool.Pool{}, Unary: map[string]func(context.Context, []byte) ([]byte, error){
		"/dragonfly.control/Follow": func(_ context.Context, raw []byte) ([]byte, error) {
			q, err := dragonflycodec.UnmarshalFollowRequest(raw)
			in.mu.Lock()
			defer in.mu.Unlock()
			in.got = append(in.got, q.Revision)
			return nil, err
		},
	}}
	go func() { _ = s.Serve(ctx, l) }()
	Reset(cancel)
	return in
}

// assertGot checks after which reports each request to the instance went on.
func assertGot(in *instance, want ...uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	So(in.got, ShouldResemble, want)
}

// TestReporter guards against instances that lack reports because another one has failed.
func TestReporter(t *testing.T) {
	build := func(after uint64) dragonflyfollowrequest.Request {
		return dragonflyfollowrequest.Request{Process: "e1", Role: dragonflyfollowrequest.Entry, Revision: after}
	}
	Convey("Each instance gets each report once, and one that has failed gets all again", t, func() {
		a, b := newInstance("127.0.0.1:0"), newInstance("127.0.0.1:0")
		r, addrs := &dragonflycontrolreporter.Reporter{}, []string{a.addr, b.addr}
		So(r.Send(t.Context(), addrs, 3, build), ShouldBeTrue)
		So(r.Send(t.Context(), addrs, 3, build), ShouldBeTrue)
		b.stop()
		So(r.Send(t.Context(), addrs, 5, build), ShouldBeFalse)
		assertGot(a, 0, 3)
		assertGot(b, 0)

		b = newInstance("127.0.0.1:0")
		addrs[1] = b.addr
		So(r.Send(t.Context(), addrs, 5, build), ShouldBeTrue)
		assertGot(a, 0, 3)
		assertGot(b, 0)
	})
}
