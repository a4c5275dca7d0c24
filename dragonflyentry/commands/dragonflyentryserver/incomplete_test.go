package dragonflyentryserver_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflytable"
	. "github.com/smartystreets/goconvey/convey"
)

// TestIncompleteTable guards against valid requests that are rejected for good, with
// status 401 or 404, by an entry whose control instance has no complete table yet.
func TestIncompleteTable(t *testing.T) {
	a := newAgent(t, nil)
	body := completionBody("tela", 5, false)
	// assertWaits asserts that a request gets a complete answer although the entry
	// gets the route of its model only afterwards.
	assertWaits := func(c *fakeControl) {
		e := startEntry(t, nil, c)
		got := make(chan response, 1)
		go func() { got <- post(e.url+"/v1/completions", body) }()
		c.changeTable(func(t dragonflytable.Table) dragonflytable.Table {
			t.Term, t.Routes = 1, append(t.Routes, modelRoute(1, a))
			return t
		})
		assertComplete(<-got, "tela", 5)
	}
	Convey("A request waits for the first route of an entry", t, func() {
		assertWaits(newControl(t))
	})
	Convey("A request waits while the leader has not collected reports", t, func() {
		other := modelRoute(2, a)
		other.Model = "otra"
		c := newControl(t, other)
		c.table.Term = 0
		assertWaits(c)
	})
	Convey("A request at an entry without a configuration has not run and may be repeated", t, func() {
		c := newControl(t, modelRoute(1, a))
		c.table.HasConfig = false
		e := startEntry(t, nil, c)
		assertError(post(e.url+"/v1/completions", body), 503, "not-run", "no-configuration")
	})
	Convey("An entry without a model polls control more often than each second", t, func() {
		c := newControl(t)
		startEntry(t, nil, c)
		eventually(t, "the entry has polled 8 times", func() bool { return c.watches.Load() >= 8 })
	})
	Convey("A request whose model gets no route has not run and may be repeated", t, func() {
		e := startEntry(t, nil, newControl(t))
		assertError(post(e.url+"/v1/completions", body), 503, "not-run", "no-route")
	})
}
