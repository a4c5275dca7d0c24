package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflyhistory"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"dragonflyrelay.example/library/values/dragonflyupstreamcondition"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/urfave/cli/v3"
)

// fakeControl is a fake control instance. It answers each proposal with the next of
// results and repeats the last one; for a result without an outcome the call fails.
type fakeControl struct {
	status       dragonflystatus.Status
	results      []dragonflyresult.Result
	proposed     []dragonflychange.Change
	settingsPath string
}

func newFakeControl(t *testing.T, results ...dragonflyresult.Result) *fakeControl {
	t.Helper()
	c := &fakeControl{results: results, status: dragonflystatus.Status{
		Instance: "control-1", Leader: "control-1", Term: 3,
		Config: dragonflyconfig.Config{}.WithVersion(7).WithGroupSize(2).
			WithClass(dragonflyclass.Class{}.WithName("live").WithPriority(1).WithGap(25 * dragonflyduration.Millisecond)),
		Groups: []dragonflygroup.Group{{ID: 4, Fence: 5, Model: "m", Members: []dragonflymember.Member{{Instance: "i1"}, {Instance: "i2"}}}},
		Routes: []dragonflyroute.Route{{Key: "g4", Group: 4, Zone: "za", Zones: []string{"za"}, Ready: true}},
		Reports: []dragonflyreport.Report{
			{Alive: true, Group: 4, Announcement: dragonflyannouncement.Announcement{Instance: "i1", Zone: "za", Kind: dragonflyannouncement.Engine, Accelerators: 8}},
			{Alive: true, Announcement: dragonflyannouncement.Announcement{Instance: "i3", Zone: "zb", Kind: dragonflyannouncement.Engine, Accelerators: 4}},
		},
		Conditions: []dragonflyupstreamcondition.Condition{
			{Kind: dragonflyupstreamcondition.Leaving, Upstream: "u1", Service: "app", Since: 1500 * dragonflyduration.Millisecond, Reason: "answers to entries"},
		},
		History: []dragonflyhistory.Entry{{Version: 7, ChangeID: "c7", Operator: "lucia", Summary: "set class live"}},
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	srv := &dragonflyrpcserver.Server{
		Pool: &dragonflypool.Pool{Name: "test"},
		Key:  func() string { return "secret" },
		Unary: map[string]func(context.Context, []byte) ([]byte, error){
			"/dragonfly.control/Status": func(context.Context, []byte) ([]byte, error) {
				return dragonflycodec.MarshalStatus(c.status)
			},
			"/dragonfly.control/Propose": c.propose,
		},
	}
	go func() { _ = srv.Serve(ctx, l) }()
	c.settingsPath = filepath.Join(t.TempDir(), "ctl.json")
	writeFile(t, c.settingsPath, `{
		// The address of the fake control instance.
		"control": ["`+l.Addr().String()+`"], "key": "secret", "operator": "lucia", "timeout": "900ms",
	}`)
	return c
}

func (c *fakeControl) propose(_ context.Context, req []byte) ([]byte, error) {
	ch, err := dragonflycodec.UnmarshalChange(req)
	if err != nil {
		return nil, err
	}
	c.proposed = append(c.proposed, ch)
	res := c.results[0]
	if len(c.results) > 1 {
		c.results = c.results[1:]
	}
	if res.Outcome == 0 {
		return nil, errors.New("connection lost")
	}
	return dragonflycodec.MarshalResult(res)
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// run runs the program and returns its exit code, standard output and standard
// error.
func run(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	root := &cli.Command{
		Name: "dragonflyctl", Commands: program().Commands, Writer: &stdout, ErrWriter: &stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := root.Run(context.Background(), append([]string{"dragonflyctl"}, args...)); err != nil {
		code = dragonflyexit.Report(&stderr, err)
	}
	return code, stdout.String(), stderr.String()
}

// assertRun guards against a wrong exit code and against output that does not name
// the cause. It returns the standard output.
func assertRun(code int, contains []string, args ...string) (out string) {
	got, out, errs := run(args...)
	So(errs, ShouldNotContainSubstring, "panic")
	for _, s := range contains {
		So(out+errs, ShouldContainSubstring, s)
	}
	So(got, ShouldEqual, code)
	return out
}

func TestChanges(t *testing.T) {
	accepted := dragonflyresult.Result{Outcome: dragonflyresult.Accepted, Version: 8}

	Convey("An accepted change keeps the values whose flags are not given and is based on the version just read", t, func() {
		c := newFakeControl(t, accepted)
		assertRun(0, []string{"version 8", "~ class live: priority 1 -> 0, answered none -> 99.5%"},
			"class", "set", "--settings", c.settingsPath, "--priority", "0", "--answered", "99.5", "live")
		So(len(c.proposed), ShouldEqual, 1)
		ch := c.proposed[0]
		So(ch.Class.Gap(), ShouldEqual, 25*dragonflyduration.Millisecond)
		So(ch.Class.Answered(), ShouldEqual, 995)
		So(ch.Base, ShouldEqual, 7)
		So(ch.Operator, ShouldEqual, "lucia")
		So(len(ch.ID), ShouldEqual, 32)
		So(ch.At, ShouldBeGreaterThan, 0)
	})
	Convey("Every command proposes its kind of change, with flags before or after the name", t, func() {
		key := filepath.Join(t.TempDir(), "key")
		writeFile(t, key, "abc\n")
		for _, row := range []struct {
			args  []string
			check func(ch dragonflychange.Change)
		}{
			{[]string{"class", "remove", "live"}, func(ch dragonflychange.Change) {
				So(ch.Kind, ShouldEqual, dragonflychange.RemoveClass)
				So(ch.Class.Name(), ShouldEqual, "live")
			}},
			{[]string{"workspace", "set", "puebla", "--key-file", key, "--class", "live", "--max-in-flight", "9"}, func(ch dragonflychange.Change) {
				So(ch.Kind, ShouldEqual, dragonflychange.SetWorkspace)
				So(ch.Workspace.KeyHash(), ShouldEqual, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")
				So(ch.Workspace.MaxInFlight(), ShouldEqual, 9)
			}},
			{[]string{"workspace", "remove", "puebla"}, func(ch dragonflychange.Change) {
				So(ch.Kind, ShouldEqual, dragonflychange.RemoveWorkspace)
			}},
			{[]string{"service", "set", "orders", "--idempotent-methods", "get,HEAD", "--timeout", "5s"}, func(ch dragonflychange.Change) {
				So(ch.Kind, ShouldEqual, dragonflychange.SetService)
				So(ch.Service.IdempotentMethods(), ShouldResemble, []string{"GET", "HEAD"})
				So(ch.Service.Timeout(), ShouldEqual, 5*dragonflyduration.Second)
			}},
			{[]string{"service", "remove", "orders"}, func(ch dragonflychange.Change) {
				So(ch.Kind, ShouldEqual, dragonflychange.RemoveService)
			}},
			{[]string{"zone", "out", "za"}, func(ch dragonflychange.Change) {
				So(ch.Kind, ShouldEqual, dragonflychange.SetZone)
				So(ch.Zone.Out(), ShouldBeTrue)
			}},
			{[]string{"zone", "out", "za", "--notice", "2m"}, func(ch dragonflychange.Change) {
				So(ch.Zone.Out(), ShouldBeFalse)
				So(ch.Zone.Planned(), ShouldBeTrue)
				So(ch.Zone.Notice(), ShouldEqual, 2*dragonflyduration.Minute)
			}},
			{[]string{"zone", "in", "za"}, func(ch dragonflychange.Change) {
				So(ch.Zone.Out() || ch.Zone.Planned(), ShouldBeFalse)
				So(ch.Zone.Name(), ShouldEqual, "za")
			}},
			{[]string{"group-size", "4"}, func(ch dragonflychange.Change) {
				So(ch.Kind, ShouldEqual, dragonflychange.SetGroupSize)
				So(ch.GroupSize, ShouldEqual, 4)
			}},
			{[]string{"release", "5c1e07a2"}, func(ch dragonflychange.Change) {
				So(ch.Kind, ShouldEqual, dragonflychange.ReleaseKey)
				So(ch.Key, ShouldEqual, "5c1e07a2")
			}},
		} {
			c := newFakeControl(t, accepted)
			assertRun(0, []string{"accepted"}, append(row.args, "--settings", c.settingsPath)...)
			So(len(c.proposed), ShouldEqual, 1)
			row.check(c.proposed[0])
		}
	})
	Convey("A conflict shows the proposed change and the value in force, and exits with 3", t, func() {
		c := newFakeControl(t, dragonflyresult.Result{Outcome: dragonflyresult.Conflict, Base: 5, Version: 7, Current: "class live: priority 1"})
		assertRun(3, []string{"version 5", "version 7", "priority 1 -> 4", "class live: priority 1\n"},
			"class", "set", "live", "--priority", "4", "--base", "5", "--settings", c.settingsPath)
		So(c.proposed[0].Base, ShouldEqual, 5)
	})
	Convey("An outcome that stays unknown exits with 4 and names the change id that every attempt used", t, func() {
		c := newFakeControl(t, dragonflyresult.Result{}, dragonflyresult.Result{Outcome: dragonflyresult.NotRun})
		code, _, errs := run("zone", "out", "za", "--settings", c.settingsPath)
		So(code, ShouldEqual, 4)
		So(len(c.proposed), ShouldBeGreaterThan, 1)
		for _, ch := range c.proposed {
			So(errs, ShouldContainSubstring, "--change-id "+ch.ID)
		}
	})
	Convey("A change that is sent again keeps its id and returns the result", t, func() {
		c := newFakeControl(t, dragonflyresult.Result{}, accepted)
		assertRun(0, []string{"accepted", "abc123"}, "zone", "out", "za", "--change-id", "abc123", "--settings", c.settingsPath)
		So(len(c.proposed), ShouldEqual, 2)
		So(c.proposed[1].ID, ShouldEqual, "abc123")
	})
	Convey("A change that was not run or was refused exits with 1 and names the reason", t, func() {
		c := newFakeControl(t, dragonflyresult.Result{Outcome: dragonflyresult.NotRun, Message: "no leader"})
		assertRun(1, []string{"not run", "no leader"}, "zone", "out", "za", "--settings", c.settingsPath)
		c = newFakeControl(t, dragonflyresult.Result{Outcome: dragonflyresult.Invalid, Message: "class is in use"})
		assertRun(1, []string{"class is in use"}, "class", "remove", "live", "--settings", c.settingsPath)
	})
	Convey("A dry run shows the difference, sends nothing and reports a conflict", t, func() {
		c := newFakeControl(t, accepted)
		assertRun(0, []string{"7 would become 8", "~ group-size: 2 -> 4"}, "group-size", "4", "--dry-run", "--settings", c.settingsPath)
		assertRun(0, []string{"change nothing"}, "group-size", "2", "--dry-run", "--settings", c.settingsPath)
		assertRun(3, []string{"version 6", "version 7"}, "group-size", "4", "--dry-run", "--base", "6", "--settings", c.settingsPath)
		So(c.proposed, ShouldBeEmpty)
	})
	Convey("An invalid command line exits with 2 and sends nothing", t, func() {
		c := newFakeControl(t, accepted)
		for _, args := range [][]string{
			{"class", "set"}, {"class", "set", "a", "b"}, {"class", "set", "a", "--answered", "101"}, {"class", "set", "a", "--answered", "99.55"},
			{"class", "set", "a", "--priority", "-1"}, {"class", "set", "a", "--gap", "fast"}, {"class", "set", "a", "--gap", "-1s"},
			{"class", "set", "a", "--weight", "3"}, {"class", "frob"}, {"frob"}, {"group-size", "0"}, {"group-size", "x"},
			{"workspace", "set", "w", "--key-hash", "12"}, {"workspace", "set", "w", "--key-file", "/missing"},
			{"service", "set", "s", "--idempotent-methods", "GET,,"}, {"zone", "out", "za", "--notice", "-1s"},
			{"zone", "in", "za", "--output", "xml"}, {"release"}, {"status", "extra"}, {"history", "--last", "-1"}, {"timeline"},
		} {
			full := args
			if args[0] != "frob" && args[0] != "timeline" {
				full = append(full, "--settings", c.settingsPath)
			}
			code, _, errs := run(full...)
			So(strings.Join(args, " ")+" exits with "+string(rune('0'+code)), ShouldEqual, strings.Join(args, " ")+" exits with 2")
			So(errs, ShouldNotBeBlank)
		}
		So(c.proposed, ShouldBeEmpty)
	})
	Convey("All invalid settings are reported at once", t, func() {
		path := filepath.Join(t.TempDir(), "bad.json")
		writeFile(t, path, `{"control": ["localhost:1"], "timeout": "soon"}`)
		assertRun(2, []string{"must be an IP address", "key: is missing", "timeout: \"soon\""}, "check-settings", path)
		assertRun(2, []string{"key: is missing"}, "status", "--settings", path)
		assertRun(0, []string{"settings are valid"}, "check-settings", newFakeControl(t).settingsPath)
	})
	Convey("A wrong internal key is reported as a failure and not as an unknown outcome", t, func() {
		c := newFakeControl(t, accepted)
		raw, err := os.ReadFile(c.settingsPath)
		So(err, ShouldBeNil)
		writeFile(t, c.settingsPath, strings.Replace(string(raw), `"secret"`, `"wrong"`, 1))
		assertRun(1, []string{"internal key"}, "group-size", "4", "--settings", c.settingsPath)
		So(c.proposed, ShouldBeEmpty)
	})
}

func TestQueries(t *testing.T) {
	Convey("Queries show the state as text and as valid JSON", t, func() {
		c := newFakeControl(t)
		for query, want := range map[string]string{
			"status": "accelerators-idle", "groups": "i1,i2", "instances": "i3", "history": "set class live",
			"upstreams": "answers to entries",
		} {
			assertRun(0, []string{want}, query, "--settings", c.settingsPath)
			out := assertRun(0, nil, query, "--settings", c.settingsPath, "--output", "json")
			So(json.Valid([]byte(out)), ShouldBeTrue)
		}
		assertRun(0, []string{"u1", "app", "leaving", "1500ms"}, "upstreams", "--settings", c.settingsPath)
		out := assertRun(0, nil, "status", "--settings", c.settingsPath, "--output", "json")
		So(out, ShouldContainSubstring, `"accelerators":12,"accelerators-idle":4`)
		out = assertRun(0, []string{"i3"}, "instances", "--zone", "zb", "--settings", c.settingsPath)
		So(out, ShouldNotContainSubstring, "i1")
	})
	Convey("The status command fails while control has no leader", t, func() {
		c := newFakeControl(t)
		c.status.Leader = ""
		assertRun(1, []string{"no leader"}, "status", "--settings", c.settingsPath)
	})
	Convey("A watch prints the initial state and ends after its time", t, func() {
		c := newFakeControl(t)
		assertRun(0, []string{"leader control-1, version 7, 1 of 1 routes ready"}, "watch", "--for", "300ms", "--interval", "50ms", "--settings", c.settingsPath)
	})
}

func TestTimeline(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	writeFile(t, a, `{"at":2000000,"process":"entry-1","event":"attempt","request":"r1","group":7}
{"at":9000000,"process":"entry-1","event":"done","request":"r1"}
not json
`)
	writeFile(t, b, `{"at":5000000,"process":"agent-1","event":"started","request":"r1","instance":"i1","detail":"<b>"}
{"at":6000000,"process":"agent-1","event":"other","request":"r2","zone":"za"}
`)
	Convey("Files are merged in order of time, and damaged lines are reported", t, func() {
		out := assertRun(0, []string{"1 lines are damaged"}, "timeline", a, b, "--request", "r1")
		attempt, started, done := strings.Index(out, "attempt"), strings.Index(out, "started"), strings.Index(out, "done")
		So(attempt >= 0 && attempt < started && started < done, ShouldBeTrue)
		So(out, ShouldContainSubstring, "+3ms")
		So(out, ShouldNotContainSubstring, "r2")
	})
	Convey("Events can be selected by each kind of id", t, func() {
		for _, flag := range [][2]string{{"--group", "7"}, {"--instance", "i1"}, {"--zone", "za"}, {"--event", "done"}} {
			out := assertRun(0, nil, "timeline", a, b, flag[0], flag[1], "--output", "json")
			var rows []map[string]any
			So(json.Unmarshal([]byte(out), &rows), ShouldBeNil)
			So(len(rows), ShouldEqual, 1)
		}
	})
	Convey("The page draws every event, escapes texts and loads no external resource", t, func() {
		path := filepath.Join(dir, "page.html")
		assertRun(0, nil, "timeline", a, b, "--html", path)
		raw, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		So(strings.Count(string(raw), "<circle"), ShouldEqual, 4)
		So(string(raw), ShouldContainSubstring, "&lt;b&gt;")
		So(string(raw), ShouldNotContainSubstring, "<b>")
		So(string(raw), ShouldNotContainSubstring, "http")
	})
	Convey("A missing file is reported by name", t, func() {
		assertRun(1, []string{"missing"}, "timeline", filepath.Join(dir, "missing"))
	})
}
