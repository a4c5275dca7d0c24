package dragonflycontrolfollower_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflycontrolfollower"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

// instance is a fake control instance that gives the same response to each request.
type instance struct {
	addr string

	mu       sync.Mutex
	response dragonflyfollowresponse.Response
}

func newInstance() *instance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	Reset(cancel)
	in := &instance{addr: l.Addr().String()}
	server := &dragonflyrpcserver.Server{Pool: &dragonflypool.Pool{}, Unary: map[string]func(context.Context, []byte) ([]byte, error){
		"/dragonfly.control/Follow": func(context.Context, []byte) ([]byte, error) {
			in.mu.Lock()
			defer in.mu.Unlock()
			return dragonflycodec.MarshalFollowResponse(in.response)
		},
	}}
	go func() { _ = server.Serve(ctx, l) }()
	return in
}

func (in *instance) leads(term uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.response = dragonflyfollowresponse.Response{Leads: true, Term: term}
}

func (in *instance) follows(leader *instance) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.response = dragonflyfollowresponse.Response{Leader: leader.addr}
}

// assertTerm checks the term of the next response of a leader.
func assertTerm(f *dragonflycontrolfollower.Follower, term uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := f.Follow(ctx, dragonflyfollowrequest.Request{})
	So(err, ShouldBeNil)
	So(resp.Leads, ShouldBeTrue)
	So(resp.Term, ShouldEqual, term)
}

// TestEarlierLeader guards against a process that goes back to the state of an earlier leader,
// which does not know yet that it has been replaced.
func TestEarlierLeader(t *testing.T) {
	Convey("Once a leader of a later term has responded, an earlier one counts as not leading", t, func() {
		a, b := newInstance(), newInstance()
		a.leads(1)
		b.leads(2)
		f := &dragonflycontrolfollower.Follower{Seeds: []string{b.addr}}
		assertTerm(f, 2)
		f.Seeds = []string{a.addr, b.addr}
		b.follows(a)
		time.AfterFunc(500*time.Millisecond, func() { b.leads(2) })
		assertTerm(f, 2)
		b.follows(a)
		a.leads(3)
		assertTerm(f, 3)
	})
	Convey("A response without a term is taken, and one of a lower term long after the latest", t, func() {
		a, now := newInstance(), dragonflyinstant.Instant(1)
		a.leads(2)
		f := &dragonflycontrolfollower.Follower{Seeds: []string{a.addr}, Clock: dragonflyclock.Clock{
			Read: func() dragonflyinstant.Instant { return now },
		}}
		assertTerm(f, 2)
		a.leads(1)
		now = now.Add(11 * dragonflyduration.Second)
		assertTerm(f, 1)
		a.leads(0)
		assertTerm(f, 0)
	})
}

// newSilentInstance returns the address of an instance that accepts connections and stands
// still.
func newSilentInstance() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = l.Close() })
	return l.Addr().String()
}

// TestSearchBesideSilentInstances guards against a process that goes on without the leader
// for as long as it may wait at each instance that stands still, twice if that is a seed.
func TestSearchBesideSilentInstances(t *testing.T) {
	Convey("The leader is found before a single wait is over", t, func() {
		leader := newInstance()
		leader.leads(1)
		a, b := newSilentInstance(), newSilentInstance()
		const wait = 10 * dragonflyduration.Second
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(wait))
		defer cancel()
		f := &dragonflycontrolfollower.Follower{Seeds: []string{leader.addr, a, b, a, b}}
		resp, err := f.Follow(ctx, dragonflyfollowrequest.Request{Wait: wait})
		So(err, ShouldBeNil)
		So(resp.Leads, ShouldBeTrue)
	})
}
