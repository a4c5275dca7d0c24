package dragonflycountermap_test

import (
	"expvar"
	"fmt"
	"strings"
	"sync"
	"testing"

	"dragonflyrelay.example/library/common/dragonflycountermap"
	. "github.com/smartystreets/goconvey/convey"
)

// assertSize checks the number of counters of m and the sum of all of them.
func assertSize(m *dragonflycountermap.CounterMap, keys int, sum int64) {
	n, total := 0, int64(0)
	m.Variable.Do(func(kv expvar.KeyValue) {
		n++
		total += kv.Value.(*expvar.Int).Value()
	})
	So(n, ShouldEqual, keys)
	So(total, ShouldEqual, sum)
}

// TestCounterMap guards against memory that grows with each new key that another process names.
func TestCounterMap(t *testing.T) {
	Convey("Keys beyond the bound count as others, known ones as before", t, func() {
		m := &dragonflycountermap.CounterMap{Variable: &expvar.Map{}}
		m.Add("first", 1)
		for i := range 1000 {
			m.Add(fmt.Sprint("key-", i), 1)
		}
		m.Add("first", 1)
		assertSize(m, 65, 1002)
		So(m.Variable.Get("first").String(), ShouldEqual, "2")
		So(m.Variable.Get(dragonflycountermap.Other).String(), ShouldEqual, "937")
	})
	Convey("A long key counts as another", t, func() {
		m := &dragonflycountermap.CounterMap{Variable: &expvar.Map{}}
		m.Add(strings.Repeat("k", 10_000), 1)
		So(m.Variable.Get(dragonflycountermap.Other).String(), ShouldEqual, "1")
		assertSize(m, 1, 1)
	})
	Convey("Concurrent events are all counted", t, func() {
		m := &dragonflycountermap.CounterMap{Variable: &expvar.Map{}}
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				for j := range 100 {
					m.Add(fmt.Sprint(i*j), 1)
				}
			})
		}
		wg.Wait()
		assertSize(m, 65, 800)
	})
}
