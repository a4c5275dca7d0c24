package dragonflyfleet_test

import (
	"testing"

	"dragonflyrelay.example/library/values/dragonflyobservation"
	. "github.com/smartystreets/goconvey/convey"
)

// TestUnnamedServices guards against a heartbeat of another writer, for a service that the
// document does not name, that takes the place of a sound upstream.
func TestUnnamedServices(t *testing.T) {
	sound := dragonflyobservation.Observation{
		ID: "p1", Boot: 2000, Sequence: 5, Service: "plain", Address: "p-addr", Zone: "a", State: dragonflyobservation.Ready,
	}
	odd := sound
	odd.Service, odd.Boot, odd.Sequence = "other", 9000, 900
	elsewhere := odd
	elsewhere.ID = "x1"
	for name, o := range map[string]dragonflyobservation.Observation{"same id": odd, "same address": elsewhere} {
		Convey("The upstream keeps its place, and later heartbeats count: "+name, t, func() {
			s := newSimulation(0)
			s.observe(sound)
			s.observe(o)
			So(s.servingHeads(), ShouldResemble, []string{"p1"})
			next := sound
			next.Sequence, next.State = 6, dragonflyobservation.Draining
			s.observe(next)
			So(s.servingHeads(), ShouldBeEmpty)
		})
		Convey("An upstream that reports after the other writer enters the table: "+name, t, func() {
			s := newSimulation(0)
			s.observe(o)
			s.observe(sound)
			So(s.servingHeads(), ShouldResemble, []string{"p1"})
		})
	}
}
