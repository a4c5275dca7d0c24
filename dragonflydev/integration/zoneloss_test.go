package dragonflyintegration_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestZoneLostAfterPause guards against a spare that keeps the seat of a member that stood
// still, so that the zone of the spare holds two of three seats.
func TestZoneLostAfterPause(t *testing.T) {
	for name, leaderLost := range map[string]bool{"the leader is in the zone that is lost": true, "a follower is in the zone that is lost": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			Convey("The configuration is returned after the loss of a zone", t, func() {
				c := newControlCore(t)
				leader := c.leader(c.seeds...)
				followers := c.followers(leader)
				paused, lost := followers[0], followers[1]
				if leaderLost {
					lost = leader
				}
				c.zones[c.ip(4)] = c.zone(lost)
				c.start(c.ip(4), false)
				time.Sleep(syncTime)
				c.pause(paused)
				time.Sleep(pauseTime / 2) // The spare takes its seat meanwhile.
				c.resume(paused)
				time.Sleep(syncTime)
				c.kill(lost, c.ip(4))
				c.assertConfiguredEverywhere(contactTime, without(c.seeds, lost)...)
			})
		})
	}
}

// TestZoneOfSparesLost guards against two spares in one zone that give it three of five seats.
func TestZoneOfSparesLost(t *testing.T) {
	t.Parallel()
	Convey("The configuration is returned after the loss of the zone", t, func() {
		c := newControlCore(t)
		lost := c.leader(c.seeds...)
		for _, spare := range []string{c.ip(4), c.ip(5)} {
			c.zones[spare] = c.zone(lost)
			c.start(spare, false)
		}
		time.Sleep(syncTime)
		c.kill(lost, c.ip(4), c.ip(5))
		c.assertConfiguredEverywhere(contactTime, without(c.seeds, lost)...)
	})
}
