package dragonflycontrolserver

import (
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconfig"
)

const (
	// maxConfirmationAge is the confirmation age above which agents refuse new work.
	maxConfirmationAge = 3 * dragonflyduration.Second
	// neverConfirmed is the age told while no quorum has been heard from. It is
	// short enough that receivers can add to it.
	neverConfirmed = 24 * dragonflyduration.Hour
	// maxClockSkew bounds the difference between the wall clocks of a proposer
	// and of control. Claims expire by the proposers' times, so one clock that
	// is far ahead would drop the claims of all.
	maxClockSkew = 5 * time.Minute
)

// confirmationAge returns how long ago the leader is known to have had a quorum.
func (in *instance) confirmationAge() dragonflyduration.Duration {
	at := max(in.applied.Load().confirmed, in.relayed.Load().confirmed)
	if at == 0 {
		return neverConfirmed
	}
	return max(0, in.clock.Now().Sub(at))
}

// config returns the newest configuration known here: the applied one, or the
// one that the leader told, which may be ahead of it.
func (in *instance) config() dragonflyconfig.Config {
	own, told := in.applied.Load().cluster.Config(), in.relayed.Load().config
	if told.Version() > own.Version() {
		return told
	}
	return own
}
