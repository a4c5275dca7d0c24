package dragonflycontrolclient_test

import (
	"context"
	"testing"

	"dragonflyrelay.example/dragonflyctl/common/dragonflycontrolclient"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// client returns a client of two instances, "a" and "b", whose calls return what
// the functions in answers return.
func client(answers map[string]func() ([]byte, error)) *dragonflycontrolclient.Client {
	return &dragonflycontrolclient.Client{
		Addresses: []string{"a", "b"}, Timeout: 100 * dragonflyduration.Millisecond,
		Call: func(_ context.Context, addr, _ string, _ []byte) ([]byte, error) { return answers[addr]() },
	}
}

func result(outcome dragonflyresult.Result) func() ([]byte, error) {
	return func() ([]byte, error) { return dragonflycodec.MarshalResult(outcome) }
}

func fails(err error) func() ([]byte, error) { return func() ([]byte, error) { return nil, err } }

// assertOutcome guards against reporting to operators that a change was not made
// although it may have been.
func assertOutcome(a, b func() ([]byte, error), want dragonflyresult.Result) {
	res, err := client(map[string]func() ([]byte, error){"a": a, "b": b}).Propose(context.Background(), dragonflychange.Change{ID: "x"})
	So(err, ShouldBeNil)
	So(res.Outcome, ShouldEqual, want.Outcome)
}

func TestPropose(t *testing.T) {
	notRun := dragonflyresult.Result{Outcome: dragonflyresult.NotRun}
	unknown := dragonflyresult.Result{Outcome: dragonflyresult.Unavailable}
	accepted := dragonflyresult.Result{Outcome: dragonflyresult.Accepted}
	unsent, lost := errors.WithMessage(dragonflyrpcclient.ErrNotSent, "refused"), errors.New("reset")

	Convey("The outcome is not-run only if no instance can have forwarded the change", t, func() {
		assertOutcome(fails(unsent), result(notRun), notRun)
		assertOutcome(fails(lost), result(notRun), unknown)
		assertOutcome(result(notRun), result(unknown), unknown)
		assertOutcome(fails(unsent), fails(lost), unknown)
	})
	Convey("The first definite result is returned without further attempts", t, func() {
		assertOutcome(fails(lost), result(accepted), accepted)
		assertOutcome(result(accepted), fails(lost), accepted)
	})
}

func TestStatus(t *testing.T) {
	status := func(instance, leader string) func() ([]byte, error) {
		return func() ([]byte, error) {
			return dragonflycodec.MarshalStatus(dragonflystatus.Status{Instance: instance, Leader: leader})
		}
	}
	readStatus := func(a, b func() ([]byte, error)) (string, error) {
		st, err := client(map[string]func() ([]byte, error){"a": a, "b": b}).Status(context.Background())
		return st.Instance, err
	}
	Convey("The state of the leader is preferred, because only some agents report to a follower", t, func() {
		instance, err := readStatus(status("c1", "c2"), status("c2", "c2"))
		So(err, ShouldBeNil)
		So(instance, ShouldEqual, "c2")
	})
	Convey("Without a leader the first answer is returned, and without any answer an error", t, func() {
		instance, err := readStatus(fails(errors.New("down")), status("c2", "c1"))
		So(err, ShouldBeNil)
		So(instance, ShouldEqual, "c2")
		_, err = readStatus(fails(errors.New("down")), fails(errors.New("down")))
		So(err, ShouldNotBeNil)
	})
}
