package dragonflyintegration_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// finalFaultDelay is the time from the SIGTERM of a replaced instance to the loss of all
// processes and one disk. It is shorter than the silence after which a member is replaced.
const finalFaultDelay = 600 * time.Millisecond

// TestDiskLostAfterPlannedReplacement guards against a member that keeps its seat after it was
// stopped for good, so that the loss of one disk leaves no majority.
func TestDiskLostAfterPlannedReplacement(t *testing.T) {
	cases := []struct {
		name                      string
		leaderLeaves, leaderWiped bool
	}{
		{"a follower is replaced and the other one loses its disk", false, false},
		{"a follower is replaced and the leader loses its disk", false, true},
		{"the leader is replaced and a follower loses its disk", true, false},
		{"the leader is replaced and the next leader loses its disk", true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			Convey("The configuration is returned after the processes have started again", t, func() {
				c := newControlCore(t)
				leader := c.leader(c.seeds...)
				leaving := c.followers(leader)[0]
				if tc.leaderLeaves {
					leaving = leader
				}
				remaining := c.replaceWhileStopping(c.ip(4), leaving)
				time.Sleep(finalFaultDelay)
				wiped := c.leader(remaining...) // The spare may lead by now.
				if !tc.leaderWiped {
					wiped = without(without(c.seeds, leaving), wiped)[0]
				}
				c.kill(remaining...)
				c.wipe(wiped)
				c.restart(remaining...)
				c.assertConfiguredEverywhere(2*contactTime, remaining...)
			})
		})
	}
}

// TestDiskOfSpareLostAfterPlannedReplacement guards against a spare that counts for the quorum
// before it has replaced a member, or after it has lost its disk.
func TestDiskOfSpareLostAfterPlannedReplacement(t *testing.T) {
	Convey("The configuration is returned after the spare has lost its disk", t, func() {
		c := newControlCore(t)
		remaining := c.replaceWhileStopping(c.ip(4), c.followers(c.leader(c.seeds...))[0])
		time.Sleep(finalFaultDelay)
		c.kill(remaining...)
		c.wipe(c.ip(4))
		c.restart(remaining...)
		c.assertConfiguredEverywhere(2*contactTime, remaining...)
	})
}

// pauseTime is how long a member stands still.
const pauseTime = 6 * time.Second

// TestDiskLostBesidePausedMember guards against a leader that removes a silent member in one
// change and adds its successor in a second one: the members in between bear no loss.
func TestDiskLostBesidePausedMember(t *testing.T) {
	for _, delay := range []time.Duration{1150, 1250, 2300, 2400} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			Convey("The configuration is returned once the paused member goes on", t, func() {
				c := newControlCore(t)
				c.start(c.ip(4), false)
				time.Sleep(syncTime)
				followers := c.followers(c.leader(c.seeds...))
				paused, lost := followers[0], followers[1]
				c.pause(paused)
				time.Sleep(delay)
				c.kill(lost)
				c.wipe(lost)
				c.restart(lost)
				time.Sleep(pauseTime - delay - restartDelay)
				c.resume(paused)
				c.assertConfiguredEverywhere(contactTime, c.seeds...)
			})
		})
	}
}

// TestSparePausedBesidePausedMember guards against a leader that counts on a spare in the moment
// in which it stops: two of three members still run.
func TestSparePausedBesidePausedMember(t *testing.T) {
	for _, delay := range []time.Duration{1150, 1250, 2485, 2530} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			Convey("The two members that run return the configuration all the time", t, func() {
				c := newControlCore(t)
				c.start(c.ip(4), false)
				time.Sleep(syncTime)
				paused := c.followers(c.leader(c.seeds...))[0]
				running := without(c.seeds, paused)
				c.pause(paused)
				time.Sleep(delay)
				c.pause(c.ip(4))
				for end := time.Now().Add(pauseTime / 2); time.Now().Before(end); time.Sleep(restartDelay) {
					c.assertConfigured(contactTime, running...)
				}
				c.assertAcknowledged(contactTime, running...)
				c.resume(paused)
				c.resume(c.ip(4))
				c.assertConfiguredEverywhere(contactTime, c.seeds...)
			})
		})
	}
}
